package box

import (
	"context"
	"time"

	"go.uber.org/zap"

	"leverdrum/event"
	"leverdrum/wire"
)

const (
	// maxQueuedDrains bounds the queue of draining servers not yet reported.
	maxQueuedDrains = 256
	// drainSendTimeout bounds one report, drainRetryPause is the delay before the next. drainRetryDuration bounds all
	// attempts: by then the server has terminated.
	drainSendTimeout   = 500 * time.Millisecond
	drainRetryPause    = 250 * time.Millisecond
	drainRetryDuration = 30 * time.Second
)

// drainReporter reports to the leader the servers that announced in a response to this box that they are draining. No
// further request would repeat that announcement, so the report is retried until it is committed and reaches all boxes.
type drainReporter struct {
	components *components
	log        *zap.Logger
	servers    chan string
}

func newDrainReporter(p *components, log *zap.Logger) *drainReporter {
	return &drainReporter{components: p, log: log, servers: make(chan string, maxQueuedDrains)}
}

// add makes this box treat a server as draining immediately, whatever the committed state says, and queues the report. It
// does not block.
func (d *drainReporter) add(server string) {
	d.components.gateway.RecordDraining(server)
	select {
	case d.servers <- server:
	default:
		event.ServerDraining.Log(d.log, zap.String("server", server), zap.Bool("dropped", true))
	}
}

// run reports draining servers to the leader until the context ends.
func (d *drainReporter) run(ctx context.Context, f forwardFunc) {
	pending := map[string]time.Time{} // when the server was queued
	for {
		select {
		case <-ctx.Done():
			return
		case server := <-d.servers:
			pending[server] = time.Now()
		case <-afterIf(len(pending) > 0, drainRetryPause):
		}
		for server, since := range pending {
			if d.committed(server) || time.Since(since) > drainRetryDuration {
				delete(pending, server)
				continue
			}
			d.send(ctx, f, server)
		}
	}
}

// committed reports whether the committed state has a server as draining or removed.
func (d *drainReporter) committed(server string) bool {
	a := d.components.replica.View().Announcements.Get(server)
	return a == nil || a.Leaving
}

func (d *drainReporter) send(ctx context.Context, f forwardFunc, server string) {
	ctx, cancel := context.WithTimeout(ctx, drainSendTimeout)
	defer cancel()
	call := &wire.Forward{Kind: wire.ForwardKind_FORWARD_WITHDRAW, Withdraw: &wire.Withdraw{Id: server}, DeadlineMs: uint32(drainSendTimeout.Milliseconds())}
	_, _ = f(ctx, call) // retried until committed
}

// afterIf returns a channel that fires after a pause, or nil if it is not wanted.
func afterIf(wanted bool, pause time.Duration) <-chan time.Time {
	if !wanted {
		return nil
	}
	return time.After(pause)
}
