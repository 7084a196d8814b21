package main

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// network carries the connections between the daemons, and cuts single machines off from all
// other machines.
type network struct {
	fleet *fleet

	mu  sync.Mutex
	cut map[*machine]bool
}

// carried is one connection between two daemons.
type carried struct {
	from, to       *machine
	client, server net.Conn
}

// relay accepts connections for the machine's daemon at addr and carries them to its listener.
func (n *network) relay(m *machine, addr, listener string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go n.carry(m, c, listener)
		}
	}()
	return nil
}

// carry carries one connection. While one of its ends is cut off, its bytes are held, as behind a
// partition: nothing is closed.
func (n *network) carry(to *machine, client net.Conn, listener string) {
	defer client.Close()
	from := n.ownerOf(client.RemoteAddr().String())
	for n.isCut(from, to) || from == nil && n.isAnyCut() {
		// Without a known owner the connection may be one of a machine that is cut off.
		time.Sleep(20 * time.Millisecond)
	}
	server, err := net.Dial("tcp", listener)
	if err != nil {
		// The daemon is not running: the connection is reset.
		_ = client.(*net.TCPConn).SetLinger(0)
		return
	}
	defer server.Close()
	c := &carried{from: from, to: to, client: client, server: server}
	done := make(chan struct{}, 2)
	go n.pump(c, server, client, done)
	go n.pump(c, client, server, done)
	<-done
}

// pump copies the bytes of one direction.
func (n *network) pump(c *carried, dst, src net.Conn, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 64<<10)
	for {
		k, err := src.Read(buf)
		for n.isCut(c.from, c.to) {
			time.Sleep(5 * time.Millisecond)
		}
		if _, werr := dst.Write(buf[:k]); werr != nil || err != nil {
			return
		}
	}
}

// isCut reports whether one of the machines is cut off.
func (n *network) isCut(a, b *machine) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return a != b && (n.cut[a] || n.cut[b])
}

// isAnyCut reports whether a machine is cut off.
func (n *network) isAnyCut() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, isCut := range n.cut {
		if isCut {
			return true
		}
	}
	return false
}

// setCut cuts machines off from all others, or ends that.
func (n *network) setCut(isCut bool, machines ...*machine) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, m := range machines {
		n.cut[m] = isCut
	}
}

// ownerOf returns the machine whose daemon opened the connection with the local address, by the
// sockets of the processes that this program has started. It returns nil if there is none.
func (n *network) ownerOf(addr string) *machine {
	inode := socketInode(addr)
	if inode == "" {
		return nil
	}
	n.fleet.mu.Lock()
	machines := n.fleet.machines
	n.fleet.mu.Unlock()
	for _, m := range machines {
		m.mu.Lock()
		c := m.daemon
		m.mu.Unlock()
		if c == nil || c.Process == nil {
			continue
		}
		dir := fmt.Sprintf("/proc/%d/fd", c.Process.Pid)
		entries, err := os.ReadDir(dir)
		if err != nil {
			continue
		}
		for _, e := range entries {
			if to, err := os.Readlink(dir + "/" + e.Name()); err == nil && to == "socket:["+inode+"]" {
				return m
			}
		}
	}
	return nil
}

// socketInode returns the inode of the TCP socket with the local address, or "".
func socketInode(addr string) string {
	host, portText, err := net.SplitHostPort(addr)
	if err != nil {
		return ""
	}
	port, _ := strconv.Atoi(portText)
	ip := net.ParseIP(host).To4()
	if ip == nil {
		return ""
	}
	// The kernel prints the address as a number in the order of the machine's bytes.
	want := strings.ToUpper(hex.EncodeToString([]byte{ip[3], ip[2], ip[1], ip[0]})) + fmt.Sprintf(":%04X", port)
	f, err := os.Open("/proc/self/net/tcp")
	if err != nil {
		return ""
	}
	defer f.Close()
	for s := bufio.NewScanner(io.Reader(f)); s.Scan(); {
		fields := strings.Fields(s.Text())
		if len(fields) > 9 && fields[1] == want {
			return fields[9]
		}
	}
	return ""
}
