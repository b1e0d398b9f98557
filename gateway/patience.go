package gateway

import (
	"time"

	"leverdrum/fleet"
	"leverdrum/reason"
)

// Rules for a request whose model, or adapter, is resident nowhere:
//
//  1. It waits while the model is being loaded and is expected to be ready within the time that
//     the caller waits.
//  2. Otherwise it waits for the time in which the leader receives the notice and decides
//     (decisionTime), and for waitShare of its own time at most, and is then given up: what the
//     leader has not ordered by then it will not load, and the caller can use the rest of its
//     time to retry.
//  3. It is given up with the time at which the model is expected to be ready, where that is
//     known.

const (
	// waitShare is the share of its time for which a request waits for a model that is not known
	// to be loading (2).
	waitShare = 0.45
	// decisionTime is the time within which a leader that was notified of an awaited item has
	// ordered its load, if it orders one at all, and all boxes know of it.
	decisionTime = time.Second
)

// patience returns the time that the caller allows until the first event.
func (j *job) patience() time.Duration {
	patience := j.deadline.Sub(j.arrived)
	if j.route.Kind == fleet.Streaming && j.route.FirstEventTimeout > 0 && !j.headSent {
		patience = min(patience, j.route.FirstEventTimeout)
	}
	return patience
}

// silenceShare is the share of a caller's patience for which a server that accepts connections may
// be silent. The rest is left for another server.
const silenceShare = 0.5

// silenceTimeout returns the silence after which a server that accepts connections is given up.
func (j *job) silenceTimeout() time.Duration {
	patience := j.route.FirstEventTimeout
	if patience == 0 {
		patience = j.deadline.Sub(j.arrived)
	}
	return max(unresponsiveAfter, time.Duration(silenceShare*float64(patience)))
}

// readyAt returns when the item that the request needs is expected to be ready on some server;
// false where it is not being loaded.
func (j *job) readyAt() (time.Time, bool) {
	p := j.g.dir.table().pools[j.poolName]
	if p == nil {
		return time.Time{}, false
	}
	at, ok := p.readyAt[itemOf(j.prompt)]
	return at, ok
}

// shouldGiveUp reports whether the request is to be given up instead of waiting on. Otherwise it
// returns the longest wait until the next check.
func (j *job) shouldGiveUp(now time.Time) (time.Duration, bool) {
	patience := j.patience()
	if at, loading := j.readyAt(); loading && at.Before(j.arrived.Add(patience)) { // (1)
		return waitPoll, false
	}
	remaining := min(decisionTime, time.Duration(waitShare*float64(patience))) - now.Sub(j.arrived)
	return min(waitPoll, remaining), remaining <= 0 // (2)
}

// readyWithin reports whether the item that the request needs is expected to be ready within d and
// within the caller's patience.
func (j *job) readyWithin(d time.Duration) bool {
	at, loading := j.readyAt()
	return loading && time.Until(at) < d && at.Before(j.arrived.Add(j.patience()))
}

// retryAfterForModel returns the Retry-After for a refused request for a model: the time until the
// model is expected to be ready, where that is known (3), or else modelRetryAfter, and soon at least.
func (j *job) retryAfterForModel(refusal *reason.Reason, soon time.Duration) time.Duration {
	if at, loading := j.readyAt(); loading && refusal == reason.NotResident {
		return max(soon, time.Until(at))
	}
	return max(soon, modelRetryAfter)
}
