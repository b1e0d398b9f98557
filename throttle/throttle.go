// Package throttle keeps a box to the limits that backend servers name: how many requests a second a server
// takes from all boxes together, for as long as its answers say so.
//
// Rules:
//
//  1. Of what an answer said to this box and what is agreed the newer word holds. A box that was told something else than
//     is agreed tells the leader, which has it agreed for all.
//  2. Each sending to a server with a limit, whichever it is of its request, is borne by that limit first: by a lease
//     of it, as package rate gives them. What did not leave is given back.
//  3. A server whose limit is used up is passed over until more of it is to be had; the request goes to another, or is
//     refused with that time.
//  4. Work goes to servers without a limit first. But once in a while a request goes to one with a limit all the
//     same: else nobody would learn that it has ended. All boxes together do that less often than the limit allows.
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
	// burstLeast, in requests, and burstSpan, in seconds of the limit, are what a server may get beyond its limit: room for
	// two that come at once, of which a more urgent one may take the second.
	burstLeast = 2.0
	burstSpan  = 0.5
	// tellEvery is the least time in which the leader is told the same of a server again.
	tellEvery = 300 * time.Millisecond
	// tellShare is the change of a limit, as a share of it, from which the leader is told: some servers name
	// another with each answer.
	tellShare = 0.05
	// tryLeast is the mean time between a box's tries of a server (4) at the least, tryShare the part of the limit that
	// such tries of all boxes take.
	tryLeast = 2 * time.Second
	tryShare = 0.5
	// tryMost bounds the time between two tries, in mean times.
	tryMost = 5
	// wordsMost bounds the servers whose own words are remembered; those older than wordsFor go then.
	wordsMost = 4096
	wordsFor  = time.Minute
)

// Options make a Throttle.
type Options struct {
	Limiter *rate.Limiter
	// View is the agreed state.
	View func() *state.State
	// Tell has the leader hear what a server named. It must not block.
	Tell   func(server string, limit dialect.Limit)
	Meters *meter.Meters
	Log    *zap.Logger
}

// Throttle is what one box knows of servers' limits.
type Throttle struct {
	opts Options

	mu    sync.Mutex
	words map[string]*word // by server
}

// word is what a server said to this box, or what is agreed since.
type word struct {
	limit  dialect.Limit
	agreed dialect.Limit // when limit was taken over
	at     time.Time     // of its newest answer here
	tryAt  time.Time     // when it is to be tried though others go before it
	told   dialect.Limit // to the leader
	toldAt time.Time
	faulty bool // a value that cannot be read was logged
}

// New returns a Throttle.
func New(opts Options) *Throttle {
	return &Throttle{opts: opts, words: map[string]*word{}}
}

// Note records what an answer of a server says of its limit. One that names none ends it, if it is surely the server's.
func (t *Throttle) Note(server string, r dialect.Report) {
	named := r.HasLimit || r.LimitErr != nil
	if t == nil || !named && (!r.Own || !t.knows(server)) {
		return
	}
	now := time.Now()
	limit, said, err := r.Limit, r.HasLimit || !named, r.LimitErr
	agreed := t.opts.View().LimitOf(server)
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.wordOf(server, agreed, now)
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
	if said && differ(limit, agreed) && (w.told != limit || now.Sub(w.toldAt) >= tellEvery) {
		w.told, w.toldAt = limit, now
		t.opts.Tell(server, limit)
	}
}

// differ reports whether a limit is to be told that differs from the agreed one.
func differ(limit, agreed dialect.Limit) bool {
	if limit == 0 || agreed == 0 {
		return limit != agreed
	}
	change := limit.PerSecond() - agreed.PerSecond()
	return max(change, -change) > tellShare*agreed.PerSecond()
}

// knows reports whether some word of a server stands.
func (t *Throttle) knows(server string) bool {
	if t.opts.View().LimitOf(server) != 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.words[server] != nil
}

// wordOf is rule 1. The caller holds the lock.
func (t *Throttle) wordOf(server string, agreed dialect.Limit, now time.Time) *word {
	w := t.words[server]
	if w == nil {
		if len(t.words) >= wordsMost {
			t.forget(now)
		}
		w = &word{limit: agreed, agreed: agreed, at: now}
		t.words[server] = w
	}
	if w.agreed != agreed {
		w.agreed, w.limit = agreed, agreed
	}
	return w
}

func (t *Throttle) forget(now time.Time) {
	for server, w := range t.words {
		if now.Sub(w.at) > wordsFor {
			delete(t.words, server)
		}
	}
}

// Any reports whether some server may have a limit: if not, none need be looked up.
func (t *Throttle) Any() bool {
	if t == nil {
		return false
	}
	if len(t.opts.View().Limits) > 0 {
		return true
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.words) > 0
}

// Limit returns a server's limit, 0 for none.
func (t *Throttle) Limit(server string) dialect.Limit {
	if t == nil {
		return 0
	}
	agreed := t.opts.View().LimitOf(server)
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.words[server] == nil && agreed == 0 {
		return 0
	}
	w := t.wordOf(server, agreed, time.Now())
	if w.limit == 0 && agreed == 0 { // it has ended for all
		delete(t.words, server)
	}
	return w.limit
}

// LimitOf is what all boxes together keep to for a server that names a limit.
func LimitOf(l dialect.Limit) rate.Limit {
	if l == 0 {
		return rate.Limit{}
	}
	perSecond := l.PerSecond()
	return rate.Limit{PerSecond: perSecond, Burst: burstLeast + burstSpan*perSecond}
}

// Full returns for how long yet a server is to be passed over by requests of a rank (3); false where it may be tried.
func (t *Throttle) Full(server string, rank int) (time.Duration, bool) {
	if t.Limit(server) == 0 {
		return 0, false
	}
	return t.opts.Limiter.Spent(rate.Key{Name: server, Rank: rank})
}

// Take has a sending of a rank borne by the server's limit (2). The refusal is nil where there is none, or it bore it.
func (t *Throttle) Take(ctx context.Context, server string, rank int) (rate.Charge, *rate.Refusal) {
	limit := t.Limit(server)
	if limit == 0 {
		return rate.Charge{}, nil
	}
	charge, refusal := t.opts.Limiter.Take(ctx, rate.Key{Name: server, Rank: rank}, LimitOf(limit), 1)
	outcome := meter.Borne
	if refusal != nil {
		outcome = meter.NotBorne
	}
	t.opts.Meters.Count(meter.Limited, outcome).Inc()
	return charge, refusal
}

// DueForTry reports whether a server with a limit is to be tried now though others go before it (4).
func (t *Throttle) DueForTry(server string) bool {
	now, boxes := time.Now(), len(t.opts.View().Members)
	t.mu.Lock()
	defer t.mu.Unlock()
	w := t.words[server]
	if w == nil || w.limit == 0 {
		return false
	}
	if now.Before(w.tryAt) {
		return false
	}
	due := !w.tryAt.IsZero()
	// Drawn, so that boxes that were told of the limit together do not try the server together.
	mean := max(tryLeast.Seconds(), float64(boxes)/(tryShare*w.limit.PerSecond()))
	w.tryAt = now.Add(time.Duration(min(rand.ExpFloat64(), tryMost) * mean * float64(time.Second)))
	return due
}
