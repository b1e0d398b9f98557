// Package throttle applies the limits that backend servers report: how many requests per second a server accepts
// from all boxes together, for as long as its responses say so.
//
// Rules:
//
//  1. Of the limit that a response reported to this box and the committed one, the newer applies. A box that receives
//     another limit than the committed one reports it to the leader, which commits it for all boxes.
//  2. Each attempt at a server with a limit, first or retry, needs a lease of it (package rate). The lease of an attempt
//     that was never sent is released.
//  3. A server whose limit is exhausted is skipped until it admits more. The request goes to another server, or is
//     refused with that time.
//  4. Servers without a limit are preferred. A server with a limit is probed with a request from time to time: otherwise
//     no box would learn that the limit has ended. The probes of all boxes together stay below the limit.
//  5. A server that is warming up, by its heartbeats, has a limit as if it had reported one. So has a server without
//     recent heartbeats, and one that this box recently failed to reach: it may be starting and not have reported that
//     yet.
package throttle

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"leverdrum/dialect"
	"leverdrum/event"
	"leverdrum/meter"
	"leverdrum/rate"
	"leverdrum/state"
)

const (
	// minBurst, in requests, and burstSpan, in seconds of the limit, are what a server may receive beyond its limit.
	// This admits two simultaneous requests; a more urgent one may take the second.
	minBurst  = 2.0
	burstSpan = 0.5
	// reportInterval is the minimum time before the same limit of a server is reported to the leader again.
	reportInterval = 300 * time.Millisecond
	// minChange is the relative change of a limit from which it is reported to the leader: some servers report another
	// limit with each response.
	minChange = 0.05
	// minProbeInterval is the minimum of the mean time between a box's probes of a server (4). The probes of all boxes
	// take at most the share probeShare of the limit.
	minProbeInterval = 2 * time.Second
	probeShare       = 0.5
	// maxProbeIntervals bounds the time between two probes, as a multiple of the mean.
	maxProbeIntervals = 5
	// unreachableTTL is how long an unreachable server counts as possibly warming up (5): until its next heartbeat has
	// reached all boxes.
	unreachableTTL = 3 * time.Second
	// maxReports bounds the servers whose reports are kept. When it is reached, reports older than reportTTL are
	// dropped.
	maxReports = 4096
	reportTTL  = time.Minute
)

// Options configures a Throttle.
type Options struct {
	Limiter *rate.Limiter
	// View returns the committed state.
	View func() *state.State
	// ReportLimit reports a server's limit to the leader. It must not block.
	ReportLimit func(server string, limit dialect.Limit)
	Meters      *meter.Meters
	Log         *zap.Logger
}

// Throttle holds what one box knows of servers' limits.
type Throttle struct {
	opts Options

	mu      sync.Mutex
	reports map[string]*report // by server
	// unreachable holds when a server that may be warming up could last not be reached (5).
	unreachable map[string]time.Time
}

// report is what a server reported to this box, or what was committed since.
type report struct {
	limit           dialect.Limit
	committed       dialect.Limit // at the time when limit was recorded
	at              time.Time     // of the server's latest response to this box
	probeAt         time.Time     // when it is to be probed although others are preferred
	lastReported    dialect.Limit // to the leader
	reportedAt      time.Time
	malformedLogged bool // a malformed value was logged
}

func New(opts Options) *Throttle {
	return &Throttle{opts: opts, reports: map[string]*report{}, unreachable: map[string]time.Time{}}
}

// RecordReport records the limit in a server's response. A response without one ends the limit, if it certainly comes
// from the server itself.
func (t *Throttle) RecordReport(server string, r dialect.Report) {
	reported := r.HasLimit || r.LimitErr != nil
	if t == nil || !reported && (!r.FromServer || !t.hasLimit(server)) {
		return
	}
	now := time.Now()
	limit, definite, err := r.Limit, r.HasLimit || !reported, r.LimitErr
	committed := t.opts.View().LimitOf(server)
	t.mu.Lock()
	defer t.mu.Unlock()
	rep := t.reportFor(server, committed, now)
	rep.at = now
	if !definite {
		limit = rep.limit
	}
	if err != nil && !rep.malformedLogged {
		rep.malformedLogged = true
		event.LimitMalformed.Log(t.opts.Log, zap.String("server", server), zap.Float64("limit", limit.PerSecond()), event.ErrorField(err))
	}
	if limit != rep.limit {
		event.ServerLimited.Log(t.opts.Log, zap.String("server", server), zap.Float64("limit", limit.PerSecond()), zap.Float64("before", rep.limit.PerSecond()))
		rep.limit = limit
	}
	if definite && significantChange(limit, committed) && (rep.lastReported != limit || now.Sub(rep.reportedAt) >= reportInterval) {
		rep.lastReported, rep.reportedAt = limit, now
		t.opts.ReportLimit(server, limit)
	}
}

// significantChange reports whether a limit differs enough from the committed one to be reported.
func significantChange(limit, committed dialect.Limit) bool {
	if limit == 0 || committed == 0 {
		return limit != committed
	}
	change := limit.PerSecond() - committed.PerSecond()
	return max(change, -change) > minChange*committed.PerSecond()
}

// hasLimit reports whether a limit of a server is known, committed or reported.
func (t *Throttle) hasLimit(server string) bool {
	if t.opts.View().LimitOf(server) != 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reports[server] != nil
}

// reportFor returns the report that applies, by rule 1. The caller holds the lock.
func (t *Throttle) reportFor(server string, committed dialect.Limit, now time.Time) *report {
	rep := t.reports[server]
	if rep == nil {
		if len(t.reports) >= maxReports {
			t.evictOldReports(now)
		}
		rep = &report{limit: committed, committed: committed, at: now}
		t.reports[server] = rep
	}
	if rep.committed != committed {
		rep.committed, rep.limit = committed, committed
	}
	return rep
}

func (t *Throttle) evictOldReports(now time.Time) {
	for server, rep := range t.reports {
		if now.Sub(rep.at) > reportTTL {
			delete(t.reports, server)
		}
	}
}

// Active reports whether any server may have a limit. If not, callers can skip the lookups.
func (t *Throttle) Active() bool {
	if t == nil {
		return false
	}
	view := t.opts.View()
	if len(view.Limits) > 0 || view.Fleet != nil && view.Fleet.HasWarmUp {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.reports) > 0
}

// Limit returns a server's limit, 0 for none: the one that it reports, or the lower one that it has while it is
// warming up.
func (t *Throttle) Limit(server string) dialect.Limit {
	if t == nil {
		return 0
	}
	return lower(t.reportedLimit(server), t.warmUpLimit(server))
}

// lower returns the lower of two limits, where 0 means no limit.
func lower(a, b dialect.Limit) dialect.Limit {
	if a == 0 || b == 0 {
		return max(a, b)
	}
	return min(a, b)
}

// RecordUnreachable records that no connection to a server could be opened (5).
func (t *Throttle) RecordUnreachable(server string) {
	if t == nil || t.opts.View().WarmUpRate(server) == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.unreachable) >= maxReports {
		clear(t.unreachable)
	}
	t.unreachable[server] = time.Now()
}

// warmUpLimit returns the limit by rule 5, 0 for none.
func (t *Throttle) warmUpLimit(server string) dialect.Limit {
	view := t.opts.View()
	if view.Fleet == nil || !view.Fleet.HasWarmUp {
		return 0
	}
	if limit := view.WarmUpLimit(server); limit != 0 {
		return limit
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	at, known := t.unreachable[server]
	switch {
	case !known:
		return 0
	case time.Since(at) > unreachableTTL:
		delete(t.unreachable, server)
		return 0
	}
	return view.WarmUpRate(server)
}

// reportedLimit returns the limit that a server reports, 0 for none.
func (t *Throttle) reportedLimit(server string) dialect.Limit {
	committed := t.opts.View().LimitOf(server)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reports[server] == nil && committed == 0 {
		return 0
	}
	rep := t.reportFor(server, committed, time.Now())
	if rep.limit == 0 && committed == 0 { // it has ended for all boxes
		delete(t.reports, server)
	}
	return rep.limit
}

// LimitOf returns the limit for all boxes together that follows from a server's reported limit.
func LimitOf(l dialect.Limit) rate.Limit {
	if l == 0 {
		return rate.Limit{}
	}
	perSecond := l.PerSecond()
	return rate.Limit{PerSecond: perSecond, Burst: minBurst + burstSpan*perSecond}
}

// EffectiveLimit returns the limit for all boxes together of a server that reports a limit and is warming up; either
// may be 0. A server that is warming up fails at little more than its rate, so that limit has no burst proportional to
// it.
func EffectiveLimit(reported, warmUp dialect.Limit) rate.Limit {
	if warmUp == 0 || lower(reported, warmUp) != warmUp {
		return LimitOf(reported)
	}
	return rate.Limit{PerSecond: warmUp.PerSecond(), Burst: minBurst}
}

// Exhausted returns how long a server's limit will admit no request of a rank (3), false if it admits one.
func (t *Throttle) Exhausted(server string, rank int) (time.Duration, bool) {
	if t.Limit(server) == 0 {
		return 0, false
	}
	return t.opts.Limiter.Exhausted(rate.Key{Name: server, Rank: rank})
}

// Take charges an attempt of a rank to the server's limit (2). The refusal is nil if the attempt is admitted or there
// is no limit.
func (t *Throttle) Take(ctx context.Context, server string, rank int) (rate.Charge, *rate.Refusal) {
	if t == nil {
		return rate.Charge{}, nil
	}
	limit := EffectiveLimit(t.reportedLimit(server), t.warmUpLimit(server))
	if !limit.Bounded() {
		return rate.Charge{}, nil
	}
	charge, refusal := t.opts.Limiter.Take(ctx, rate.Key{Name: server, Rank: rank}, limit, 1)
	outcome := meter.Permitted
	if refusal != nil {
		outcome = meter.Denied
	}
	t.opts.Meters.Count(meter.LimitedAttempts, outcome).Inc()
	return charge, refusal
}

// DueForProbe reports whether a server with a limit is to be probed now although others are preferred (4).
func (t *Throttle) DueForProbe(server string) bool {
	now, boxes := time.Now(), len(t.opts.View().Members)
	t.mu.Lock()
	defer t.mu.Unlock()
	rep := t.reports[server]
	if rep == nil || rep.limit == 0 {
		return false
	}
	if now.Before(rep.probeAt) {
		return false
	}
	due := !rep.probeAt.IsZero()
	// The interval is random, so that boxes that received the limit simultaneously do not probe the server
	// simultaneously.
	mean := max(minProbeInterval.Seconds(), float64(boxes)/(probeShare*rep.limit.PerSecond()))
	rep.probeAt = now.Add(time.Duration(min(rand.ExpFloat64(), maxProbeIntervals) * mean * float64(time.Second)))
	return due
}
