package launcher

import (
	"fmt"
	"net"
	"os"
	"sync"

	"github.com/joomcode/errorx"
)

// loopbackIP is this process's own loopback address. Outgoing connections
// leave from 127.0.0.1, so that none can take a port that was found free here.
var loopbackIP = fmt.Sprintf("127.%d.%d.1", 1+os.Getpid()>>8&0x7f, os.Getpid()&0xff)

// given holds the addresses that were handed out; none is handed out twice.
var given sync.Map

func freeAddress() (string, error) {
	addrs, err := freeAddresses(1)
	if err != nil {
		return "", err
	}
	return addrs[0], nil
}

func freeAddresses(n int) ([]string, error) {
	var addrs []string
	for len(addrs) < n {
		l, err := net.Listen("tcp", loopbackIP+":0")
		if err != nil {
			return nil, errorx.Decorate(err, "finding a free address")
		}
		addr := l.Addr().String()
		if err := l.Close(); err != nil {
			return nil, errorx.Decorate(err, "finding a free address")
		}
		if _, taken := given.LoadOrStore(addr, true); !taken {
			addrs = append(addrs, addr)
		}
	}
	return addrs, nil
}
