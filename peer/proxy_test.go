package peer_test

import (
	"net"
	"sync/atomic"
	"testing"
)

// proxiedConn is a proxied connection that can be made unresponsive: bytes are read and
// discarded.
type proxiedConn struct{ discard atomic.Bool }

func (v *proxiedConn) blackhole() { v.discard.Store(true) }

// newBlackholeProxy forwards connections to an address and sends the proxiedConn of each.
func newBlackholeProxy(t *testing.T, to string) (address string, accepted <-chan *proxiedConn) {
	l := listenLoopback(t)
	conns := make(chan *proxiedConn, 16)
	go func() {
		for {
			in, err := l.Accept()
			if err != nil {
				return
			}
			out, err := net.Dial("tcp", to)
			if err != nil {
				in.Close()
				return
			}
			v := &proxiedConn{}
			conns <- v
			go v.copy(in, out)
			go v.copy(out, in)
		}
	}()
	return l.Addr().String(), conns
}

func (v *proxiedConn) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if v.discard.Load() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
