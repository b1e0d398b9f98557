package gateway

import (
	"slices"
	"time"

	"leverdrum/fleet"
	"leverdrum/reason"
)

// Rules for the move of a request that waits for its first event to another server, where boxes share
// their load:
//
//  1. A request moves only if its route lets it be repeated, during its first attempt, and if the retry
//     budget admits it. It moves once at most.
//  2. It moves if it will be late where it is, and its first event is expected later there than at
//     another server by more than the whole prefill there.
//  3. While the attempt is not overdue, its first event is expected when it was estimated, corrected by
//     how the slowness of the server has changed. An overdue attempt is expected to take as long again as
//     it exceeds the estimate, since the state of the server is unknown.
//  4. The exchange with the first server is closed before the second one begins. It is not closed if
//     bytes of its response have arrived that were not read, or its head was forwarded.

// moveMargin is added to the difference of rule 2. It covers the opening of a connection and the error
// of the estimates.
const moveMargin = 50 * time.Millisecond

// moveInput is what the decision to move a request depends on.
type moveInput struct {
	elapsed  time.Duration // since the attempt began
	waited   time.Duration // since the request arrived
	target   time.Duration // for the first event
	left     time.Duration // until the request's deadline
	estimate time.Duration // from the begin of the attempt to the first event, when it began
	slowdown float64       // slowness of the server now, as a multiple of that when the attempt began
	// other is the expected time to the first event at the best other server, otherPrefill the prefill in it.
	other, otherPrefill time.Duration
}

// expected returns the expected time until the first event at the present server (3).
func (in moveInput) expected() time.Duration {
	estimate := duration(in.slowdown * milliseconds(in.estimate))
	if in.elapsed > overdueAfter(estimate) {
		return in.elapsed - estimate
	}
	return max(0, estimate-in.elapsed)
}

// late reports whether the first event is expected after the target (2).
func (in moveInput) late() bool {
	return in.target > 0 && in.waited+in.expected() > in.target
}

// moves reports whether the request should move to the other server (2).
func (in moveInput) moves() bool {
	return in.late() && in.left > in.other+minRemaining && in.expected() > in.other+in.otherPrefill+moveMargin
}

// movable reports whether the request may move during the attempt that begins (1).
func (j *job) movable() bool {
	return j.route.Kind == fleet.Streaming && j.route.Repeatable() && j.route.MaxAttempts > 1 && j.attempts == 1 && j.possibleRuns == 0 && !j.headSent && j.route.LatencyTarget > 0
}

// tryMove aborts the exchange of an attempt if the request should move to another server. It is called on
// another goroutine while the request waits for its first event.
func (j *job) tryMove(l *attemptLoad, elapsed time.Duration) bool {
	if _, known := l.source.Others(l.server.id); !known {
		return false
	}
	in := moveInput{
		elapsed: elapsed, waited: time.Since(j.arrived), target: j.route.LatencyTarget, left: j.remaining(),
		estimate: l.estimate, slowdown: l.source.Slowness(l.server.id) / l.slowness,
	}
	if !in.late() || j.g.stopped() {
		return false
	}
	c := j.otherServer()
	if c.server == nil {
		return false
	}
	in.other, in.otherPrefill = duration(c.queueDelay+c.duration()), duration(c.duration())
	if !in.moves() {
		return false
	}
	l.moveInput = in
	return l.watch.abort(func() bool { // (4)
		if j.responseStarted.Load() || !j.g.budgets.takeRetry(j.poolName) {
			return false
		}
		j.retryGranted.Store(true)
		return true
	})
}

// otherServer returns the best server for a move: one in good health, without a reported limit, which could
// refuse the request after the first server was given up.
func (j *job) otherServer() choice {
	list, refusal := j.candidates()
	if refusal != nil {
		return choice{}
	}
	now := time.Now()
	list = slices.DeleteFunc(slices.Clone(j.filterBlocked(list)), func(s *server) bool {
		_, draining := s.drainingFor(now)
		return draining || !s.faultless(now) || j.g.opts.Pushback.Limit(s.id) > 0
	})
	return j.g.dir.choose(list, j.criteria())
}

// failureOfMove returns the failure of an attempt whose exchange was aborted for a move.
func (l *attemptLoad) failureOfMove() *failure {
	in := l.moveInput
	f := unknown(reason.BackendTimeout, Error.New("no first event after %v, expected in %v, at another server in %v", in.elapsed, in.expected(), in.other))
	f.moved = true
	return f
}
