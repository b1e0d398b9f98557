package gateway

import (
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"leverdrum/event"
	"leverdrum/meter"
)

const (
	// lateLinePeriod is the time in which at most maxLateLines late requests are logged.
	lateLinePeriod = time.Second
	maxLateLines   = 5
)

// lineSampler decides which of many alike requests are logged: at most maxLateLines in any lateLinePeriod.
type lineSampler struct {
	mu      sync.Mutex
	logged  [maxLateLines]time.Time // of the last lines, a ring
	next    int                     // index in logged of the oldest line
	skipped int                     // requests since the last line
}

// admit reports whether a request is logged, and how many were skipped since the last one that
// was.
func (s *lineSampler) admit(now time.Time) (skipped int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if oldest := s.logged[s.next]; !oldest.IsZero() && now.Sub(oldest) < lateLinePeriod {
		s.skipped++
		return 0, false
	}
	s.logged[s.next] = now
	s.next = (s.next + 1) % maxLateLines
	skipped, s.skipped = s.skipped, 0
	return skipped, true
}

// lateCause returns why an answered request counts as late, "" if it does not. An error that a server
// returned is not late.
func (j *job) lateCause() string {
	switch target, gap := j.route.LatencyTarget, j.route.EventGapTarget; {
	case !j.headSent || j.status >= http.StatusBadRequest:
		return ""
	case target > 0 && j.firstEventAfter > target:
		return meter.LateFirstEvent
	case gap > 0 && j.longestPause > gap:
		return meter.LateGap
	}
	return ""
}

// recordLate counts and logs a request that was answered late. At level debug logDone has logged it.
func (j *job) recordLate() {
	cause := j.lateCause()
	if cause == "" {
		return
	}
	workspace := ""
	if j.owner != nil {
		workspace = j.owner.Name
	}
	j.g.opts.Meters.CountLate(cause, j.rank(), workspace)
	core := j.g.opts.Log.Core()
	if core.Enabled(event.RequestDone.Level) || !core.Enabled(event.RequestLate.Level) {
		return
	}
	skipped, ok := j.g.late.admit(time.Now())
	if !ok {
		return
	}
	event.RequestLate.Log(j.g.opts.Log, append(j.answerFields(), zap.String("cause", cause), zap.Int("skipped", skipped))...)
}
