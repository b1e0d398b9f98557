package peer

import (
	"bufio"
	"context"
	"sync"

	"github.com/hashicorp/yamux"

	"leverdrum/meter"
	"leverdrum/reason"
	"leverdrum/wire"
)

// maxRelayFrame is the maximum size of a RelayFrame in bytes.
const maxRelayFrame = 1 << 20

// RelayHandler is implemented by a Handler that relays requests to backend servers.
type RelayHandler interface {
	// ServeRelay relays a request of another box and sends its answer. The context ends when the other box has closed the
	// stream.
	ServeRelay(ctx context.Context, from *wire.Member, r *wire.RelayRequest, s *RelayStream)
}

// RelayStream carries the answer to a RelayRequest. One goroutine may use it at a time, but any may close it.
type RelayStream struct{ frameStream }

// Send writes a frame. It returns an error if the peer accepts nothing for writeTimeout.
func (s *RelayStream) Send(f *wire.RelayFrame) error { return s.send(f) }

// Receive reads the next frame. It returns an error once the stream or its session has ended, or if the peer does not relay
// requests.
func (s *RelayStream) Receive(f *wire.RelayFrame) error { return s.receive(maxRelayFrame, f) }

// OpenRelay asks a box to relay a request. The context bounds only the opening. sent reports whether the box may have received
// the request; it is false only if the error is not nil.
func (p *Pool) OpenRelay(ctx context.Context, box string, r *wire.RelayRequest) (s *RelayStream, sent bool, err error) {
	f, err := p.openFrameStream(ctx, box)
	if err != nil {
		return nil, false, err
	}
	p.meters.Count(meter.PeerMessages, "out").Inc()
	if err := f.send(&wire.Request{Kind: &wire.Request_Relay{Relay: r}}); err != nil {
		_ = f.Close() // the error below is reported
		return nil, true, err
	}
	return &RelayStream{*f}, true, nil
}

// relay serves a relay stream that the peer opened. A box that does not support them refuses it by ending it.
func (s *Server) relay(ctx context.Context, from *wire.Member, request *wire.RelayRequest, stream *yamux.Stream, r *bufio.Reader) {
	h, supported := s.handler.(RelayHandler)
	if !supported {
		s.meters.CountRefusal(reason.PeerUnknownRequest)
		return
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	out := &RelayStream{*newFrameStream(stream, r)}
	// A session that ends cancels the context, too.
	stop := context.AfterFunc(ctx, func() { _ = out.Close() })
	defer stop()
	var reading sync.WaitGroup
	reading.Go(func() {
		defer cancel()
		_, _ = r.ReadByte() // the peer sends nothing more: it closes the stream when it needs no answer
	})
	h.ServeRelay(ctx, from, request, out)
	_ = out.Close() // ends the read; the peer sees the end of the answer in its last frame
	reading.Wait()
}
