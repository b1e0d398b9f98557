package gateway

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"leverdrum/fleet"
)

const (
	// minGaps is the least number of gaps between events from which a server's speed is estimated.
	minGaps = 4
	// maxGaps bounds the gaps that are kept of one stream; longer streams are judged by their
	// first ones.
	maxGaps = 256
	// gapQuantile is the quantile of a stream's gaps that is taken as its usual gap. It leaves out
	// gaps during the prefill of other requests.
	gapQuantile = 0.3
	// slowWrite is the time for writing an event from which a caller may be slow to read.
	slowWrite = 5 * time.Millisecond
)

// attemptLoad records one attempt at a server of a pool that shares its load. Each attempt is
// recorded with one Begin, one FirstEvent and one End, however it ends. Methods of nil, for other
// pools, do nothing.
type attemptLoad struct {
	source    LoadSource
	server    *server
	model     string        // "" for one that is not in the fleet, of which nothing is learned
	tokens    int           // that the server must prefill
	clean     bool          // something is prefilled, and no other request waited for its first event at the server when the attempt began
	gapTarget time.Duration // 0: none
	prefill   time.Duration // at the speed of an average server
	slowness  float64       // of the server when the attempt began
	startedAt time.Time
	estimate  time.Duration                    // to the first event, when the attempt began
	tryMove   func(elapsed time.Duration) bool // nil: the request may not move
	gaps      streamGaps

	mu        sync.Mutex
	timer     *time.Timer
	watch     *watch        // of the exchange; nil: it has not begun, or may not be aborted
	raised    time.Duration // by which the outstanding prefill exceeds prefill
	pending   bool          // the first event has not arrived
	stopped   bool          // no further checks
	moved     bool          // the exchange was aborted to move the request
	moveInput moveInput     // of that decision
}

// beginLoad records the start of an attempt; it returns nil where the pool does not share its load.
func (j *job) beginLoad(c choice, startedAt time.Time) *attemptLoad {
	source := j.loadSource()
	if source == nil {
		return nil
	}
	l := &attemptLoad{
		source: source, server: c.server, gapTarget: j.route.EventGapTarget, prefill: duration(c.work), slowness: cmp.Or(c.slowness, 1),
		startedAt: startedAt, estimate: duration(c.queueDelay + c.duration()), pending: true,
	}
	if j.forKnownModel() {
		l.model = j.prompt.Model
	}
	l.tokens = c.prefillTokens
	l.clean = l.model != "" && l.tokens > 0 && c.prefixSource == nil && !j.headSent && l.alone()
	l.source.Begin(l.server.id, l.prefill)
	if j.route.Kind != fleet.Streaming { // the first event of another response is its end
		return l
	}
	if j.movable() {
		l.tryMove = func(elapsed time.Duration) bool { return j.tryMove(l, elapsed) }
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = time.AfterFunc(overdueStep, l.check)
	return l
}

// alone reports whether, by the figures of all boxes, no other request waits for its first event at the
// server.
func (l *attemptLoad) alone() bool {
	others, known := l.source.Others(l.server.id)
	return known && others.Prefill == 0 && l.server.waiting() <= 1
}

// samplePrefill records the time to the first event of a stream, before firstEvent, if only its own prefill
// took place meanwhile. The time of a stream that resumes includes the prefill of what was generated.
func (l *attemptLoad) samplePrefill(took time.Duration) {
	if l != nil && l.clean && l.alone() {
		l.source.SamplePrefill(l.server.id, l.model, l.tokens, took)
	}
}

// loadSource returns the source of other boxes' load for a request for a model, nil where the pool
// does not share it.
func (j *job) loadSource() LoadSource {
	source := j.g.opts.Load
	if j.prompt.Model == "" || source == nil || !source.Active(j.poolName) {
		return nil
	}
	return source
}

// duration returns a number of milliseconds as a duration.
func duration(milliseconds float64) time.Duration {
	return time.Duration(milliseconds * float64(time.Millisecond))
}

// firstEvent records the first event, once.
func (l *attemptLoad) firstEvent() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.pending {
		return
	}
	l.pending = false
	if l.timer != nil {
		l.timer.Stop()
	}
	l.server.addPrefillWork(-milliseconds(l.raised))
	l.source.FirstEvent(l.server.id, l.prefill+l.raised)
}

// end records the end of the attempt, and the speed of the server if its stream showed it.
func (l *attemptLoad) end() {
	if l == nil {
		return
	}
	l.firstEvent()
	l.source.End(l.server.id)
	gap, ok := l.gaps.usual()
	if !ok || l.model == "" {
		return
	}
	l.source.Sample(l.server.id, l.model, gap, l.gapTarget > 0 && l.gaps.longest > l.gapTarget)
}

// eventsRead records the arrival of n whole events of the stream in one read.
func (l *attemptLoad) eventsRead(now time.Time, n int) {
	if l != nil {
		l.gaps.add(now, n)
	}
}

// forwarded records when the events that were read last had been written to the caller.
func (l *attemptLoad) forwarded(now time.Time) {
	if l != nil {
		l.gaps.forwardedAt = now
	}
}

// streamGaps collects the gaps between the events of one stream.
type streamGaps struct {
	gaps        []time.Duration
	longest     time.Duration
	lastRead    time.Time // when the previous events were read; zero: none were
	forwardedAt time.Time
}

// add adds n events that were read at once. Their gap is divided among them, since a box that is
// short of CPU reads several at a time. A gap that was mostly spent on writing to a slow caller
// shows nothing of the server.
func (s *streamGaps) add(now time.Time, n int) {
	if n <= 0 {
		return
	}
	gap, writing, first := now.Sub(s.lastRead), s.forwardedAt.Sub(s.lastRead), s.lastRead.IsZero()
	s.lastRead = now
	if first || writing > max(slowWrite, gap/2) {
		return
	}
	s.longest = max(s.longest, gap)
	for range min(n, maxGaps-len(s.gaps)) {
		s.gaps = append(s.gaps, gap/time.Duration(n))
	}
}

// usual returns the usual gap; false where there were too few.
func (s *streamGaps) usual() (time.Duration, bool) {
	if len(s.gaps) < minGaps {
		return 0, false
	}
	slices.Sort(s.gaps)
	return s.gaps[int(gapQuantile*float64(len(s.gaps)-1))], true
}
