package peer_test

import (
	"net"
	"sync/atomic"
	"testing"
)

// valve is a connection through a proxy that can be silenced: bytes are read and lost.
type valve struct{ silent atomic.Bool }

func (v *valve) shut() { v.silent.Store(true) }

// newValve proxies to an address, and sends the valve of each connection.
func newValve(t *testing.T, to string) (address string, accepted <-chan *valve) {
	l := loopback(t)
	valves := make(chan *valve, 16)
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
			v := &valve{}
			valves <- v
			go v.copy(in, out)
			go v.copy(out, in)
		}
	}()
	return l.Addr().String(), valves
}

func (v *valve) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			return
		}
		if v.silent.Load() {
			continue
		}
		if _, err := to.Write(buf[:n]); err != nil {
			return
		}
	}
}
