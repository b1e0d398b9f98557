// Package pushback keeps a box to what backend servers say of themselves in their answers: that they take no more than so
// many requests a second from all boxes (package throttle), that they want a rest from this box, that they drain.
//
// Rules:
//
//  1. A rest holds between one server and this box. It begins with a 503 that has Retry-After; of two the later end
//     holds, whatever an answer in between says.
//  2. While it lasts no request of any kind is sent to that server. That is asked when a server is chosen, and again right
//     before the bytes leave: opening a connection takes time.
//  3. When it has ended, boxes do not all begin at once: each waits for a random time, the longer the more boxes there
//     are; the more urgent requests go first; and one request goes at a time until the server answers one without
//     asking for rest.
//  4. A server that says that it drains does so for its life, or for a time where its life is not known.
//  5. Records are kept by the server's life, so that a successor begins with none.
//  6. A rest is no failure: the server is not held to be sick.
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
	// spreadPerBox is the mean time between the first requests of two boxes after a rest that ended for all of them,
	// maxSpread the longest time that a box waits for that (3).
	spreadPerBox = 5 * time.Millisecond
	maxSpread    = time.Second
	// rankStep is how much later requests of the next rank may go, for maxRankSteps ranks at most (3).
	rankStep     = 100 * time.Millisecond
	maxRankSteps = 3
	// probeEvery is the time between two requests to a server that has not answered one since its rest (3).
	probeEvery = 250 * time.Millisecond
	// LongBackoff is the time from which a server that asks for rest, at once or again and again, is room that is missing: other
	// copies of its models are worth a move then.
	LongBackoff = 10 * time.Second
	// maxGap is the longest time between two rests that count as one: a box with few requests asks the server rarely.
	maxGap = 5 * time.Second
	// maxRecords bounds the servers that are remembered; those whose rest ended longer than keepFor ago go then.
	maxRecords = 4096
	keepFor    = time.Minute
)

// Options make a Registry.
type Options struct {
	// Now is a clock that goes on while the machine is suspended.
	Now      func() time.Duration
	Throttle *throttle.Throttle
	// Boxes returns how many boxes there are.
	Boxes func() int
	// OnDraining is called once for each server that says that it drains; nil where nobody is to hear. It must not block.
	OnDraining func(server string)
	// Random draws from [0, 1); nil: a source of its own.
	Random func() float64
	Log    *zap.Logger
}

// Registry is what one box knows of what servers said to it.
type Registry struct {
	opts Options
	some atomic.Bool // there are records

	mu      sync.Mutex
	records map[string]*record // by server
}

// record is what one server said.
type record struct {
	rests      bool          // it asked for rest and has not answered since without
	restsSince time.Duration // when it asked first
	restsUntil time.Duration
	spread     time.Duration // by which this box begins later (3)
	request    string        // whose answer it was
	probedAt   time.Duration // when a request was sent last since the rest; 0: none was

	drains      bool
	drainsSince time.Duration
	drainsUntil time.Duration // 0: for its life
	malformed   bool          // a value that cannot be read was logged
}

// Block tells why a server takes no request now, and for how long yet.
type Block struct {
	Reason     *reason.Reason
	RetryAfter time.Duration
}

// New returns a Registry.
func New(opts Options) *Registry {
	if opts.Random == nil {
		opts.Random = rand.Float64
	}
	return &Registry{opts: opts, records: map[string]*record{}}
}

// Observe records what an answer to a request says of its server.
func (r *Registry) Observe(server, request string, said dialect.Report) {
	if r == nil {
		return
	}
	r.opts.Throttle.RecordReport(server, said)
	says := said.Rest > 0 || said.Draining || said.RestErr != nil || said.DrainingErr != nil
	if !says && !r.some.Load() {
		return
	}
	if r.observe(server, request, said, says) && r.opts.OnDraining != nil {
		r.opts.OnDraining(server)
	}
}

// observe reports whether it is news that the server drains.
func (r *Registry) observe(server, request string, said dialect.Report, says bool) (drains bool) {
	now := r.opts.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[server]
	switch {
	case rec == nil && !says:
		return false
	case rec == nil:
		rec = r.add(server, now)
	}
	r.noteMalformed(rec, server, said)
	switch {
	case said.Rest > 0:
		r.rest(rec, server, request, now, said.Rest)
	case rec.rests && now >= rec.restsUntil:
		rec.rests = false
		event.ServerRested.Log(r.opts.Log, zap.String("server", server), zap.Duration("rested", rec.restsUntil-rec.restsSince), zap.Duration("late", now-rec.restsUntil))
	}
	return said.Draining && r.drain(rec, server, request, now, said.DrainTTL)
}

// drain is rule 4. It reports whether it is news.
func (r *Registry) drain(rec *record, server, request string, now, ttl time.Duration) bool {
	if ttl > 0 {
		rec.drainsUntil = now + ttl
	}
	if rec.drains {
		return false
	}
	rec.drains, rec.drainsSince = true, now
	event.ServerDraining.Log(r.opts.Log, zap.String("server", server), zap.String("request", request))
	return true
}

// rest is rule 1.
func (r *Registry) rest(rec *record, server, request string, now, rest time.Duration) {
	until := now + rest
	if until <= rec.restsUntil {
		return
	}
	if !rec.rests || now-rec.restsUntil > maxGap {
		rec.rests, rec.restsSince, rec.request = true, now, request
		event.ServerResting.Log(r.opts.Log, zap.String("server", server), zap.String("request", request), zap.Duration("rest", rest))
	}
	rec.restsUntil, rec.probedAt = until, 0
	rec.spread = time.Duration(r.opts.Random() * float64(min(time.Duration(r.opts.Boxes())*spreadPerBox, maxSpread)))
}

func (r *Registry) noteMalformed(rec *record, server string, said dialect.Report) {
	for _, err := range []error{said.RestErr, said.DrainingErr} {
		if err == nil || rec.malformed {
			continue
		}
		rec.malformed = true
		event.PushbackMalformed.Log(r.opts.Log, zap.String("server", server), event.Cause(err))
	}
}

// add makes a server's record. The caller holds the lock.
func (r *Registry) add(server string, now time.Duration) *record {
	if len(r.records) >= maxRecords {
		r.prune(now)
	}
	rec := &record{}
	r.records[server] = rec
	r.some.Store(true)
	return rec
}

func (r *Registry) prune(now time.Duration) {
	for server, rec := range r.records {
		if now-rec.restsUntil > keepFor && now-max(rec.drainsSince, rec.drainsUntil) > keepFor {
			delete(r.records, server)
		}
	}
}

// Forget ends what is known of a server of which another life has begun under its name (5).
func (r *Registry) Forget(server string) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.records, server)
}

// Active reports whether some server may be blocked: if not, none need be looked up.
func (r *Registry) Active() bool {
	return r != nil && (r.some.Load() || r.opts.Throttle.Active())
}

// Blocked reports whether a request of a rank must not go to a server now.
func (r *Registry) Blocked(server string, rank int) (Block, bool) {
	if r == nil {
		return Block{}, false
	}
	if after, resting := r.resting(server, rank); resting {
		return Block{reason.ServersResting, after}, true
	}
	if after, full := r.opts.Throttle.Exhausted(server, rank); full {
		return Block{reason.ServersLimited, after}, true
	}
	return Block{}, false
}

// resting returns for how long yet requests of a rank must not go to a server.
func (r *Registry) resting(server string, rank int) (time.Duration, bool) {
	if !r.some.Load() {
		return 0, false
	}
	now := r.opts.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.records[server].opens(rank, now)
}

// opens is rules 2 and 3.
func (rec *record) opens(rank int, now time.Duration) (after time.Duration, closed bool) {
	if rec == nil || !rec.rests {
		return 0, false
	}
	at := rec.restsUntil + rec.spread + time.Duration(min(max(rank, 0), maxRankSteps))*rankStep
	if rec.probedAt > 0 {
		at = max(at, rec.probedAt+probeEvery)
	}
	return max(0, at-now), now < at
}

// Permit is leave to send one request to a server.
type Permit struct {
	r      *Registry
	server string
	charge rate.Charge
	probed time.Duration // when it was taken as the request that tries the server after its rest; 0: it was not
}

// Release gives a permit back whose request was not sent.
func (p Permit) Release() {
	p.charge.Release()
	if p.probed == 0 {
		return
	}
	p.r.mu.Lock()
	defer p.r.mu.Unlock()
	if rec := p.r.records[p.server]; rec != nil && rec.probedAt == p.probed {
		rec.probedAt = 0
	}
}

// Acquire asks for leave to send a request of a rank to a server; block is nil if it is given.
func (r *Registry) Acquire(ctx context.Context, server string, rank int) (p Permit, block *Block) {
	if r == nil {
		return Permit{}, nil
	}
	p = Permit{r: r, server: server}
	if p.probed, block = r.enter(server, rank); block != nil {
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

// enter returns when the request was taken as one that tries the server after its rest, 0 if it was not.
func (r *Registry) enter(server string, rank int) (probed time.Duration, block *Block) {
	if !r.some.Load() {
		return 0, nil
	}
	now := r.opts.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[server]
	if after, closed := rec.opens(rank, now); closed {
		return 0, &Block{reason.ServersResting, after}
	}
	if rec == nil || !rec.rests {
		return 0, nil
	}
	rec.probedAt = now
	return now, nil
}

// Sendable reports whether bytes may leave to a server: it does not rest (2).
func (r *Registry) Sendable(server string) bool {
	if r == nil || !r.some.Load() {
		return true
	}
	now := r.opts.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[server]
	return rec == nil || now >= rec.restsUntil
}

// Draining reports whether a server said that it drains, and how long ago it did so first (4).
func (r *Registry) Draining(server string) (since time.Duration, drains bool) {
	if r == nil || !r.some.Load() {
		return 0, false
	}
	now := r.opts.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[server]
	if rec == nil || !rec.drains || rec.drainsUntil != 0 && now >= rec.drainsUntil {
		return 0, false
	}
	return now - rec.drainsSince, true
}

// Limit returns the limit that a server names, 0 for none.
func (r *Registry) Limit(server string) dialect.Limit {
	if r == nil {
		return 0
	}
	return r.opts.Throttle.Limit(server)
}

// RecordUnreachable records that no connection to a server could be opened: it may be starting again.
func (r *Registry) RecordUnreachable(server string) {
	if r != nil {
		r.opts.Throttle.RecordUnreachable(server)
	}
}

// DueForProbe reports whether a server with a limit is to be tried now though others are preferred.
func (r *Registry) DueForProbe(server string) bool { return r.opts.Throttle.DueForProbe(server) }
