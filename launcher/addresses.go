package launcher

import (
	"fmt"
	"os"
	"sync/atomic"
)

// loopbackIP is this process's own loopback address, derived from the process
// ID. It is never 127.0.0.1, from which outgoing connections leave, so that their
// ephemeral ports cannot take a port of this address.
var loopbackIP = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()>>8&0x7f, os.Getpid()&0xff)

// basePort is added to the address count, so the first port is 10001.
const basePort = 10_000

// addressCount is the number of addresses returned by NewAddress. No address is
// returned twice.
var addressCount atomic.Int64

// NewAddress returns an unused IP:PORT address on the loopback interface.
func NewAddress() string {
	return fmt.Sprintf("%s:%d", loopbackIP, basePort+addressCount.Add(1))
}
