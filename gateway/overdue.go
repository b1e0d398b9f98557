package gateway

import "time"

const (
	// overdueFactor and overdueSlack give the time after which an attempt without a first event is overdue,
	// from its estimate. Estimates are off by tens of milliseconds at a server that works as usual.
	overdueFactor = 2
	overdueSlack  = 50 * time.Millisecond
	// overdueStep is the interval at which attempts are checked, and the step by which they are raised.
	overdueStep = 50 * time.Millisecond
	// maxOverdue bounds by how much the outstanding prefill of an attempt is raised.
	maxOverdue = 2 * time.Second
)

// overdueAfter returns the time after which an attempt with an estimated time to its first event is overdue.
func overdueAfter(estimate time.Duration) time.Duration {
	return overdueFactor*estimate + overdueSlack
}

// overdueBy returns by how much an attempt is overdue, in whole steps.
func overdueBy(elapsed, estimate time.Duration) time.Duration {
	by := min(elapsed-overdueAfter(estimate), maxOverdue)
	return max(0, by).Truncate(overdueStep)
}

// check raises the outstanding prefill of an overdue attempt, so that all boxes see that its server became
// slow, and moves the request if that is better. It runs until the first event, or the end of the attempt.
func (l *attemptLoad) check() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.pending || l.stopped {
		return
	}
	elapsed := time.Since(l.startedAt)
	l.raise(overdueBy(elapsed, l.estimate))
	if l.tryMove != nil && l.watch != nil && !l.moved {
		l.moved = l.tryMove(elapsed)
	}
	l.timer.Reset(overdueStep)
}

// raise raises the outstanding prefill of the attempt by the time for which it is overdue. What is
// outstanding is counted at the speed of an average server.
func (l *attemptLoad) raise(overdue time.Duration) {
	raised := duration(milliseconds(overdue) / l.slowness)
	if raised <= l.raised {
		return
	}
	l.source.Begin(l.server.id, raised-l.raised)
	l.source.End(l.server.id) // it is no further request
	l.server.addPrefillWork(milliseconds(raised - l.raised))
	l.raised = raised
}

// setWatch sets the watch of the attempt's exchange.
func (l *attemptLoad) setWatch(w *watch) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watch = w
}

// stop ends the checks and reports whether the exchange was aborted to move the request.
func (l *attemptLoad) stop() (moved bool) {
	if l == nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	if l.timer != nil {
		l.timer.Stop()
	}
	return l.moved
}
