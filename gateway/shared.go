package gateway

import (
	"math"
	"math/rand/v2"
	"time"

	"leverdrum/fleet"
	"leverdrum/loadshare"
)

// Rules for the choice of a server where boxes share their load (LoadSource):
//
//  1. The prefill ahead of a request is what all boxes have outstanding at the server. Where that is
//     not known it is this box's own, as elsewhere. Both, and the request's own prefill, are multiplied
//     by the slowness of the server; shared figures are at the speed of an average one.
//  2. A gap between the events of a stream cannot be longer than the prefill outstanding at its server.
//     If it comes close to the smallest gap target of the pool, each stream running there counts as late
//     with a likelihood that grows with the excess.
//  3. The request itself counts as late with the likelihood that its first event is late, and a stream
//     with a gap target also with the share of the server's recent streams that were stalled.
//  4. Stalls count at slow servers only, and in full at those with a slowness of 2. At the others they come
//     from queues, which 1 and 2 cover: where they counted as well, all boxes left a server after some
//     stalls, and overloaded the others in turn.
//  5. Of servers whose costs are nearly equal a random one is chosen: boxes that see the same figures
//     must not all choose the same server.
//  6. A prefix counts as cached at a server only if this box's own requests or other boxes say so. Of
//     servers that differ by less than homeCost, a request with shared parts goes to the one with the
//     highest hash of these parts and the server, so that equal prefixes are cached at few servers.
//  7. A server that fails more of its requests than the others costs one more attempt with that likelihood, or a late
//     request where the attempt may not be repeated.

const (
	// lateCost is the cost in milliseconds of a request that will be late. To its caller, a stream that
	// misses its gap target is as late as one that misses its first event, so both cost the same. It
	// exceeds the targets of urgent requests, so that no such request is made late to save another time.
	lateCost = 1000.0
	// lateFrom and lateUntil are the shares of a target between which the likelihood of missing it grows
	// from 0 to 1: estimates of prefill are off by some 10 to 20%.
	lateFrom  = 0.9
	lateUntil = 1.2
	// maxLateStreams bounds the streams that count as late at one server. The cost then exceeds any
	// queue.
	maxLateStreams = 16
	// nearCost in milliseconds and nearShare bound the difference of nearly equal costs (5).
	nearCost  = 5.0
	nearShare = 0.03
	// homeCost in milliseconds bounds the cost of the home server above the lowest (6).
	homeCost = 10.0
)

// targets are what a request and the streams beside it need, in milliseconds; 0: no target.
type targets struct {
	firstEvent float64 // what is left to the target for the request's first event
	gap        float64 // the request's own gap target
	poolGap    float64 // the smallest gap target of streams in the pool
}

// serverLoad is what is known of a server.
type serverLoad struct {
	slowness     float64
	outstanding  float64 // milliseconds of prefill at the speed of an average server
	queueDelay   float64 // expected milliseconds before the prefill of a further request
	running      int
	slotShare    float64
	stalledShare float64
	known        bool // the figures include those of other boxes
}

// missLikelihood returns how likely a target is missed by what is expected to take the given time;
// 0 where there is no target.
func missLikelihood(expected, target float64) float64 {
	if target <= 0 {
		return 0
	}
	return min(1, max(0, (expected/target-lateFrom)/(lateUntil-lateFrom)))
}

// cost returns the cost in milliseconds of a request at a server. work and overhead are milliseconds of
// prefill, and of the time to the first event without it, at an average server.
func (t targets) cost(l serverLoad, work, overhead float64) float64 {
	own := l.slowness * work
	return l.queueDelay + own + l.slowness*overhead + l.stalls()*(stallPenalty+stallPrefillFactor*own) + lateCost*t.late(l, work, overhead)
}

// late returns how many requests are expected to be late because of a request at a server: itself, and streams running there.
func (t targets) late(l serverLoad, work, overhead float64) float64 {
	own := l.slowness * work
	late := missLikelihood(l.queueDelay+own+l.slowness*overhead, t.firstEvent) // (3)
	if t.gap > 0 {
		late += l.stalls()
	}
	gap := l.slowness*l.outstanding + own // (2)
	return late + missLikelihood(gap, t.poolGap)*float64(min(l.running, maxLateStreams))
}

// stalls returns the share of the server's recent streams that were stalled and count (4).
func (l serverLoad) stalls() float64 {
	return l.stalledShare * min(1, max(0, l.slowness-1))
}

// sharedLoad returns what this box and the others know of a server.
func (s *server) sharedLoad(source LoadSource, now time.Time) serverLoad {
	l := serverLoad{slowness: source.Slowness(s.id)}
	if l.slowness > 1 { // (4)
		l.stalledShare = source.StalledShare(s.id)
	}
	var others loadshare.Outstanding
	others, l.known = source.Others(s.id)
	s.mu.Lock()
	defer s.mu.Unlock()
	l.running = s.inFlight + others.Running
	l.slotShare = float64(l.running) / float64(s.slots)
	l.outstanding = s.prefillWork + milliseconds(others.Prefill)
	l.queueDelay = l.slowness * l.outstanding // (1)
	if !l.known {
		l.queueDelay = s.prefillWork + s.delay.at(now, delayDecay)
		l.stalledShare = s.stallRate.at(now, stallDecay)
	}
	if len(s.pending) > 0 { // a server that stopped or became slow a moment ago
		l.queueDelay = max(l.queueDelay, milliseconds(now.Sub(s.pending[0])))
	}
	return l
}

// cheapestShared is cheapest where boxes share their load.
func (d *directory) cheapestShared(list []*server, now time.Time, w criteria) choice {
	cached := cachedTokensOf(list, w)
	source := largest(list, cached)
	limits := d.pushback.Active()
	failing := failingShares(list, w.load)
	costs := make([]float64, len(list))
	lowest := math.Inf(1)
	for i, s := range list {
		l := s.sharedLoad(w.load, now)
		work := w.choiceAt(list, cached, source, i).work
		costs[i] = w.targets.cost(l, work, w.overhead) + d.placeCost(s, l, now, w.id)
		if failing != nil { // (7)
			costs[i] += w.failingCost(failing[i], l.slowness*work)
		}
		if limits {
			costs[i] += d.limitCost(s)
		}
		lowest = min(lowest, costs[i])
	}
	i, ok := homeNear(list, w, costs, lowest)
	if !ok {
		i = drawNear(costs, lowest)
	}
	c := w.choiceAt(list, cached, source, i)
	l := list[i].sharedLoad(w.load, now)
	c.slowness = l.slowness
	c.queueDelay = l.queueDelay + d.placeCost(list[i], l, now, w.id)
	return c
}

// placeCost returns the cost in milliseconds of taken slots, the data hall, and a connection.
func (d *directory) placeCost(s *server, l serverLoad, now time.Time, id string) (cost float64) {
	taken := l.slotShare
	if !l.known { // the other boxes probably have as much there
		taken *= float64(d.boxes())
	}
	if taken >= 1 {
		cost += fullPenalty * l.slotShare
	}
	if s.hall != d.hall {
		cost += hallPenalty
	}
	if !s.pool.hasIdle(now, id) {
		cost += openPenalty
	}
	return cost
}

// drawNear returns the index of a random one of the costs that are nearly equal to the lowest (5).
func drawNear(costs []float64, lowest float64) (index int) {
	limit := lowest
	if !math.IsInf(lowest, 0) {
		limit += max(nearCost, nearShare*lowest)
	}
	near := 0
	for i, cost := range costs {
		if cost > limit {
			continue
		}
		if near++; rand.IntN(near) == 0 {
			index = i
		}
	}
	return index
}

// homeNear returns the index of the home server of a request with shared parts among the servers whose
// costs are close to the lowest (6); false where the request has none.
func homeNear(list []*server, w criteria, costs []float64, lowest float64) (index int, ok bool) {
	if math.IsInf(lowest, 0) || len(w.keys) < 2 || sharedTokens(w.prompt) < minSharedPrefix {
		return 0, false
	}
	shared := w.keys[len(w.keys)-2]
	var highest uint64
	for i, cost := range costs {
		if cost > lowest+homeCost {
			continue
		}
		if h := homeHash(shared, list[i]); !ok || h > highest {
			index, highest, ok = i, h, true
		}
	}
	return index, ok
}

// targets returns what the request and the streams beside it need.
func (j *job) targets() targets {
	t := targets{gap: milliseconds(j.route.EventGapTarget)}
	if j.route.LatencyTarget > 0 && !j.headSent {
		t.firstEvent = max(1, milliseconds(j.route.LatencyTarget-time.Since(j.arrived)))
	}
	t.poolGap = milliseconds(j.poolGapTarget())
	return t
}

// poolGapTarget returns the smallest gap target of the streaming routes to the request's pool; 0: none.
func (j *job) poolGapTarget() time.Duration {
	if p := j.g.dir.table().pools[j.poolName]; p != nil {
		return p.smallestGapTarget()
	}
	return 0
}

// smallestGapTarget returns the smallest gap target of the streaming routes to the pool; 0: none has one.
func (p *pool) smallestGapTarget() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gapTargetKnown {
		return p.gapTarget
	}
	p.gapTargetKnown = true
	for _, r := range p.view.Fleet.Routes {
		if r.Kind != fleet.Streaming || r.EventGapTarget <= 0 {
			continue
		}
		for _, share := range r.Split {
			if share.Pool == p.Name && (p.gapTarget == 0 || r.EventGapTarget < p.gapTarget) {
				p.gapTarget = r.EventGapTarget
			}
		}
	}
	return p.gapTarget
}
