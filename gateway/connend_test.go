package gateway

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/internal/framing"
)

// Guards against a reset that reads as the end of a response, because a look for unread bytes has received its error.
func TestResetSeenByAPeekIsReportedToTheReader(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	connected := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		<-connected
		_ = c.(*net.TCPConn).SetLinger(0)
		c.Close()
	}()
	p := newConnPool(l.Addr().String())
	g.Expect(p.reserve()).To(BeTrue())
	x, err := p.dial(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	defer x.Close()
	close(connected)
	g.Eventually(func() error { _, err := x.peek(); return err }, 10*time.Second, time.Millisecond).Should(Equal(syscall.ECONNRESET))
	_, err = x.in.ReadByte()
	g.Expect(err).To(MatchError(syscall.ECONNRESET))
	g.Expect(err).NotTo(MatchError(io.EOF))
}

// Guards against a response that counts as ended although its server closed the connection before it had received the request.
func TestEndBeforeTheRequestWasReceivedIsNoEnd(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	written := make(chan struct{})
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		<-written
		_ = c.(*net.TCPConn).CloseWrite() // reads nothing, and the rest of the request does not fit its buffers
		time.Sleep(10 * time.Second)
	}()
	p := newConnPool(l.Addr().String())
	g.Expect(p.reserve()).To(BeTrue())
	x, err := p.dial(t.Context())
	g.Expect(err).NotTo(HaveOccurred())
	defer x.Close()
	g.Expect(x.SetWriteDeadline(time.Now().Add(100 * time.Millisecond))).To(Succeed())
	n, _ := x.Conn.Write(make([]byte, 64<<20)) // fills the buffers of both sides
	close(written)
	_, err = x.in.ReadByte()
	g.Expect(err).To(MatchError(io.EOF))
	g.Expect(framing.Unacknowledged(x.Conn)).To(And(BeNumerically(">", 0), BeNumerically("<=", n)))
	g.Expect((&response{conn: x}).endOfUpload()).To(Equal(errUploadUnfinished))
}
