package launcher

import (
	"fmt"
	"os"
	"sync/atomic"
)

// loopbackIP is this process's own loopback address. Outgoing connections
// leave from 127.0.0.1, so that none can take a port of this address.
var loopbackIP = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()>>8&0x7f, os.Getpid()&0xff)

const firstPort = 10_000

// ports counts the addresses handed out; none is handed out twice.
var ports atomic.Int64

// NewAddress returns an address on the loopback interface that nothing else uses.
func NewAddress() string {
	return fmt.Sprintf("%s:%d", loopbackIP, firstPort+ports.Add(1))
}
