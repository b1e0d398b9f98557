package gateway

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// memBuffer is the number of bytes that one direction of a memConn holds.
const memBuffer = 16 << 10

// memPipe is one direction of a memConn.
type memPipe struct {
	mu       sync.Mutex
	changed  sync.Cond
	data     []byte
	closed   bool // by its writer
	broken   bool // closed by its reader: what is written is lost
	deadline time.Time
	timer    *time.Timer // wakes the reader at the deadline
}

func newMemPipe() *memPipe {
	p := &memPipe{}
	p.changed.L = &p.mu
	return p
}

func (p *memPipe) expired() bool { return !p.deadline.IsZero() && !time.Now().Before(p.deadline) }

func (p *memPipe) read(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		switch {
		case p.broken:
			return 0, net.ErrClosed
		case p.expired():
			return 0, os.ErrDeadlineExceeded
		case len(p.data) > 0:
			n := copy(b, p.data)
			p.data = p.data[n:]
			p.changed.Broadcast()
			return n, nil
		case p.closed:
			return 0, io.EOF
		}
		p.changed.Wait()
	}
}

func (p *memPipe) write(b []byte) (n int, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for len(b) > 0 {
		switch {
		case p.broken:
			return n, syscall.EPIPE
		case p.closed:
			return n, net.ErrClosed
		case len(p.data) == memBuffer:
			p.changed.Wait()
			continue
		}
		k := min(len(b), memBuffer-len(p.data))
		p.data = append(p.data, b[:k]...)
		b, n = b[k:], n+k
		p.changed.Broadcast()
	}
	return n, nil
}

func (p *memPipe) end(byReader bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = p.closed || !byReader
	p.broken = p.broken || byReader
	if p.timer != nil {
		p.timer.Stop()
	}
	p.changed.Broadcast()
}

func (p *memPipe) setDeadline(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.deadline = at
	if p.timer != nil {
		p.timer.Stop()
	}
	if left := time.Until(at); !at.IsZero() && left > 0 {
		p.timer = time.AfterFunc(left, p.changed.Broadcast)
	}
	p.changed.Broadcast()
}

// memConn is one end of a connection in memory, whose waits are durably blocking in a synctest bubble.
type memConn struct{ in, out *memPipe }

func newMemConns() (near, far *memConn) {
	a, b := newMemPipe(), newMemPipe()
	return &memConn{a, b}, &memConn{b, a}
}

func (c *memConn) Read(b []byte) (int, error)  { return c.in.read(b) }
func (c *memConn) Write(b []byte) (int, error) { return c.out.write(b) }

func (c *memConn) Close() error {
	c.out.end(false)
	c.in.end(true)
	return nil
}

// Peek implements peeker.
func (c *memConn) Peek() (int, error) {
	c.in.mu.Lock()
	defer c.in.mu.Unlock()
	switch {
	case len(c.in.data) > 0:
		return 1, nil
	case c.in.closed:
		return 0, nil
	}
	return 0, syscall.EAGAIN
}

func (c *memConn) LocalAddr() net.Addr  { return &net.TCPAddr{} }
func (c *memConn) RemoteAddr() net.Addr { return &net.TCPAddr{} }

func (c *memConn) SetDeadline(at time.Time) error {
	c.in.setDeadline(at)
	return nil
}
func (c *memConn) SetReadDeadline(at time.Time) error  { return c.SetDeadline(at) }
func (c *memConn) SetWriteDeadline(at time.Time) error { return nil }
