package box

import (
	"context"

	"leverdrum/gateway"
	"leverdrum/peer"
	"leverdrum/reason"
	"leverdrum/wire"
)

// openRelay asks another box to relay a request to a backend server.
func (b *Box) openRelay(ctx context.Context, box string, r *wire.RelayRequest) (gateway.RelayStream, bool, error) {
	s, sent, err := b.pool.OpenRelay(ctx, box, r)
	if err != nil {
		return nil, sent, err
	}
	return s, sent, nil
}

// ServeRelay implements peer.RelayHandler.
func (b *Box) ServeRelay(ctx context.Context, from *wire.Member, r *wire.RelayRequest, s *peer.RelayStream) {
	if from.GetBox() != "" {
		b.callers.record(from)
	}
	p := b.components.Load()
	if p == nil || b.stopping.Load() {
		_ = s.Send(&wire.RelayFrame{Failure: &wire.RelayFailure{Kind: wire.RelayFailure_DECLINED, Text: reason.Stopping.Code}}) // the other box asks another one
		return
	}
	p.gateway.ServeRelay(ctx, r, s)
}
