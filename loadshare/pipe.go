package loadshare

import (
	"errors"
	"sync"

	"google.golang.org/protobuf/proto"

	"leverdrum/wire"
)

var errPipeClosed = errors.New("loadshare: stream is closed")

// pipeEnd is one end of a stream inside a process: between a hub and its own box, and in tests.
type pipeEnd struct {
	out, in chan *wire.LoadUpdate
	closed  chan struct{} // of both ends
	close   func()
}

// Pipe returns the ends of a stream inside a process.
func Pipe() (a, b Stream) { return pipe() }

func pipe() (a, b *pipeEnd) {
	const buffered = 4 // frames
	there, back, closed := make(chan *wire.LoadUpdate, buffered), make(chan *wire.LoadUpdate, buffered), make(chan struct{})
	end := sync.OnceFunc(func() { close(closed) })
	return &pipeEnd{there, back, closed, end}, &pipeEnd{back, there, closed, end}
}

// Send copies the frame, which the sender may change afterwards.
func (p *pipeEnd) Send(u *wire.LoadUpdate) error {
	select {
	case p.out <- proto.CloneOf(u):
		return nil
	case <-p.closed:
		return errPipeClosed
	}
}

func (p *pipeEnd) Receive(u *wire.LoadUpdate) error {
	select {
	case next := <-p.in:
		proto.Merge(u, next) // u is empty
		return nil
	case <-p.closed:
		return errPipeClosed
	}
}

func (p *pipeEnd) Close() error {
	p.close()
	return nil
}
