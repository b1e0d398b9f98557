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

// suspectCheckInterval is the time between two checks for suspects to release.
const suspectCheckInterval = 5 * time.Second

// trackedSuspect records when this leader first saw a suspect in its current state.
type trackedSuspect struct {
	index uint64 // of its last change
	since time.Time
}

// RecordCrashes commits a box's report of requests during which servers terminated. The error is
// ErrNotLeader if the box does not lead.
func (c *Controller) RecordCrashes(ctx context.Context, r *wire.CrashReport) error {
	if !c.leads() {
		return replica.ErrNotLeader
	}
	view := c.opts.Replica.View()
	r = relevantCrashes(r, view)
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
		logSuspect(event.CrasherBlocked, c.opts.Log, s)
	}
	return nil
}

// relevantCrashes returns the part of a report that may change something, or nil if nothing does.
func relevantCrashes(r *wire.CrashReport, view *state.State) *wire.CrashReport {
	out := &wire.CrashReport{Box: r.GetBox()}
	for _, s := range r.GetSigns() {
		// A blocked request's prompt parts may be suspects of their own.
		if p, ok := crasher.ParseFingerprint(s.Print); ok && (len(s.Parts) > 0 || !view.Crashers.Blocks(p, s.Version)) {
			out.Signs = append(out.Signs, s)
		}
	}
	for _, s := range r.GetServed() {
		if s.RunsMs > 0 {
			if view.Crashers.RunMatters(s, time.Now().UnixMilli()) {
				out.Served = append(out.Served, s)
			}
			continue
		}
		if p, ok := crasher.ParseFingerprint(s.Print); ok && (s.Before || view.Crashers.Suspected(p, s.Version)) {
			out.Served = append(out.Served, s)
		}
	}
	if len(out.Signs)+len(out.Served) == 0 {
		return nil
	}
	return out
}

func logSuspect(e *event.Event, log *zap.Logger, s *wire.Suspect) {
	p, _ := crasher.ParseFingerprint(s.Print) // the committed table accepts no invalid ones
	e.Log(log, zap.Stringer("print", p), partField(s), zap.String("version", s.Version), zap.Strings("servers", s.Servers), zap.Uint32("holds", s.Holds), zap.Duration("for", crasher.TTL(s)))
}

// partField returns the prompt part that a suspect is, if it is one.
func partField(s *wire.Suspect) zap.Field {
	if s.Service == "" {
		return zap.Skip()
	}
	return zap.String("part", crasher.PartName(s.Service, s.Part))
}

// releaseSuspects releases suspects whose time has expired, as far as this leader has seen it pass.
func (c *Controller) releaseSuspects(ctx context.Context, view *state.State, now time.Time) {
	if now.Sub(c.suspectsCheckedAt) < suspectCheckInterval {
		return
	}
	c.suspectsCheckedAt = now
	expired := c.expiredSuspects(view, now)
	if len(expired) == 0 {
		return
	}
	result, err := c.propose(ctx, &wire.Command{Kind: &wire.Command_Release{Release: &wire.ReleaseSuspects{Suspects: expired}}})
	if err != nil {
		return // retried at the next check
	}
	for _, s := range result.Released {
		logSuspect(event.CrasherReleased, c.opts.Log, s)
	}
}

// expiredSuspects returns the suspects that have not changed for their whole duration.
func (c *Controller) expiredSuspects(view *state.State, now time.Time) (expired []*wire.Suspect) {
	seen := map[crasher.Key]trackedSuspect{}
	for key, s := range view.Crashers.Suspects {
		w, ok := c.suspects[key]
		if !ok || w.index != s.Index {
			w = trackedSuspect{s.Index, now}
		}
		seen[key] = w
		if now.Sub(w.since) >= crasher.TTL(s) {
			expired = append(expired, &wire.Suspect{Print: s.Print, Version: s.Version, Index: s.Index})
		}
	}
	c.suspects = seen
	return expired
}
