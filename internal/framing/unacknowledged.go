package framing

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// Unacknowledged returns the number of bytes that were written to a connection and that the kernel of the other side has not
// acknowledged, 0 if the connection is not a socket. The end of the other side acknowledges all that had arrived by then: if
// bytes are unacknowledged after it, the other side has closed before it received them.
func Unacknowledged(c net.Conn) (bytes int) {
	if outer, ok := c.(interface{ NetConn() net.Conn }); ok {
		c = outer.NetConn()
	}
	sock, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sock.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) { bytes, _ = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) }) // fails only on a closed connection
	return bytes
}
