package box

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"leverdrum/event"
	"leverdrum/internal/wait"
	"leverdrum/wire"
)

// membershipInterval is the time between two checks of this box's entry in the member list.
const membershipInterval = 500 * time.Millisecond

// maintainMembership updates this box's entry in the replicated member list when it differs from the
// box's own record.
func (b *Box) maintainMembership(ctx context.Context, p *components) {
	f := &forwarder{b, p}
	for ctx.Err() == nil {
		self := b.id.Self()
		if !proto.Equal(p.replica.View().Members[self.Box], self) {
			b.join(ctx, f, self)
		}
		wait.For(ctx, membershipInterval)
	}
}

func (b *Box) join(ctx context.Context, f *forwarder, self *wire.Member) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	call := &wire.Forward{Kind: wire.ForwardKind_FORWARD_JOIN, Member: self, DeadlineMs: uint32(forwardTimeout.Milliseconds())}
	if _, why := f.Forward(ctx, call); why == nil {
		event.BoxListed.Log(b.log, zap.Bool("leaving", self.Leaving))
	}
}
