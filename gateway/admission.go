package gateway

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"leverdrum/fleet"
	"leverdrum/loadshare"
	"leverdrum/overload"
	"leverdrum/reason"
)

const (
	// waitingBodiesDivisor limits the bodies of requests that wait for capacity to a part of
	// Options.MaxBodies, which is 1/8 of the box's memory: 1/16 of it.
	waitingBodiesDivisor = 2
	// sharesInterval is the least time between two readings of a pool's demand, which boxes send
	// every 250 ms.
	sharesInterval = 100 * time.Millisecond
)

// admission holds what decides on requests of pools whose load is shared (package overload).
type admission struct {
	load    LoadSource
	queue   *overload.Queue
	refused *recentIDs

	mu    sync.Mutex
	pools map[string]*poolDemand // of pools of fleet files
}

// poolDemand is the demand for a pool over all boxes, as last read.
type poolDemand struct {
	readAt time.Time
	known  bool
	load   loadshare.PoolLoad
	shares overload.Shares
}

func newAdmission(load LoadSource, maxBodies int64) *admission {
	return &admission{load: load, queue: overload.NewQueue(maxBodies / waitingBodiesDivisor), refused: newRecentIDs(), pools: map[string]*poolDemand{}}
}

// demandOf calls use with the demand for a pool and returns false where it is not known.
func (a *admission) demandOf(pool string, use func(*poolDemand)) bool {
	now := time.Now()
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.pools[pool]
	if p == nil {
		p = &poolDemand{}
		a.pools[pool] = p
	}
	if now.Sub(p.readAt) >= sharesInterval {
		p.readAt = now
		if p.load, p.known = a.load.Pool(pool); p.known {
			p.shares.Update(p.load, nil)
		}
	}
	if p.known {
		use(p)
	}
	return p.known
}

// jobAdmission is what a request keeps of its decisions.
type jobAdmission struct {
	waiter   *overload.Waiter
	forGap   *overload.Waiter // takes the place of waiter while the request waits for a gap; nil: it never did
	draw     float64          // places the request within its workspace's share, or above it
	input    overload.Input
	decision overload.Decision
	refused  bool // for lack of capacity

	prefill  time.Duration // estimated, for demand
	offered  time.Duration // prefill that was recorded as demand; 0: none was
	admitted bool          // its admission was recorded
	waiting  time.Duration // prefill that was recorded as waiting in the box; 0: none is
}

// admit reports whether the request may be sent to the server with the lowest cost. Where it may not
// yet, it waits until that is to be asked again, with a new choice.
func (j *job) admit(ctx context.Context, c choice) (send bool, refusal *reason.Reason) {
	in, usage, shared := j.admissionInput(c)
	if !shared {
		if j.waitsForFigures() {
			return false, j.waitUnlessGone(ctx, c, nil)
		}
		j.leaveQueue()
		if j.tooLate(c) {
			j.queueDelay, j.admission.refused = c.queueDelay, true
			return false, reason.Overloaded
		}
		return true, nil
	}
	changed := j.g.opts.Load.Changed()
	j.decide(in, usage)
	switch j.admission.decision.Verdict {
	case overload.Admit:
		j.leaveQueue()
		return true, nil
	case overload.Refuse:
		return false, j.refuseShort(c)
	}
	if !j.enterQueue() {
		j.admission.decision.RetryAfter = overload.RetryAfter(j.admission.input)
		return false, j.refuseShort(c)
	}
	return false, j.waitUnlessGone(ctx, c, changed)
}

// waitUnlessGone is waitForTurn for a request that is refused if its context has ended.
func (j *job) waitUnlessGone(ctx context.Context, c choice, changed <-chan struct{}) *reason.Reason {
	if refusal := j.waitForTurn(ctx, changed); refusal != nil {
		return refusal
	}
	if ctx.Err() != nil {
		return j.refuseShort(c)
	}
	return nil
}

// refuseShort records a refusal for lack of capacity.
func (j *job) refuseShort(c choice) *reason.Reason {
	j.queueDelay, j.admission.refused = c.queueDelay, true
	j.g.admission.refused.add(j.id, time.Now())
	return reason.Overloaded
}

// admissible reports whether the request is one that admission decides on: the first attempt of a stream of
// a pool whose load is shared.
func (j *job) admissible() bool {
	return j.prompt.Model != "" && !j.headSent && j.attempts == 0 && j.route.Kind == fleet.Streaming && j.g.opts.Load.Active(j.poolName)
}

// admissionInput returns the figures of the decision, and what the request's workspace got of its
// share. It returns false where load is not shared or not known, and for what is not decided upon.
func (j *job) admissionInput(c choice) (in overload.Input, usage float64, ok bool) {
	if !j.admissible() {
		return in, 0, false
	}
	others, ok := j.g.opts.Load.Others(c.server.id)
	if !ok {
		return in, 0, false
	}
	in = overload.Input{
		Queue: duration(c.queueDelay), Work: duration(c.duration() - c.fixed()), Fixed: duration(c.fixed()), Idle: c.server.idle(others),
		Running: c.server.streams(others), GapTarget: j.poolGapTarget(),
		Target: j.route.LatencyTarget, Waited: time.Since(j.arrived), Remaining: time.Until(j.arrived.Add(j.patience())),
		Draw: rand.Float64(), Spread: rand.Float64(),
	}
	if j.admission.draw == 0 {
		j.admission.draw = rand.Float64()
	}
	rank, workspace := j.rank(), j.workspaceName()
	retry := j.g.admission.refused.has(j.id, time.Now())
	ok = j.g.admission.demandOf(j.poolName, func(p *poolDemand) {
		in.UrgentTarget, in.UrgentRanks = overload.Urgent(p.load, rank, j.targetOf)
		in.OverShare = p.shares.Exceeds(rank, workspace, retry, j.admission.draw)
		in.Waiting, in.AdmitRate = overload.Backlog(p.load, rank)
		usage = p.shares.Usage(rank, workspace)
	})
	return in, usage, ok
}

// decide decides on the request and adjusts the pace at which its lane sends.
func (j *job) decide(in overload.Input, usage float64) {
	a, q := &j.admission, j.g.admission.queue
	w := a.waiter
	if w == nil {
		w = &overload.Waiter{Lane: j.lane(), Rank: j.rank(), Since: j.arrived, Bytes: int64(len(j.body))}
		a.waiter = w
	}
	demoted := in.OverShare || !in.InTime()
	turn, pace := q.HasTurn(w, demoted, usage, time.Now())
	in.Behind, in.Pace, in.PerTurn = !turn, pace, q.PerTurn(w)
	a.input, a.decision = in, overload.Decide(in)
	if turn {
		q.Observe(w, in, a.decision.Limit, time.Now())
	}
}
