package gateway

import (
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// socketOption returns an option of a connection's socket.
func socketOption(t *testing.T, c net.Conn, level, option int) (value int) {
	raw, err := c.(syscall.Conn).SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	var optErr error
	if err := raw.Control(func(fd uintptr) { value, optErr = syscall.GetsockoptInt(int(fd), level, option) }); err != nil || optErr != nil {
		t.Fatal(err, optErr)
	}
	return value
}

// Guards against a TCP_USER_TIMEOUT that ends connections to servers that are sound but silent: with keep-alive probes, Linux
// applies it to unanswered probes, too, whatever their count. Connections to servers send no probes, so that it bounds only
// sent bytes that stay unacknowledged, for longer than a sound server is silent.
func TestUserTimeoutOfServerConnections(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	c, err := dialTCP(t.Context(), l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	g.Expect(socketOption(t, c, syscall.SOL_SOCKET, syscall.SO_KEEPALIVE)).To(BeZero())
	timeout := time.Duration(socketOption(t, c, syscall.IPPROTO_TCP, tcpUserTimeout)) * time.Millisecond
	g.Expect(timeout).To(Equal(ackTimeout))
	g.Expect(timeout).To(BeNumerically(">", 2*time.Second))
}
