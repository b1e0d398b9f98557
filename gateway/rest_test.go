package gateway

import (
	"context"
	"errors"
	"net"
	"testing"

	. "github.com/onsi/gomega"

	"leverdrum/reason"
)

// A rest that begins while a connection is being opened holds for the request that is to go on it, too: nothing is sent, the
// connection is kept, and the attempt has not run.
func TestARestThatBeginsWhileAConnectionIsOpenedHolds(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	got := make(chan int, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		n, _ := c.Read(make([]byte, 100)) // ends with the connection
		got <- n
	}()
	to := newConns(l.Addr().String())
	o := &outgoing{method: "POST", target: "/", host: "h", id: "r", sendable: func() bool { return false }}
	_, f := exchange(context.Background(), to, o, "X-Request-Id", 0, nil)
	g.Expect(f).NotTo(BeNil())
	g.Expect(f.outcome).To(Equal(reason.NotRun))
	g.Expect(errors.Is(f.cause, ErrResting)).To(BeTrue())
	g.Expect(f.unsent()).To(BeTrue())
	to.close()
	g.Eventually(got).Should(Receive(BeZero()))
}
