// Package speed estimates how fast backend servers are from the gaps between events of the streams that
// they serve, and how long prefill takes (Prefill, in prefill.go).
//
// Rules of Estimator:
//
//  1. The logarithm of a gap is the sum of a term of the model and a term of the server. Both terms are
//     averages of what the other one leaves. The weight of a sample is 1/n, minWeight at least.
//  2. Single long gaps come from other requests' prefill: a residual counts up to maxResidual.
//  3. If the last runLength samples of a server all differ from its term by more than runResidual to one
//     side, the server has changed: its term becomes their median. Meanwhile the models keep their terms.
//     Samples of a model with fewer than runLength samples don't count.
//  4. Nothing is sent to a server that became very slow, so no sample would show that it recovered. After
//     idleAfter without one, the term returns to its average over baseSpan with the time constant idleSpan.
//  5. A slowness is relative to the median of all servers, shrunk to 1 with few samples, and bounded.
//  6. Gaps outside of minGap to maxGap are ignored. The numbers of servers and models are bounded; the
//     one without a sample for the longest time is dropped.
package speed

import (
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// minWeight is the least weight of a sample (1). A term then follows some 17 samples.
	minWeight = 0.06
	// maxResidual bounds the logarithm by which a sample may differ from its expectation (2).
	maxResidual = 0.5
	// runLength samples are some 1 s of a server in use; 5 gaps in a row that are too long by chance are
	// rare (one in 13,000 where 15% are). runResidual is a change by 1.4 times (3).
	runLength   = 5
	runResidual = 0.35
	// idleAfter, idleSpan and baseSpan bring a server that was five times slower for some seconds below
	// 1.6 after 5 s without a sample (4).
	idleAfter = 2 * time.Second
	idleSpan  = 2 * time.Second
	baseSpan  = time.Minute
	// shrinkSamples is the number of samples that count half (5).
	shrinkSamples = 3.0
	// minSlowness and maxSlowness bound a slowness (5).
	minSlowness = 0.3
	maxSlowness = 8.0
	// minGap and maxGap bound a credible gap between two events (6).
	minGap = 50 * time.Microsecond
	maxGap = 30 * time.Second
	// maxServers and maxModels bound the tables (6). The largest deployments have 1,200 servers.
	maxServers = 4096
	maxModels  = 4096
	// stallWeight is the weight of one stream in the stalled share, stallSpan its time constant.
	stallWeight = 0.15
	stallSpan   = 20 * time.Second
	// medianEvery is the number of samples after which the median is computed again: with 1,200
	// servers that takes some 100 us.
	medianEvery = 16
)

// Estimator estimates the speed of servers. It has no clock; it is not safe for concurrent use. Servers
// and models are given by hashes of their names.
type Estimator struct {
	now     time.Duration // of the latest sample
	servers map[uint32]*server
	models  map[uint32]*model
	median  float64 // of the servers' terms
	pending int     // samples since the median was computed
}

// model is the term of a model: the logarithm of its gap in seconds at a server with term 0.
type model struct {
	term    float64
	samples int
	last    time.Duration // time of the latest sample
}

// server is the term of a server, a logarithm.
type server struct {
	term, base float64 // base is the average over baseSpan
	samples    int
	last       time.Duration      // time of the latest sample
	run        [runLength]float64 // terms that the latest samples in a row on one side suggest
	runCount   int                // negative for samples below the term
	stalled    float64            // share of streams, at last
}

// New returns an Estimator without samples.
func New() *Estimator {
	return &Estimator{servers: map[uint32]*server{}, models: map[uint32]*model{}}
}

// Add adds the typical gap between events of one stream, and whether a gap of it exceeded its target.
// now is the time since any fixed moment.
func (e *Estimator) Add(now time.Duration, serverHash, modelHash uint32, gap time.Duration, stalled bool) {
	if gap < minGap || gap > maxGap { // (6)
		return
	}
	e.now = max(e.now, now)
	s, m := e.server(serverHash), e.model(modelHash)
	s.addStream(e.now, stalled)
	s.term = s.termAt(e.now)
	y := math.Log(gap.Seconds())
	if m.samples == 0 {
		m.term = y - s.term
	}
	residual := y - m.term - s.term
	if m.samples >= runLength {
		s.extendRun(residual)
	}
	m.samples++
	s.samples++
	if count := max(s.runCount, -s.runCount); count >= runLength { // (3)
		s.jump()
	} else {
		residual = min(maxResidual, max(-maxResidual, residual)) // (2)
		if count < 2 {
			share := weight(m.samples) * residual // (1)
			m.term += share
			residual -= share
		}
		s.term += weight(s.samples) * residual
	}
	elapsed := float64(e.now-s.last) / float64(baseSpan)
	s.base += min(1, max(1/float64(s.samples), elapsed)) * (s.term - s.base) // (4)
	s.last, m.last = e.now, e.now
	e.pending++
}

// weight returns the weight of the nth sample (1).
func weight(n int) float64 { return max(minWeight, 1/float64(n)) }

// server returns a server's entry, which it adds if there is none.
func (e *Estimator) server(hash uint32) *server {
	s := e.servers[hash]
	if s == nil {
		if len(e.servers) >= maxServers {
			dropOldest(e.servers, func(s *server) time.Duration { return s.last })
		}
		s = &server{last: e.now}
		e.servers[hash] = s
	}
	return s
}

// model returns a model's entry, which it adds if there is none.
func (e *Estimator) model(hash uint32) *model {
	m := e.models[hash]
	if m == nil {
		if len(e.models) >= maxModels {
			dropOldest(e.models, func(m *model) time.Duration { return m.last })
		}
		m = &model{}
		e.models[hash] = m
	}
	return m
}

// dropOldest removes the entry with the earliest time of its latest sample (6).
func dropOldest[V any](table map[uint32]V, last func(V) time.Duration) {
	var oldest uint32
	found := false
	for hash, v := range table {
		if !found || last(v) < last(table[oldest]) {
			oldest, found = hash, true
		}
	}
	delete(table, oldest)
}

// extendRun counts samples in a row that differ from the term to one side (3).
func (s *server) extendRun(residual float64) {
	switch {
	case residual > runResidual:
		s.runCount = max(0, s.runCount) + 1
	case residual < -runResidual:
		s.runCount = min(0, s.runCount) - 1
	default:
		s.runCount = 0
		return
	}
	i := max(s.runCount, -s.runCount) - 1
	s.run[i%runLength] = s.term + residual
}

// jump sets the term to the median of the run, which ends (3).
func (s *server) jump() {
	slices.Sort(s.run[:])
	s.term = s.run[runLength/2]
	s.runCount = 0
}

// termAt returns the term, which returns to its long average while there are no samples (4).
func (s *server) termAt(now time.Duration) float64 {
	idle := now - s.last - idleAfter
	if idle <= 0 {
		return s.term
	}
	return s.base + (s.term-s.base)*math.Exp(-float64(idle)/float64(idleSpan))
}

// addStream adds a stream to the stalled share.
func (s *server) addStream(now time.Duration, stalled bool) {
	s.stalled = (1 - stallWeight) * s.stalledAt(now)
	if stalled {
		s.stalled += stallWeight
	}
}

func (s *server) stalledAt(now time.Duration) float64 {
	return s.stalled * math.Exp(-float64(max(0, now-s.last))/float64(stallSpan))
}

// Slowness returns by what factor the server takes longer than the average one; 1 if unknown.
func (e *Estimator) Slowness(hash uint32) float64 {
	s := e.servers[hash]
	if s == nil {
		return 1
	}
	e.updateMedian()
	n := float64(s.samples)
	slowness := math.Exp((s.termAt(e.now) - e.median) * n / (n + shrinkSamples)) // (5)
	return min(maxSlowness, max(minSlowness, slowness))
}

// updateMedian computes the median of the servers' terms, where enough samples were added.
func (e *Estimator) updateMedian() {
	if e.pending == 0 || e.pending < medianEvery && len(e.servers) > medianEvery {
		return
	}
	terms := make([]float64, 0, len(e.servers))
	for _, s := range e.servers {
		terms = append(terms, s.termAt(e.now))
	}
	slices.Sort(terms)
	e.median, e.pending = terms[(len(terms)-1)/2], 0
}

// StalledShare returns the share of the server's recent streams that were stalled.
func (e *Estimator) StalledShare(now time.Duration, hash uint32) float64 {
	s := e.servers[hash]
	if s == nil {
		return 0
	}
	return s.stalledAt(now)
}

// Servers returns the servers with samples.
func (e *Estimator) Servers() []uint32 { return slices.Collect(maps.Keys(e.servers)) }

// Samples returns the number of samples of a server.
func (e *Estimator) Samples(hash uint32) int {
	if s := e.servers[hash]; s != nil {
		return s.samples
	}
	return 0
}

// Forget drops what is known of a server.
func (e *Estimator) Forget(hash uint32) {
	delete(e.servers, hash)
	e.pending = medianEvery
}
