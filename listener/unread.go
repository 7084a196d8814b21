package listener

import (
	"net"
	"syscall"
)

// hasUnreadBytes reports whether bytes have arrived on the connection that no read has
// returned yet. On a busy machine they may wait there for longer than a caller's request
// takes to arrive. It reports false where the system cannot tell.
func hasUnreadBytes(nc net.Conn) bool {
	conn, ok := nc.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	n := 0
	err = raw.Control(func(fd uintptr) {
		var buf [1]byte
		if n, _, err = syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); err != nil {
			n = 0
		}
	})
	return err == nil && n > 0
}
