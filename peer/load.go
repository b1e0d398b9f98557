package peer

import (
	"bufio"
	"context"

	"github.com/hashicorp/yamux"

	"leverdrum/meter"
	"leverdrum/reason"
	"leverdrum/wire"
)

// maxLoadFrame is the maximum size of a LoadUpdate in bytes, many times that of the largest one sent.
const maxLoadFrame = 64 << 10

// LoadHandler is implemented by a Handler that serves load streams.
type LoadHandler interface {
	// ServeLoad serves a stream opened by another box until it ends or the context does. It must close the stream.
	ServeLoad(ctx context.Context, from *wire.Member, kind wire.LoadStream_Kind, s *LoadStream)
}

// LoadStream carries LoadUpdate frames in both directions. One goroutine may send while another receives.
type LoadStream struct {
	frameStream
	meters *meter.Meters
}

// Send writes a frame. It returns an error if the peer accepts nothing for writeTimeout.
func (l *LoadStream) Send(u *wire.LoadUpdate) error {
	l.meters.Count(meter.LoadFrames, "out").Inc()
	return l.send(u)
}

// Receive reads the next frame. It returns an error once the stream or its session has ended, or if the peer does not
// support load streams.
func (l *LoadStream) Receive(u *wire.LoadUpdate) error {
	if err := l.receive(maxLoadFrame, u); err != nil {
		return err
	}
	l.meters.Count(meter.LoadFrames, "in").Inc()
	return nil
}

// OpenLoad opens a load stream to a box. The context bounds only the opening.
func (p *Pool) OpenLoad(ctx context.Context, box string, kind wire.LoadStream_Kind) (*LoadStream, error) {
	f, err := p.openFrameStream(ctx, box)
	if err != nil {
		return nil, err
	}
	out := &LoadStream{frameStream: *f, meters: p.meters}
	if err := out.send(&wire.Request{Kind: &wire.Request_Load{Load: &wire.LoadStream{Kind: kind}}}); err != nil {
		_ = out.Close() // the error below is reported
		return nil, err
	}
	return out, nil
}

// load serves a load stream that the peer opened. A box that does not support them refuses it by ending it.
func (s *Server) load(ctx context.Context, from *wire.Member, kind wire.LoadStream_Kind, stream *yamux.Stream, r *bufio.Reader) {
	h, supported := s.handler.(LoadHandler)
	if !supported {
		s.meters.CountRefusal(reason.PeerUnknownRequest)
		return
	}
	l := &LoadStream{frameStream: *newFrameStream(stream, r), meters: s.meters}
	// A session that ends cancels the context. The read in progress fails then, and a write when the stream is closed.
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	defer stop()
	h.ServeLoad(ctx, from, kind, l)
}
