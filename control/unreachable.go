package control

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"leverdrum/event"
	"leverdrum/wire"
)

// Rules for announced servers that boxes cannot connect to:
//
//  1. A port without a listener refuses connections at once: the process has terminated, seconds
//     before missing announcements show it. A server that is only overloaded may refuse, too.
//  2. So it takes the reports of two boxes within a short time, each without a remaining
//     connection to the server. If there is no other box, one report suffices.
//  3. Such a server counts as unresponsive, not as removed: its next announcement makes it
//     available again.
//  4. A server that does not answer at all may only be partitioned from those boxes. It counts as
//     unresponsive once one of its announcements is overdue, too.

const (
	// suspicionReportTTL is how long a box's report on a server counts.
	suspicionReportTTL = 1500 * time.Millisecond
	// unreachedTimeout is the time without an announcement after which an unreachable server counts
	// as unresponsive.
	unreachedTimeout = 1700 * time.Millisecond
)

// suspicion holds the reports on a server since its last announcement.
type suspicion struct {
	reports map[string]time.Time // by box
	acted   bool                 // the server was marked unresponsive for it
}

// noteConnectionFailures implements the rules above.
func (c *Controller) noteConnectionFailures(ctx context.Context, f *wire.Forward) {
	needed := min(2, len(c.opts.Replica.View().Members))
	for _, id := range f.Refusing {
		if c.noteSuspicion(id, f.Box, needed, true, time.Now()) {
			c.markUnresponsive(ctx, id, zap.String("why", "it refuses connections"))
		}
	}
	for _, id := range f.Unreached {
		silence := c.sinceLastSeen(id, c.leadingFor())
		if c.noteSuspicion(id, f.Box, needed, silence >= unreachedTimeout, time.Now()) { // (4)
			c.markUnresponsive(ctx, id, zap.Duration("silence", silence))
		}
	}
}

// noteSuspicion records a box's report and returns whether a server must now be marked
// unresponsive: enough reports are valid (2), the failure is confirmed, and the server was not
// marked for this suspicion before.
func (c *Controller) noteSuspicion(id, box string, needed int, confirmed bool, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.suspicions[id]
	if d == nil {
		d = &suspicion{reports: map[string]time.Time{}}
		c.suspicions[id] = d
	}
	d.reports[box] = now
	for reportingBox, at := range d.reports {
		if now.Sub(at) > suspicionReportTTL {
			delete(d.reports, reportingBox)
		}
	}
	if d.acted || !confirmed || len(d.reports) < needed {
		return false
	}
	d.acted = true
	return true
}

// markUnresponsive commits that a server is unresponsive (3); why is added to the log line. If the
// commit fails, the suspicion stays, and the next report tries again.
func (c *Controller) markUnresponsive(ctx context.Context, id string, why zap.Field) {
	view := c.opts.Replica.View()
	a := view.Announcements.Get(id)
	if a == nil || a.Silent || a.Leaving {
		return
	}
	next := proto.CloneOf(a)
	next.Silent = true
	if _, err := c.propose(ctx, &wire.Command{Kind: &wire.Command_Announce{Announce: next}}); err != nil {
		c.retrySuspicion(id)
		return
	}
	event.ServerUnresponsive.Log(c.opts.Log, zap.String("server", id), why)
}

func (c *Controller) retrySuspicion(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d := c.suspicions[id]; d != nil {
		d.acted = false
	}
}
