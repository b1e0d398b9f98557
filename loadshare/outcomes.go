package loadshare

import (
	"cmp"
	"math"
	"slices"
	"time"

	"leverdrum/wire"
)

// Rules by which a hub judges servers from the outcomes of attempts at all boxes:
//
//  1. Failed and succeeded attempts are counted for each server, over the boxes of this hub and the other hubs. The
//     counts decay with the time constant outcomeDecay.
//  2. The share of failures is failed / (failed + succeeded + outcomePrior).
//  3. A server is judged failing at a share of FailingFrom or more, or after a run of failures without a success between
//     them that has a likelihood of at most runLikelihood at the share before the run, and that has gone on for runSettleTime
//     since or has sureRun failures: a server that worked until now has many successes in its share. At least minFailureBoxes boxes must have seen failures within failureWindow: one box
//     alone may have a fault of its own.
//  4. It is failing until its share is below workingBelow. The counts begin anew with maxFailedCount failures, and no more
//     count meanwhile: few requests probe a failing server, and with more failures their successes would not show within
//     2 s that it has recovered. Without a probe the judgement ends 1.9 s after the last failure.
const (
	outcomeDecay    = 2 * time.Second
	outcomePrior    = 2
	failureWindow   = 2 * outcomeDecay
	minFailureBoxes = 2
	maxFailedCount  = 1.7
	workingBelow    = 0.25
	// runLikelihood is reached after three failures where at most leastRunShare of the requests failed before.
	runLikelihood = 0.001
	leastRunShare = 0.1
	runSettleTime = 300 * time.Millisecond
	sureRun       = 8
	// leastShare is the least share that is published: a smaller one is no reason to prefer other servers.
	leastShare = 0.02
	// maxOutcomes is the highest valid figure of one entry.
	maxOutcomes = 10_000
	// maxOutcomesInFrame bounds the servers with outcomes in one frame.
	maxOutcomesInFrame = 64
)

// FailingFrom is the share of failures from which a server is judged failing. FailingShare of a server that is not
// judged failing is lower, and that of one that is judged failing is not.
const FailingFrom = 0.5

// attemptCounts are attempts at one server that ended.
type attemptCounts struct{ succeeded, failed uint32 }

// outcomeQueue holds the outcomes that a receiver has not been sent.
type outcomeQueue struct {
	counts map[uint32]attemptCounts
	failed int // servers with failures
}

func newOutcomeQueue() outcomeQueue { return outcomeQueue{counts: map[uint32]attemptCounts{}} }

func (q *outcomeQueue) add(server uint32, n attemptCounts) {
	old := q.counts[server]
	if old.failed == 0 && n.failed > 0 {
		q.failed++
	}
	q.counts[server] = attemptCounts{min(old.succeeded+n.succeeded, maxOutcomes), min(old.failed+n.failed, maxOutcomes)}
}

// take removes and returns the outcomes of at most maxOutcomesInFrame servers, the most failures first.
func (q *outcomeQueue) take() (list []*wire.ServerOutcomes) {
	if len(q.counts) == 0 {
		return nil
	}
	for server, n := range q.counts {
		o := &wire.ServerOutcomes{Server: server, Succeeded: n.succeeded, Failed: n.failed}
		if n.failed > 0 {
			o.Boxes = 1
		}
		list = append(list, o)
	}
	if len(list) > maxOutcomesInFrame {
		slices.SortFunc(list, func(a, b *wire.ServerOutcomes) int {
			return cmp.Or(cmp.Compare(b.Failed, a.Failed), cmp.Compare(a.Server, b.Server))
		})
		list = list[:maxOutcomesInFrame]
	}
	for _, o := range list {
		if o.Failed > 0 {
			q.failed--
		}
		delete(q.counts, o.Server)
	}
	return list
}

// outcomeTable is what a hub knows of the outcomes of attempts.
type outcomeTable struct {
	servers map[uint32]*serverOutcomes
	failed  map[uint32]struct{} // servers whose share is to be compared with the published one
	changes []outcomeChange     // judgements that the observer has not been told
}

// serverOutcomes are the recent outcomes at one server.
type serverOutcomes struct {
	succeeded, failed float64
	decayedAt         time.Duration
	senders           map[string]failuresSeen // by key of the link
	failing           bool
	// run is the number of failures since the last success, and shareBefore the share before the first of them.
	run         int
	shareBefore float64
	failedAt    time.Duration // latest failure
	// improbableAt is when the run became improbable; 0: it is not.
	improbableAt time.Duration
}

// failuresSeen are the boxes of a sender that saw failures, and when it last reported failures.
type failuresSeen struct {
	boxes int
	hub   bool
	at    time.Duration
}

// outcomeChange is a change of a judgement.
type outcomeChange struct {
	server  uint32
	failing bool
	share   float64
	boxes   int
}

func newOutcomeTable() *outcomeTable {
	return &outcomeTable{servers: map[uint32]*serverOutcomes{}, failed: map[uint32]struct{}{}}
}

// add counts the outcomes of a sender.
func (t *outcomeTable) add(now time.Duration, key string, hub bool, x *wire.ServerOutcomes) {
	s := t.servers[x.Server]
	if s == nil {
		s = &serverOutcomes{decayedAt: now, senders: map[string]failuresSeen{}}
		t.servers[x.Server] = s
	}
	s.decay(now)
	s.extendRun(now, x)
	s.succeeded += float64(x.Succeeded)
	s.failed += float64(x.Failed)
	if s.failing {
		s.failed = min(s.failed, maxFailedCount) // (4)
	}
	if x.Failed > 0 {
		s.senders[key] = failuresSeen{boxes: max(1, int(x.Boxes)), hub: hub, at: now}
		t.failed[x.Server] = struct{}{}
	}
	t.judge(now, x.Server)
}

// extendRun counts the failures since the last success, which are those within failureWindow of each other.
func (s *serverOutcomes) extendRun(now time.Duration, x *wire.ServerOutcomes) {
	if x.Succeeded > 0 || now-s.failedAt > failureWindow {
		s.run, s.improbableAt = 0, 0
	}
	if x.Failed == 0 || x.Succeeded > 0 { // in which order is not known
		return
	}
	if s.run == 0 {
		s.shareBefore = max(leastRunShare, s.share())
	}
	s.run += int(x.Failed)
	s.failedAt = now
	const tolerance = 1e-9 // of rounding
	if s.improbableAt == 0 && float64(s.run)*math.Log(s.shareBefore) <= math.Log(runLikelihood)+tolerance {
		s.improbableAt = now
	}
}

// beganToFail reports whether the run of failures shows that the server has just begun to fail (3).
func (s *serverOutcomes) beganToFail(now time.Duration) bool {
	return s.improbableAt > 0 && now-s.failedAt <= failureWindow && (s.run >= sureRun || now-s.improbableAt >= runSettleTime)
}

// decay applies the time constant (1).
func (s *serverOutcomes) decay(now time.Duration) {
	factor := math.Exp(-float64(now-s.decayedAt) / float64(outcomeDecay))
	s.succeeded, s.failed, s.decayedAt = s.succeeded*factor, s.failed*factor, now
}

func (s *serverOutcomes) share() float64 { return s.failed / (s.failed + s.succeeded + outcomePrior) }

// boxes returns the number of boxes that saw failures within failureWindow, those of other hubs included or not.
func (s *serverOutcomes) boxes(now time.Duration, withHubs bool) (n int) {
	for key, seen := range s.senders {
		switch {
		case now-seen.at > failureWindow:
			delete(s.senders, key)
		case withHubs || !seen.hub:
			n += seen.boxes
		}
	}
	return n
}

// judge decides whether a server is failing.
func (t *outcomeTable) judge(now time.Duration, server uint32) {
	s := t.servers[server]
	share, boxes := s.share(), s.boxes(now, true)
	switch {
	case !s.failing && (share >= FailingFrom || s.beganToFail(now)) && boxes >= minFailureBoxes: // (3)
		s.failing, s.succeeded, s.failed = true, 0, maxFailedCount // (4)
	case s.failing && share < workingBelow: // (4)
		s.failing = false
	default:
		return
	}
	s.run, s.improbableAt = 0, 0
	t.changes = append(t.changes, outcomeChange{server, s.failing, share, boxes})
}

// published returns the share of failures of a server as boxes are told it: they take a server as failing from FailingFrom.
func (t *outcomeTable) published(now time.Duration, server uint32) float64 {
	s := t.servers[server]
	if s == nil {
		return 0
	}
	s.decay(now)
	t.judge(now, server)
	share := s.share()
	switch {
	case s.failing:
		return max(share, FailingFrom)
	case share < leastShare:
		return 0
	}
	return min(share, FailingFrom-1.0/perMille)
}

// hallBoxes returns the number of boxes of this hub that saw failures.
func (t *outcomeTable) hallBoxes(now time.Duration, server uint32) int {
	s := t.servers[server]
	if s == nil {
		return 0
	}
	return s.boxes(now, false)
}

// forget drops the servers that are not in the catalog.
func (t *outcomeTable) forget(c *catalog) {
	for server := range t.servers {
		if !c.has(server) {
			delete(t.servers, server)
			delete(t.failed, server)
		}
	}
}
