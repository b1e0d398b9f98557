package rate

import (
	"context"
	"time"

	"leverdrum/internal/wait"
)

// Run requests leases from the allocator whenever tokens are missing, until the context ends. If there was no
// response, it retries while there is demand.
func (l *Limiter) Run(ctx context.Context) {
	for {
		select {
		case <-l.wakeup:
		case <-ctx.Done():
			return
		}
		pause := requestInterval
		if !l.refill(ctx) {
			pause = retryInterval
			l.wake()
		}
		if !wait.For(ctx, pause) {
			return
		}
	}
}

// refill sends one lease request, if tokens are missing, and reports whether there was a response.
func (l *Limiter) refill(ctx context.Context) bool {
	requestedAt := l.opts.Now()
	epoch, requests := l.collectRequests(requestedAt)
	if len(requests) == 0 {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	response, err := l.opts.Lease(ctx, epoch, requests)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.setIsolated(err != nil)
	if l.isolated {
		response = l.leaseLocally(requests)
	}
	l.recordResponse(response, requests, requestedAt)
	return err == nil
}

// setIsolated records whether a box responded. When contact is regained, the local allocator is replaced: the tokens
// that it accumulated meanwhile belong to the shared allocator, and otherwise every box would start its next isolated
// period with them. A box that sent no request meanwhile doesn't notice the change; ownShareTTL covers that case.
func (l *Limiter) setIsolated(isolated bool) {
	if l.isolated && !isolated {
		l.own = newAllocator()
	}
	l.isolated = isolated
}

// leaseLocally leases from the box's own share of each limit (4).
func (l *Limiter) leaseLocally(requests []LimitRequest) LeaseResponse {
	now := l.opts.Now()
	if now-l.ownUsedAt > ownShareTTL {
		l.own = newAllocator()
	}
	l.ownUsedAt = now
	response := LeaseResponse{}
	for _, a := range requests {
		if r := l.limits[a.Key]; r != nil {
			a.Unused = 0
			share := 1 / float64(max(1, l.opts.Boxes()))
			response.Grants = append(response.Grants, LimitGrant{a.Key, l.own.lease(now, a.Key, r.limit, share, a.LeaseRequest)})
		}
	}
	return response
}

// collectRequests lists the limits for which tokens are missing. Unspent tokens of expired leases are returned with
// them.
func (l *Limiter) collectRequests(now time.Duration) (epoch string, requests []LimitRequest) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, r := range l.limits {
		r.expire(now, l.epoch)
		if len(r.waiting) == 0 && now-r.usedAt > idleLimitTTL {
			delete(l.limits, key)
			continue
		}
		if request, missing := r.leaseRequest(now); missing {
			requests = append(requests, LimitRequest{key, r.limit.PerSecond, request})
			r.unused = 0
		}
	}
	return l.epoch, requests
}

func (r *limitState) leaseRequest(now time.Duration) (request LeaseRequest, missing bool) {
	for _, x := range r.waiting {
		request.Pending += x.weight
		if request.SmallestPending == 0 || x.weight < request.SmallestPending {
			request.SmallestPending = x.weight
		}
	}
	request.Unused = r.unused
	target, balance := r.prefetchTarget(now), r.balance(now)
	if balance < lowWatermark*target && now >= r.exhaustedUntil {
		request.Prefetch = target - balance
	}
	return request, request.Pending > 0 || request.Prefetch >= 1
}

// recordResponse adds the leases of a response. Their validity starts before the request was sent.
func (l *Limiter) recordResponse(response LeaseResponse, requests []LimitRequest, requestedAt time.Duration) {
	if response.Epoch != l.epoch {
		l.epoch = response.Epoch
		for _, r := range l.limits {
			r.unused = 0
		}
	}
	grants := map[Key]Grant{}
	for _, g := range response.Grants {
		grants[g.Key] = g.Grant
	}
	for _, a := range requests {
		r := l.limits[a.Key]
		if r == nil {
			continue
		}
		g, known := grants[a.Key]
		if !known { // the allocator doesn't know this limit
			g.RetryAfter = exhaustedInterval
		}
		r.recordGrant(g, a.Pending, lease{positiveOrZero(g.Leased), requestedAt + leaseTTL, response.Epoch}, l.opts.Now())
		r.wakeWaiters()
	}
}

func (r *limitState) recordGrant(g Grant, pending float64, x lease, now time.Duration) {
	retryAfter := min(max(g.RetryAfter, 0), maxRetryAfter)
	switch {
	case x.remaining > 0:
		r.leases = append(r.leases, x)
	case pending > 0 && retryAfter > maxWait:
		r.exhaustedAt, r.exhaustedUntil = now, now+max(retryAfter, exhaustedInterval)
	case pending > 0:
		r.exhaustedAt, r.exhaustedUntil = now, now+max(retryAfter, requestInterval)
	}
}

// wakeWaiters has all waiting requests try again.
func (r *limitState) wakeWaiters() {
	for _, x := range r.waiting {
		close(x.ready)
	}
	r.waiting = nil
}

// LimitStatus is what a box knows of a limit, for operators.
type LimitStatus struct {
	// Balance is what the box may still spend, Demand the weight requested from it per second.
	Balance, Demand float64
	// Exhausted reports that the allocator could grant nothing at the last request, Isolated that no box responded.
	Exhausted, Isolated bool
}

// Status returns what the box knows of a limit, false if it was not used recently.
func (l *Limiter) Status(key Key) (LimitStatus, bool) {
	now := l.opts.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.limits[key]
	if r == nil {
		return LimitStatus{}, false
	}
	return LimitStatus{r.balance(now), r.demand.rate(now, demandWindow), now < r.exhaustedUntil, l.isolated}, true
}
