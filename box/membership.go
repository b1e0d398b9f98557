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

// joinEvery is the time between two looks at the own row in the list.
const joinEvery = 500 * time.Millisecond

// keepMembership sees to it that the agreed list shows this box as it is.
func (b *Box) keepMembership(ctx context.Context, p *parts) {
	f := &forwarder{b, p}
	for ctx.Err() == nil {
		self := b.id.Self()
		if !proto.Equal(p.replica.View().Members[self.Box], self) {
			b.join(ctx, f, self)
		}
		wait.For(ctx, joinEvery)
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
