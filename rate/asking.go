package rate

import (
	"context"
	"time"

	"leverdrum/internal/wait"
)

// Run asks the allocator for what lacks, until the context ends. Without an answer it asks again
// while there is use for one.
func (l *Limiter) Run(ctx context.Context) {
	for {
		select {
		case <-l.kick:
		case <-ctx.Done():
			return
		}
		pause := askPause
		if !l.round(ctx) {
			pause = againPause
			l.wake()
		}
		if !wait.For(ctx, pause) {
			return
		}
	}
}

// round asks once, where something lacks, and reports whether there was an answer.
func (l *Limiter) round(ctx context.Context) bool {
	began := l.opts.Now()
	epoch, asks := l.collect(began)
	if len(asks) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	answer, err := l.opts.Lease(ctx, epoch, asks)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setAlone(err != nil)
	if l.alone {
		answer = l.answerAlone(asks)
	}
	l.takeOver(answer, asks, began)
	return err == nil
}

// setAlone notes whether a box answered. What the own part saved up while others allocated is theirs: each box
// would begin its next moment alone with it. One that asked nobody since does not know (ownShareTTL).
func (l *Limiter) setAlone(alone bool) {
	if l.alone && !alone {
		l.own = newAllocator()
	}
	l.alone = alone
}

// answerAlone is the end of rule 4.
func (l *Limiter) answerAlone(asks []LimitRequest) LeaseResponse {
	now := l.opts.Now()
	if now-l.ownAt > ownShareTTL {
		l.own = newAllocator()
	}
	l.ownAt = now
	answer := LeaseResponse{}
	for _, a := range asks {
		if r := l.rows[a.Key]; r != nil {
			a.Unused = 0
			share := 1 / float64(max(1, l.opts.Boxes()))
			answer.Grants = append(answer.Grants, LimitGrant{a.Key, l.own.lease(now, a.Key, r.limit, share, a.LeaseRequest)})
		}
	}
	return answer
}

// collect lists what lacks. What was not spent is given back with it.
func (l *Limiter) collect(now time.Duration) (epoch string, asks []LimitRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, r := range l.rows {
		r.expire(now, l.epoch)
		if len(r.waiting) == 0 && now-r.usedAt > idleRow {
			delete(l.rows, key)
			continue
		}
		if ask, lacks := r.ask(now); lacks {
			asks = append(asks, LimitRequest{key, r.limit.PerSecond, ask})
			r.unused = 0
		}
	}
	return l.epoch, asks
}

func (r *row) ask(now time.Duration) (ask LeaseRequest, lacks bool) {
	for _, x := range r.waiting {
		ask.Pending += x.weight
		if ask.SmallestPending == 0 || x.weight < ask.SmallestPending {
			ask.SmallestPending = x.weight
		}
	}
	ask.Unused = r.unused
	ahead, balance := r.ahead(now), r.balance(now)
	if balance < lowWatermark*ahead && now >= r.spentUntil {
		ask.Prefetch = ahead - balance
	}
	return ask, ask.Pending > 0 || ask.Prefetch >= 1
}

// takeOver adds the leases of an answer. They count from before the question.
func (l *Limiter) takeOver(answer LeaseResponse, asks []LimitRequest, began time.Duration) {
	if answer.Epoch != l.epoch {
		l.epoch = answer.Epoch
		for _, r := range l.rows {
			r.unused = 0
		}
	}
	grants := map[Key]Grant{}
	for _, g := range answer.Grants {
		grants[g.Key] = g.Grant
	}
	for _, a := range asks {
		r := l.rows[a.Key]
		if r == nil {
			continue
		}
		g, known := grants[a.Key]
		if !known { // the leader knows no such limit
			g.RetryAfter = spentPause
		}
		r.take(g, a.Pending, lease{positive(g.Leased), began + leaseLife, answer.Epoch}, l.opts.Now())
		r.release()
	}
}

func (r *row) take(g Grant, need float64, x lease, now time.Duration) {
	after := min(max(g.RetryAfter, 0), maxRetryAfter)
	switch {
	case x.left > 0:
		r.leases = append(r.leases, x)
	case need > 0 && after > maxWait:
		r.spentAt, r.spentUntil = now, now+max(after, spentPause)
	case need > 0:
		r.spentAt, r.spentUntil = now, now+max(after, askPause)
	}
}

// release has all that wait look again.
func (r *row) release() {
	for _, x := range r.waiting {
		close(x.ready)
	}
	r.waiting = nil
}

// LimitStatus is what a box knows of a limit, for people.
type LimitStatus struct {
	// Balance is what it may still spend, Demand what it is asked for a second.
	Balance, Demand float64
	// Exhausted tells that the allocator could bear nothing at the last ask, Isolated that no box answered.
	Exhausted, Isolated bool
}

// Status returns what the box knows of a limit; false where nothing was taken of it lately.
func (l *Limiter) Status(key Key) (LimitStatus, bool) {
	now := l.opts.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.rows[key]
	if r == nil {
		return LimitStatus{}, false
	}
	return LimitStatus{r.balance(now), r.demand.rate(now, demandSpan), now < r.spentUntil, l.alone}, true
}
