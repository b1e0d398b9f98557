package box

import (
	"context"
	"time"

	"go.uber.org/zap"

	"leverdrum/event"
	"leverdrum/wire"
)

const (
	// drainsLength bounds the servers that wait to be told of.
	drainsLength = 256
	// drainsTimeout bounds one telling, drainsPause is the time to the next. drainsFor bounds all of them: by then the
	// server has ended.
	drainsTimeout = 500 * time.Millisecond
	drainsPause   = 250 * time.Millisecond
	drainsFor     = 30 * time.Second
)

// drains has all boxes know of servers that said in an answer to this box that they drain: no further request would bring
// the news again, so the leader is told until it is agreed.
type drains struct {
	parts   *parts
	log     *zap.Logger
	servers chan string
}

func newDrains(p *parts, log *zap.Logger) *drains {
	return &drains{parts: p, log: log, servers: make(chan string, drainsLength)}
}

// add has this box keep to what a server said at once, whatever is agreed. It does not block.
func (d *drains) add(server string) {
	d.parts.gateway.RecordDraining(server)
	select {
	case d.servers <- server:
	default:
		event.ServerDraining.Log(d.log, zap.String("server", server), zap.Bool("dropped", true))
	}
}

// run tells the leader until the context ends.
func (d *drains) run(ctx context.Context, f forward) {
	open := map[string]time.Time{} // since when it is to be told
	for {
		select {
		case <-ctx.Done():
			return
		case server := <-d.servers:
			open[server] = time.Now()
		case <-waitIf(len(open) > 0, drainsPause):
		}
		for server, since := range open {
			if d.known(server) || time.Since(since) > drainsFor {
				delete(open, server)
				continue
			}
			d.tell(ctx, f, server)
		}
	}
}

// known reports whether it is agreed that a server drains, or has gone.
func (d *drains) known(server string) bool {
	a := d.parts.replica.View().Announcements.Get(server)
	return a == nil || a.Leaving
}

func (d *drains) tell(ctx context.Context, f forward, server string) {
	ctx, cancel := context.WithTimeout(ctx, drainsTimeout)
	defer cancel()
	call := &wire.Forward{Kind: wire.ForwardKind_FORWARD_WITHDRAW, Withdraw: &wire.Withdraw{Id: server}, DeadlineMs: uint32(drainsTimeout.Milliseconds())}
	_, _ = f(ctx, call) // told again until it is agreed
}

// waitIf returns a channel on which a time comes after a pause, or never.
func waitIf(wanted bool, pause time.Duration) <-chan time.Time {
	if !wanted {
		return nil
	}
	return time.After(pause)
}
