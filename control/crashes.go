package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"leverdrum/crasher"
	"leverdrum/event"
	"leverdrum/replica"
	"leverdrum/state"
	"leverdrum/wire"
)

// suspectsEvery is the time between two looks at who is let go.
const suspectsEvery = 5 * time.Second

// watched is a suspect as this leader saw it first.
type watched struct {
	index uint64 // of its newest change
	since time.Time
}

// RecordCrashes has what a box tells of requests under which servers ended agreed. The error is ErrNotLeader where
// the box does not lead.
func (c *Controller) RecordCrashes(ctx context.Context, r *wire.CrashReport) error {
	if !c.leads() {
		return replica.ErrNotLeader
	}
	view := c.opts.Replica.View()
	r = news(r, view)
	if r == nil {
		return nil
	}
	now := c.opts.Replica.Now().Milliseconds()
	for _, s := range r.Signs {
		s.SentMs, s.EndedMs = now-int64(s.SentAgoMs), now-int64(s.EndedAgoMs)
		s.SentAgoMs, s.EndedAgoMs = 0, 0
	}
	result, err := c.opts.Replica.Propose(ctx, &wire.Command{Kind: &wire.Command_Crashes{Crashes: r}})
	if err != nil {
		return err
	}
	for _, s := range result.Blocked {
		logSuspect(event.CrasherHeld, c.opts.Log, s)
	}
	return nil
}

// news returns the part of a report that may change something, nil where nothing does.
func news(r *wire.CrashReport, view *state.State) *wire.CrashReport {
	out := &wire.CrashReport{Box: r.GetBox()}
	for _, s := range r.GetSigns() {
		if p, ok := crasher.ParseFingerprint(s.Print); ok && !view.Crashers.Blocks(p, s.Version) {
			out.Signs = append(out.Signs, s)
		}
	}
	for _, s := range r.GetServed() {
		if p, ok := crasher.ParseFingerprint(s.Print); ok && view.Crashers.Suspected(p, s.Version) {
			out.Served = append(out.Served, s)
		}
	}
	if len(out.Signs)+len(out.Served) == 0 {
		return nil
	}
	return out
}

func logSuspect(e *event.Event, log *zap.Logger, s *wire.Suspect) {
	p, _ := crasher.ParseFingerprint(s.Print) // the agreed table takes no others
	e.Log(log, zap.Stringer("print", p), zap.String("version", s.Version), zap.Strings("servers", s.Servers), zap.Uint32("holds", s.Holds), zap.Duration("for", crasher.TTL(s)))
}

// releaseSuspects has suspects let go whose time is over, as far as this leader has seen it pass.
func (c *Controller) releaseSuspects(ctx context.Context, view *state.State, now time.Time) {
	if now.Sub(c.suspectsAt) < suspectsEvery {
		return
	}
	c.suspectsAt = now
	due := c.dueSuspects(view, now)
	if len(due) == 0 {
		return
	}
	result, err := c.propose(ctx, &wire.Command{Kind: &wire.Command_Release{Release: &wire.ReleaseSuspects{Suspects: due}}})
	if err != nil {
		return // looked at again
	}
	for _, s := range result.Released {
		logSuspect(event.CrasherReleased, c.opts.Log, s)
	}
}

// dueSuspects returns those that have stayed as they are for their time.
func (c *Controller) dueSuspects(view *state.State, now time.Time) (due []*wire.Suspect) {
	seen := map[crasher.Key]watched{}
	for key, s := range view.Crashers.Suspects {
		w, ok := c.suspects[key]
		if !ok || w.index != s.Index {
			w = watched{s.Index, now}
		}
		seen[key] = w
		if now.Sub(w.since) >= crasher.TTL(s) {
			due = append(due, &wire.Suspect{Print: s.Print, Version: s.Version, Index: s.Index})
		}
	}
	c.suspects = seen
	return due
}
