// Package pushback honors what backend servers report about themselves in their responses: that they accept only a
// number of requests per second from all boxes (package throttle), that this box must back off, that they are draining.
//
// Rules:
//
//  1. A backoff applies between one server and this box. It starts with a 503 that has Retry-After. Of two, the later end
//     applies, whatever a response in between says.
//  2. During a backoff no request of any kind is sent to the server. This is checked when a server is chosen, and again
//     right before the request is written: opening a connection takes time.
//  3. When a backoff has ended, boxes do not all resume at once: each waits for a random time that grows with the number
//     of boxes, more urgent requests go first, and only one request at a time is sent until the server answers one
//     without asking for a backoff.
//  4. A server that reports that it is draining does so for its incarnation, or for a TTL if its incarnation is unknown.
//  5. Records are kept by server incarnation, so that a successor starts without one.
//  6. A backoff is not a failure and doesn't count against the server's health.
//  7. A brittle server gets no more requests than it has room for (brittle.go).
package pushback

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"leverdrum/dialect"
	"leverdrum/event"
	"leverdrum/rate"
	"leverdrum/reason"
	"leverdrum/throttle"
)

const (
	// spreadPerBox is the mean time between the first requests of two boxes after a backoff that ended for all of
	// them. maxSpread is the longest time that a box waits for this (3).
	spreadPerBox = 5 * time.Millisecond
	maxSpread    = time.Second
	// rankStep is the additional delay per rank of requests after a backoff, for at most maxRankSteps ranks (3).
	rankStep     = 100 * time.Millisecond
	maxRankSteps = 3
	// probeInterval is the time between two requests to a server that has not answered one since its backoff (3).
	probeInterval = 250 * time.Millisecond
	// LongBackoff is the total backoff, in one or several consecutive ones, from which a server counts as missing
	// capacity: moves that add copies of its models elsewhere are then worthwhile.
	LongBackoff = 10 * time.Second
	// maxBackoffGap is the longest time between two backoffs that count as one: a box with few requests contacts the
	// server rarely.
	maxBackoffGap = 5 * time.Second
	// maxRecords bounds the servers that are remembered. When it is reached, records whose backoff and draining state
	// are older than recordTTL are dropped.
	maxRecords = 4096
	recordTTL  = time.Minute
)

// Options configures a Registry.
type Options struct {
	// Now is a clock that continues while the machine is suspended.
	Now      func() time.Duration
	Throttle *throttle.Throttle
	// Boxes returns the number of boxes.
	Boxes func() int
	// OnDraining is called once for each server that reports that it is draining. It may be nil and must not block.
	OnDraining func(server string)
	// Random draws from [0, 1); nil means rand.Float64.
	Random func() float64
	Log    *zap.Logger
}

// Registry holds what one box knows from servers' reports.
type Registry struct {
	opts     Options
	nonEmpty atomic.Bool // there are records

	mu      sync.Mutex
	records map[string]*record // by server
}

// record is what one server reported.
type record struct {
	inBackoff    bool          // it asked for a backoff and has not answered since without asking for one
	backoffSince time.Duration // when it first asked
	backoffUntil time.Duration
	spread       time.Duration // additional delay of this box after the backoff (3)
	request      string        // the one whose response asked for it
	probedAt     time.Duration // when a request was last sent since the backoff; 0 if none was

	draining        bool
	drainingSince   time.Duration
	drainingUntil   time.Duration // 0: for the whole incarnation
	malformedLogged bool          // a malformed value was logged

	brittle *brittle // nil: the server never reported that it is brittle
}

// Block is the reason why a server accepts no request now, and when to retry.
type Block struct {
	Reason     *reason.Reason
	RetryAfter time.Duration
}

func New(opts Options) *Registry {
	if opts.Random == nil {
		opts.Random = rand.Float64
	}
	return &Registry{opts: opts, records: map[string]*record{}}
}

// Observe records what the response to a request reports about its server.
func (r *Registry) Observe(server, request string, report dialect.Report) {
	if r == nil {
		return
	}
	r.opts.Throttle.RecordReport(server, report)
	hasPushback := report.Backoff > 0 || report.Draining || report.Brittle > 0 || report.BackoffErr != nil || report.DrainingErr != nil || report.BrittleErr != nil
	if !hasPushback && !r.nonEmpty.Load() {
		return
	}
	if r.observe(server, request, report, hasPushback) && r.opts.OnDraining != nil {
		r.opts.OnDraining(server)
	}
}

// observe returns true if the server was not known to be draining before.
func (r *Registry) observe(server, request string, report dialect.Report, hasPushback bool) (newlyDraining bool) {
	now := r.opts.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[server]
	switch {
	case rec == nil && !hasPushback:
		return false
	case rec == nil:
		rec = r.addRecord(server, now)
	}
	r.logMalformed(rec, server, report)
	r.observeBrittle(rec, server, report, now)
	switch {
	case report.Backoff > 0:
		r.recordBackoff(rec, server, request, now, report.Backoff)
	case rec.inBackoff && now >= rec.backoffUntil:
		rec.inBackoff = false
		event.ServerBackoffEnded.Log(r.opts.Log, zap.String("server", server), zap.Duration("rested", rec.backoffUntil-rec.backoffSince), zap.Duration("late", now-rec.backoffUntil))
	}
	return report.Draining && r.recordDraining(rec, server, request, now, report.DrainTTL)
}

// recordDraining records that a server is draining, for the TTL if there is one, or else for its
// incarnation (4). It returns true if the server was not known to be draining before.
func (r *Registry) recordDraining(rec *record, server, request string, now, ttl time.Duration) bool {
	if ttl > 0 {
		rec.drainingUntil = now + ttl
	}
	if rec.draining {
		return false
	}
	rec.draining, rec.drainingSince = true, now
	event.ServerDraining.Log(r.opts.Log, zap.String("server", server), zap.String("request", request))
	return true
}

// recordBackoff records the end of a server's backoff, unless a known one ends later (1).
func (r *Registry) recordBackoff(rec *record, server, request string, now, backoff time.Duration) {
	until := now + backoff
	if until <= rec.backoffUntil {
		return
	}
	if !rec.inBackoff || now-rec.backoffUntil > maxBackoffGap {
		rec.inBackoff, rec.backoffSince, rec.request = true, now, request
		event.ServerInBackoff.Log(r.opts.Log, zap.String("server", server), zap.String("request", request), zap.Duration("rest", backoff))
	}
	rec.backoffUntil, rec.probedAt = until, 0
	rec.spread = time.Duration(r.opts.Random() * float64(min(time.Duration(r.opts.Boxes())*spreadPerBox, maxSpread)))
}

func (r *Registry) logMalformed(rec *record, server string, report dialect.Report) {
	for _, err := range []error{report.BackoffErr, report.DrainingErr, report.BrittleErr} {
		if err == nil || rec.malformedLogged {
			continue
		}
		rec.malformedLogged = true
		event.PushbackMalformed.Log(r.opts.Log, zap.String("server", server), event.ErrorField(err))
	}
}

// addRecord creates a server's record. The caller holds the lock.
func (r *Registry) addRecord(server string, now time.Duration) *record {
	if len(r.records) >= maxRecords {
		r.prune(now)
	}
	rec := &record{}
	r.records[server] = rec
	r.nonEmpty.Store(true)
	return rec
}

func (r *Registry) prune(now time.Duration) {
	for server, rec := range r.records {
		if (rec.brittle == nil || rec.brittle.running == 0) && now-rec.backoffUntil > recordTTL && now-max(rec.drainingSince, rec.drainingUntil) > recordTTL {
			delete(r.records, server)
		}
	}
}

// Forget drops the record of a server after a new incarnation has started under its name (5).
func (r *Registry) Forget(server string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.records, server)
}

// Active reports whether any server may be blocked. If not, callers can skip the lookups.
func (r *Registry) Active() bool {
	return r != nil && (r.nonEmpty.Load() || r.opts.Throttle.Active())
}

// Blocked reports whether a request of a rank must not be sent to a server now.
func (r *Registry) Blocked(server string, rank int) (Block, bool) {
	if r == nil {
		return Block{}, false
	}
	if after, inBackoff := r.backoff(server, rank); inBackoff {
		return Block{reason.ServersInBackoff, after}, true
	}
	if r.full(server) {
		return Block{reason.ServersFull, FullRetryAfter}, true
	}
	if after, exhausted := r.opts.Throttle.Exhausted(server, rank); exhausted {
		return Block{reason.ServersLimited, after}, true
	}
	return Block{}, false
}

// full reports whether a server is brittle and this box may have no more requests in progress there.
func (r *Registry) full(server string) bool {
	if !r.nonEmpty.Load() {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[server]
	return rec != nil && rec.brittle.full(r.opts.Now())
}

// backoff returns how long requests of a rank must not be sent to a server.
func (r *Registry) backoff(server string, rank int) (time.Duration, bool) {
	if !r.nonEmpty.Load() {
		return 0, false
	}
	now := r.opts.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.records[server].blockedFor(rank, now)
}

// blockedFor reports whether requests of a rank are blocked, and for how long: during the backoff,
// for a random time after it that grows with the number of boxes, for a time that depends on the
// rank, and while a probe is under way (2, 3).
func (rec *record) blockedFor(rank int, now time.Duration) (after time.Duration, blocked bool) {
	if rec == nil || !rec.inBackoff {
		return 0, false
	}
	at := rec.backoffUntil + rec.spread + time.Duration(min(max(rank, 0), maxRankSteps))*rankStep
	if rec.probedAt > 0 {
		at = max(at, rec.probedAt+probeInterval)
	}
	return max(0, at-now), now < at
}

// Permit allows sending one request to a server.
type Permit struct {
	registry *Registry
	server   string
	charge   rate.Charge
	probedAt time.Duration // when the request was admitted as the probe after a backoff; 0 if it is no probe
	use      *use          // of a brittle server; nil: it is none
}

// Release returns the permit of a request that was not sent.
func (p Permit) Release() {
	p.charge.Release()
	p.endUse()
	if p.probedAt == 0 {
		return
	}
	p.registry.mu.Lock()
	defer p.registry.mu.Unlock()
	if rec := p.registry.records[p.server]; rec != nil && rec.probedAt == p.probedAt {
		rec.probedAt = 0
	}
}

// Acquire requests a permit to send a request of a rank to a server; block is nil if it is granted.
func (r *Registry) Acquire(ctx context.Context, server string, rank int) (p Permit, block *Block) {
	if r == nil {
		return Permit{}, nil
	}
	p = Permit{registry: r, server: server}
	if p.probedAt, p.use, block = r.admit(server, rank); block != nil {
		return Permit{}, block
	}
	charge, refusal := r.opts.Throttle.Take(ctx, server, rank)
	if refusal != nil {
		p.Release()
		return Permit{}, &Block{reason.ServersLimited, refusal.RetryAfter}
	}
	p.charge = charge
	return p, nil
}

// admit counts a request at a brittle server and returns when the request was admitted as the probe after a backoff, 0 if it is no probe.
func (r *Registry) admit(server string, rank int) (probedAt time.Duration, u *use, block *Block) {
	if !r.nonEmpty.Load() {
		return 0, nil, nil
	}
	now := r.opts.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[server]
	if after, blocked := rec.blockedFor(rank, now); blocked {
		return 0, nil, &Block{reason.ServersInBackoff, after}
	}
	if u, block = rec.enterBrittle(now); block != nil || rec == nil || !rec.inBackoff {
		return 0, u, block
	}
	rec.probedAt = now
	return now, u, nil
}

// Sendable reports whether a request may be written to a server, that is, whether it is not in backoff (2).
func (r *Registry) Sendable(server string) bool {
	if r == nil || !r.nonEmpty.Load() {
		return true
	}
	now := r.opts.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[server]
	return rec == nil || now >= rec.backoffUntil
}

// Draining reports whether a server reported that it is draining, and how long ago it first did (4).
func (r *Registry) Draining(server string) (since time.Duration, draining bool) {
	if r == nil || !r.nonEmpty.Load() {
		return 0, false
	}
	now := r.opts.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[server]
	if rec == nil || !rec.draining || rec.drainingUntil != 0 && now >= rec.drainingUntil {
		return 0, false
	}
	return now - rec.drainingSince, true
}

// Limit returns the limit that a server reports, or its lower warm-up limit, 0 for none.
func (r *Registry) Limit(server string) dialect.Limit {
	if r == nil {
		return 0
	}
	return r.opts.Throttle.Limit(server)
}

// RecordUnreachable records that no connection to a server could be opened: it may be restarting.
func (r *Registry) RecordUnreachable(server string) {
	if r != nil {
		r.opts.Throttle.RecordUnreachable(server)
	}
}

// DueForProbe reports whether a server with a limit is to be probed now although others are preferred.
func (r *Registry) DueForProbe(server string) bool { return r.opts.Throttle.DueForProbe(server) }
