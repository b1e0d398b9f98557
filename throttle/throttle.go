// Package throttle keeps a box to the limits that backend servers name: how many requests a second a server
// takes from all boxes together, for as long as its answers say so.
//
// Rules:
//
//  1. Of what an answer reported to this box and what is agreed, the newer holds. A box that was told another limit than
//     is agreed tells the leader, which has it agreed for all.
//  2. Each attempt at a server with a limit, first or not, needs a lease of it (package rate). The lease of an attempt that
//     was never sent is released.
//  3. A server whose limit is exhausted is skipped until it admits more; the request goes to another, or is refused with
//     that time.
//  4. Servers without a limit are preferred. Now and then a request goes to one with a limit all the same: otherwise nobody
//     would learn that the limit has ended. All boxes together do so less often than the limit allows.
//  5. A server that warms up, by its heartbeats, has a limit like one that names it. So has one that is not heard, or that
//     this box lately could not reach: it may be starting, and has not said so yet.
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
	// minBurst, in requests, and burstSpan, in seconds of the limit, are what a server may get beyond its limit: room for
	// two that come at once, of which a more urgent one may take the second.
	minBurst  = 2.0
	burstSpan = 0.5
	// reportInterval is the least time in which the leader is told the same of a server again.
	reportInterval = 300 * time.Millisecond
	// minChange is the change of a limit, as a share of it, from which the leader is told: some servers name
	// another with each answer.
	minChange = 0.05
	// minTryInterval is the mean time between a box's tries of a server (4) at the least, tryShare the part of the limit that
	// such tries of all boxes take.
	minTryInterval = 2 * time.Second
	tryShare       = 0.5
	// maxTryIntervals bounds the time between two tries, in mean times.
	maxTryIntervals = 5
	// unreachedFor is how long a server that could not be reached counts as one that may warm up (5): until its next heartbeat
	// has come to all boxes.
	unreachedFor = 3 * time.Second
	// maxReports bounds the servers whose own reports are remembered; those older than keepReportsFor go then.
	maxReports     = 4096
	keepReportsFor = time.Minute
)

// Options make a Throttle.
type Options struct {
	Limiter *rate.Limiter
	// View is the agreed state.
	View func() *state.State
	// ReportLimit has the leader hear what a server named. It must not block.
	ReportLimit func(server string, limit dialect.Limit)
	Meters      *meter.Meters
	Log         *zap.Logger
}

// Throttle holds what one box knows of servers' limits.
type Throttle struct {
	opts Options

	mu      sync.Mutex
	reports map[string]*report // by server
	// unreached is when servers that may warm up could not be reached last (5).
	unreached map[string]time.Time
}

// report is what a server said to this box, or what is agreed since.
type report struct {
	limit        dialect.Limit
	agreed       dialect.Limit // when limit was recorded
	at           time.Time     // of the server's newest answer here
	tryAt        time.Time     // when it is to be tried though others are preferred
	lastReported dialect.Limit // to the leader
	reportedAt   time.Time
	faulty       bool // a value that cannot be read was logged
}

// New returns a Throttle.
func New(opts Options) *Throttle {
	return &Throttle{opts: opts, reports: map[string]*report{}, unreached: map[string]time.Time{}}
}

// RecordReport records what an answer of a server says of its limit. One that names none ends it, if it is surely the server's.
func (t *Throttle) RecordReport(server string, r dialect.Report) {
	named := r.HasLimit || r.LimitErr != nil
	if t == nil || !named && (!r.Own || !t.knows(server)) {
		return
	}
	now := time.Now()
	limit, said, err := r.Limit, r.HasLimit || !named, r.LimitErr
	agreed := t.opts.View().LimitOf(server)
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.reportOf(server, agreed, now)
	w.at = now
	if !said {
		limit = w.limit
	}
	if err != nil && !w.faulty {
		w.faulty = true
		event.LimitMalformed.Log(t.opts.Log, zap.String("server", server), zap.Float64("limit", limit.PerSecond()), event.Cause(err))
	}
	if limit != w.limit {
		event.ServerLimited.Log(t.opts.Log, zap.String("server", server), zap.Float64("limit", limit.PerSecond()), zap.Float64("before", w.limit.PerSecond()))
		w.limit = limit
	}
	if said && differ(limit, agreed) && (w.lastReported != limit || now.Sub(w.reportedAt) >= reportInterval) {
		w.lastReported, w.reportedAt = limit, now
		t.opts.ReportLimit(server, limit)
	}
}

// differ reports whether a limit is to be told that differs from the agreed one.
func differ(limit, agreed dialect.Limit) bool {
	if limit == 0 || agreed == 0 {
		return limit != agreed
	}
	change := limit.PerSecond() - agreed.PerSecond()
	return max(change, -change) > minChange*agreed.PerSecond()
}

// knows reports whether some report of a server stands.
func (t *Throttle) knows(server string) bool {
	if t.opts.View().LimitOf(server) != 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.reports[server] != nil
}

// reportOf is rule 1. The caller holds the lock.
func (t *Throttle) reportOf(server string, agreed dialect.Limit, now time.Time) *report {
	w := t.reports[server]
	if w == nil {
		if len(t.reports) >= maxReports {
			t.forget(now)
		}
		w = &report{limit: agreed, agreed: agreed, at: now}
		t.reports[server] = w
	}
	if w.agreed != agreed {
		w.agreed, w.limit = agreed, agreed
	}
	return w
}

func (t *Throttle) forget(now time.Time) {
	for server, w := range t.reports {
		if now.Sub(w.at) > keepReportsFor {
			delete(t.reports, server)
		}
	}
}

// Active reports whether some server may have a limit: if not, none need be looked up.
func (t *Throttle) Active() bool {
	if t == nil {
		return false
	}
	view := t.opts.View()
	if len(view.Limits) > 0 || view.Fleet != nil && view.Fleet.WarmsUp {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.reports) > 0
}

// Limit returns a server's limit, 0 for none: the one that it names, or the lower one that it has while it warms up.
func (t *Throttle) Limit(server string) dialect.Limit {
	if t == nil {
		return 0
	}
	return lower(t.named(server), t.warmUp(server))
}

// lower returns the lower of two limits, of which either may be none.
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
	if len(t.unreached) >= maxReports {
		clear(t.unreached)
	}
	t.unreached[server] = time.Now()
}

// warmUp is rule 5.
func (t *Throttle) warmUp(server string) dialect.Limit {
	view := t.opts.View()
	if view.Fleet == nil || !view.Fleet.WarmsUp {
		return 0
	}
	if limit := view.WarmUpLimit(server); limit != 0 {
		return limit
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	at, noted := t.unreached[server]
	switch {
	case !noted:
		return 0
	case time.Since(at) > unreachedFor:
		delete(t.unreached, server)
		return 0
	}
	return view.WarmUpRate(server)
}

// named returns the limit that a server names, 0 for none.
func (t *Throttle) named(server string) dialect.Limit {
	agreed := t.opts.View().LimitOf(server)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.reports[server] == nil && agreed == 0 {
		return 0
	}
	w := t.reportOf(server, agreed, time.Now())
	if w.limit == 0 && agreed == 0 { // it has ended for all
		delete(t.reports, server)
	}
	return w.limit
}

// LimitOf is what all boxes together keep to for a server that names a limit.
func LimitOf(l dialect.Limit) rate.Limit {
	if l == 0 {
		return rate.Limit{}
	}
	perSecond := l.PerSecond()
	return rate.Limit{PerSecond: perSecond, Burst: minBurst + burstSpan*perSecond}
}

// EffectiveLimit is what all boxes together keep to for a server that names a limit and warms up, of which either may be none. A
// server that warms up fails at little more than its rate: its limit has no burst that grows with it.
func EffectiveLimit(named, warmUp dialect.Limit) rate.Limit {
	if warmUp == 0 || lower(named, warmUp) != warmUp {
		return LimitOf(named)
	}
	return rate.Limit{PerSecond: warmUp.PerSecond(), Burst: minBurst}
}

// Exhausted returns for how long yet a server's limit admits no request of a rank (3); false where it admits one.
func (t *Throttle) Exhausted(server string, rank int) (time.Duration, bool) {
	if t.Limit(server) == 0 {
		return 0, false
	}
	return t.opts.Limiter.Exhausted(rate.Key{Name: server, Rank: rank})
}

// Take asks the server's limit to admit an attempt of a rank (2). The refusal is nil where it does, or there is no limit.
func (t *Throttle) Take(ctx context.Context, server string, rank int) (rate.Charge, *rate.Refusal) {
	if t == nil {
		return rate.Charge{}, nil
	}
	limit := EffectiveLimit(t.named(server), t.warmUp(server))
	if !limit.Bounded() {
		return rate.Charge{}, nil
	}
	charge, refusal := t.opts.Limiter.Take(ctx, rate.Key{Name: server, Rank: rank}, limit, 1)
	outcome := meter.Borne
	if refusal != nil {
		outcome = meter.NotBorne
	}
	t.opts.Meters.Count(meter.Limited, outcome).Inc()
	return charge, refusal
}

// DueForProbe reports whether a server with a limit is to be tried now though others are preferred (4).
func (t *Throttle) DueForProbe(server string) bool {
	now, boxes := time.Now(), len(t.opts.View().Members)
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.reports[server]
	if w == nil || w.limit == 0 {
		return false
	}
	if now.Before(w.tryAt) {
		return false
	}
	due := !w.tryAt.IsZero()
	// Drawn, so that boxes that were told of the limit together do not try the server together.
	mean := max(minTryInterval.Seconds(), float64(boxes)/(tryShare*w.limit.PerSecond()))
	w.tryAt = now.Add(time.Duration(min(rand.ExpFloat64(), maxTryIntervals) * mean * float64(time.Second)))
	return due
}
