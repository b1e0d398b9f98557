// Package overload decides which requests a pool of model servers receives when its capacity is short.
// It has no clock and no network: times and figures are parameters.
//
// Rules:
//
//  1. Where the best server is idle (nothing waits there and under half of its slots are taken) and no
//     request waits in the box, the request is admitted. None is refused there. Otherwise all that wait in all boxes would
//     be sent to the first server that becomes idle.
//  2. A request of the most urgent rank that is asked for is admitted while it can be answered in
//     time. It never waits for a less urgent one.
//  3. A less urgent request is admitted while the queue at its best server is at most half of the
//     smallest target of the more urgent ranks that are asked for, and half of that again for each
//     further rank above it. It waits in the box otherwise.
//  4. A request that can no longer be in time, and one above its workspace's share, is admitted while
//     the queue is at most demotedShare of what (2) and (3) allow. Room that the others leave is so
//     used at once, and the others go first.
//  5. Shares are max-min fair by workspace in each rank, of what more urgent ranks leave (Shares), and apply to ranks that are short. In a rank
//     that is short a first attempt precedes a retry.
//  6. Requests that wait take turns (Queue). Of those with a turn a random part is admitted, since
//     other boxes see the same figures: the pace, times the part of the limit that the queue leaves. At an
//     idle server, the pace of a request that Waiting includes is at least the limit over Waiting, for each request
//     that waits behind it as well: all together then send no more than the limit.
//  7. A request is refused once it could only be answered after half of the time that its caller had
//     at arrival, and only while the queue exceeds what (2) to (4) allow or others have their turn.
//  8. Retry-After is the time in which the queue drains to what (2) to (4) allow, and that in which what waits in all
//     boxes of the rank and of more urgent ones is admitted. It is spread over as long again, and at most the caller's
//     remaining time.
//  9. A request that (2) to (6) admit, of any rank but the most urgent that is asked for, waits while the
//     queue and its own prefill exceed gapShare of the smallest gap target of the streams at its server,
//     if it is still in time after that wait. If its prefill exceeds that alone, it waits until the queue is
//     empty, and it does not wait if its prefill exceeds the whole target: the gap then occurs in any case.
//     It waits outside of the turns of (6): what waits for a gap is not short of capacity.
package overload

import "time"

const (
	// urgentShare is the share of the smallest target of more urgent ranks that the queue may take
	// when a less urgent request is sent (3). The other half is for the prefill of the more urgent
	// request, and for the requests that other boxes send before the next update.
	urgentShare = 0.5
	// rankStep is the factor for each further more urgent rank (3). Ranks with one common bound would
	// compete as equals.
	rankStep = 0.5
	// minCeiling is the least queue up to which a request is sent, where the targets allow it. Figures
	// from other data halls are up to 100 ms old: with a shorter queue a server would idle meanwhile.
	minCeiling = 100 * time.Millisecond
	// demotedShare is the share of the bound that demoted requests may fill (4). It exceeds
	// urgentShare, so that a demoted request of the most urgent rank still precedes less urgent ones.
	demotedShare = 0.6
	// margin is how much earlier than its target a request must be expected, to count as in time:
	// the age of figures from another data hall.
	margin = 100 * time.Millisecond
	// usefulShare is the share of its time within which a caller still has use for an answer (7).
	usefulShare = 0.5
	// MinWake is the least time between two decisions on a waiting request: the interval of updates.
	MinWake = 20 * time.Millisecond
	// maxWait is the longest wait until the next decision if the figures do not change.
	maxWait = 100 * time.Millisecond
	// waitingAge is the age of the reports behind Input.Waiting: a request that waits for longer is included in it.
	waitingAge = 500 * time.Millisecond
	// minSpread is the least time over which returns of refused callers are spread, as a share of
	// the target.
	minSpread = 0.25
)

// Verdict says what happens to a request.
type Verdict int

// Verdicts.
const (
	Admit Verdict = iota
	Wait
	Refuse
)

// Input is what a decision depends on. Figures are those of the best server for the request.
type Input struct {
	Queue time.Duration // until the server would begin with the request
	Work  time.Duration // prefill of the request there
	Fixed time.Duration // of the time to the first event there, independent of the prompt; it delays no other request
	Idle  bool          // nothing waits there, and under half of the slots are taken

	Running   int           // streams at the server
	GapTarget time.Duration // the smallest of the pool's streams; 0: none

	Target    time.Duration // to the first event, from arrival; 0: none, then the request is in time while its answer is of use
	Waited    time.Duration // since arrival
	Remaining time.Duration // until the caller's deadline

	UrgentTarget time.Duration // smallest target of the more urgent ranks that were asked for lately; 0: there are none
	UrgentRanks  int           // number of these ranks

	OverShare bool // the request exceeds its workspace's share, or retries in a rank that is short (Shares.Exceeds)
	Behind    bool // other requests of the box have their turn first (Queue.HasTurn)

	Waiting time.Duration // prefill that waits in all boxes, of the request's rank and more urgent ones; 0: none or not known

	AdmitRate float64 // prefill of these ranks that is admitted in all boxes, in seconds a second
	PerTurn   float64 // of the requests that wait, the number in the box for which one with a turn is drawn (Queue.PerTurn); 0: 1

	Pace   float64 // share of the requests with a turn that is admitted; 1: all
	Draw   float64 // random, in [0, 1), compared with Pace
	Spread float64 // random, in [0, 1), for Retry-After
}

// Decision is a verdict and the figures behind it.
type Decision struct {
	Verdict Verdict
	// For is the longest wait until the next decision.
	For time.Duration
	// RetryAfter is when a refused caller should return.
	RetryAfter time.Duration
	// Limit is the queue up to which the request is admitted.
	Limit time.Duration
	// Demoted reports whether (4) applied.
	Demoted bool
	// ForGap reports whether the request waits because of (9).
	ForGap bool
}

// InTime reports whether the request is still expected to be answered within its target.
func (in Input) InTime() bool { return in.Waited+in.queue()+in.Work+in.Fixed+margin <= in.target() }

// target returns the time from arrival within which the request is in time.
func (in Input) target() time.Duration {
	if in.Target <= 0 {
		return in.useful()
	}
	return in.Target
}

// queue returns the time until the server begins with the request: 0 where it is idle, whatever delay it had
// lately.
func (in Input) queue() time.Duration {
	if in.Idle {
		return 0
	}
	return in.Queue
}

// useful returns for how long after arrival its caller has use for an answer (7).
func (in Input) useful() time.Duration {
	return time.Duration(usefulShare * float64(in.Waited+in.Remaining))
}

// Useful reports whether a caller with the given patience still has use for an answer after waited (7).
func Useful(waited, patience time.Duration) bool {
	return waited < time.Duration(usefulShare*float64(patience))
}

// ceiling returns the queue up to which a request is admitted that is not demoted (2, 3).
func (in Input) ceiling() time.Duration {
	if in.UrgentTarget <= 0 {
		return in.target()
	}
	c := urgentShare * float64(in.UrgentTarget)
	for range in.UrgentRanks - 1 {
		c *= rankStep
	}
	return max(in.floor(), time.Duration(c))
}

// floor returns the queue up to which any request is admitted.
func (in Input) floor() time.Duration {
	bound := in.target()
	if in.UrgentTarget > 0 {
		bound = in.UrgentTarget
	}
	return min(minCeiling, time.Duration(urgentShare*float64(bound)))
}

// room returns the part of the limit that the queue leaves. The fuller the queue, the fewer of the boxes
// that see it send. It is 1 where no request waits in the box.
func (in Input) room(limit time.Duration) float64 {
	if in.Pace >= 1 || limit <= 0 {
		return 1
	}
	return float64(limit-in.queue()) / float64(limit)
}

// pace returns the share of the requests with a turn that is admitted (6). Without the bound, a pace that fell in a burst
// left idle servers unused for some 150 ms while the last requests waited, and those at the end of their time were refused.
func (in Input) pace(limit time.Duration) float64 {
	if in.Waiting <= 0 || !in.Idle || in.Waited < waitingAge {
		return in.Pace
	}
	return min(1, max(in.Pace, max(1, in.PerTurn)*float64(limit)/float64(in.Waiting)))
}

// Decide decides on one request.
func Decide(in Input) Decision {
	d := decideCapacity(in)
	if d.Verdict != Admit {
		return d
	}
	if wait, hold := in.holdForGap(); hold { // (9)
		d.Verdict, d.For, d.ForGap = Wait, wait, true
	}
	return d
}

// decideCapacity applies the rules (1) to (8).
func decideCapacity(in Input) Decision {
	queue := in.queue()
	d := Decision{Limit: in.ceiling(), Demoted: in.OverShare || !in.InTime()}
	if d.Demoted { // (4)
		d.Limit = max(in.floor(), time.Duration(demotedShare*float64(d.Limit)))
	}
	first := in.UrgentTarget <= 0 && !d.Demoted          // (2)
	drawn := in.Draw < in.pace(d.Limit)*in.room(d.Limit) // (6)
	expected := in.Waited + queue + in.Work + in.Fixed
	switch {
	case in.Idle && in.Pace >= 1, first: // (1, 2)
		return d
	case queue <= d.Limit && !in.Behind && (drawn || expected > in.useful()): // (3, 4, 6, 7)
		return d
	case !in.Idle && (queue > d.Limit || in.Behind) && expected > in.useful(): // (1, 7)
		d.Verdict, d.RetryAfter = Refuse, in.retryAfter(d.Limit)
		return d
	}
	d.Verdict = Wait
	d.For = max(MinWake, min(maxWait, in.useful()-expected))
	if queue <= d.Limit { // not drawn
		d.For = idleInterval
	}
	return d
}

// retryAfter returns the Retry-After of a request that is admitted up to a queue of limit (8).
func (in Input) retryAfter(limit time.Duration) time.Duration {
	drain := max(0, in.Queue-limit) + in.backlog()
	spread := max(drain, time.Duration(minSpread*float64(in.target())))
	return max(0, min(in.Remaining, drain+time.Duration(in.Spread*float64(spread))))
}

// backlog returns the time in which the requests that wait in all boxes before this one are admitted (8): the rest of the
// caller's time where none is.
func (in Input) backlog() time.Duration {
	if in.Waiting <= 0 {
		return 0
	}
	return time.Duration(min(in.Waiting.Seconds()/max(in.AdmitRate, minOffered), in.Remaining.Seconds()) * float64(time.Second))
}

// RetryAfter returns the Retry-After of a request that the box has no place for in its queue (8).
func RetryAfter(in Input) time.Duration { return in.retryAfter(Decide(in).Limit) }
