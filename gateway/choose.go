package gateway

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"leverdrum/dialect"
	"leverdrum/fleet"
)

// Rules for the choice of a server:
//
//  1. A request for a model goes to a server where the model, and the adapter, are ready. Of
//     these, the one with the lowest cost is chosen: the prefill time of the tokens that it has
//     not cached, plus the queue delay there.
//  2. Cached prompt prefixes are known from this box's own attempts only. Where nothing is known,
//     the shared parts of a prompt are assumed to be cached on its home server: the server with
//     the highest hash of both (rendezvous hashing), which is the same at every box.
//  3. A plain request goes to the less loaded of two servers drawn at random. The first is drawn
//     from the servers with an idle connection, where there are any, and wins a tie; otherwise a
//     server in the box's own data hall wins it.
//  4. A server that failed recently or is unresponsive, and one that was tried before, is used
//     only where no other is left. The same holds for a server that all boxes judge failing by
//     their shared outcomes, except for few requests that probe it. A draining server is used, while there is no other, for a
//     share of the time for which it still serves. A server whose address belongs to another one
//     now is never used.
//  5. Where servers support it, prompt prefixes that another server has cached and the chosen one
//     has not are fetched from the other. A fetch takes a fifth of the prefill time.
//  6. A slow server, one that recently stalled streams during the prefill of other prompts, is
//     avoided, and more so for longer prompts.
//  7. A server at its reported limit or in backoff (package pushback) is skipped. One that
//     reports a limit costs as much as one whose slots are taken, so that work goes to the others
//     first.
//  8. A server without an idle connection that may carry the attempt (package attest) costs the
//     opening of one. Of servers with equal cost a random one is chosen: 300 boxes that each see a
//     few requests a second must not all choose the first.
//  9. Where boxes share their load, the rules in shared.go replace 2, 6 and the queue delay of 1.

const (
	// minFetch is the smallest number of missing tokens that is fetched from another server.
	minFetch = 512
	// fetchSetup is the fixed time of a fetch in milliseconds, in addition to the time for its
	// tokens.
	fetchSetup = 4.0
	// fullPenalty is the cost in milliseconds of a server whose slots are all taken.
	fullPenalty = 400.0
	// hallPenalty is the cost in milliseconds of a server in another data hall.
	hallPenalty = 2.0
	// openPenalty is the cost in milliseconds of opening a connection: a network round trip, and
	// the millisecond that a server needs to set it up.
	openPenalty = 2.0
)

// criteria holds the inputs to the choice of a server.
type criteria struct {
	id          string // of the request; "": none
	prompt      dialect.Prompt
	keys        []uint64
	tried       []*server
	rank        int        // urgency rank, 0 is the highest
	prefillRate float64    // milliseconds to prefill one token
	overhead    float64    // milliseconds to the first event that do not depend on the prompt; set with load
	fetchRate   float64    // milliseconds to fetch one cached token from another server; 0: fetching is not supported
	load        LoadSource // of other boxes; nil: not shared
	targets     targets    // set with load
	repeatable  bool       // set with load: a failed attempt may be repeated
}

// choice is a server with the estimated cost of a request there.
type choice struct {
	server        *server
	prefixSource  *server // server to fetch cached prefixes from, nil for none
	prefillTokens int     // tokens that the server must prefill
	fetchedTokens int     // tokens that it fetches
	work          float64 // milliseconds of prefill and fetching, at an average server where load is shared
	overhead      float64 // milliseconds to the first event at an average server that are no work; 0: not known
	queueDelay    float64 // milliseconds until the work starts
	slowness      float64 // of the server by shared figures; 0: not shared
}

// duration returns the expected milliseconds to the first event at the server once the work starts.
func (c choice) duration() float64 {
	if c.slowness == 0 {
		return c.work
	}
	return c.slowness * (c.work + c.overhead)
}

// fixed returns the part of duration that does not depend on the prompt. It delays no other request.
func (c choice) fixed() float64 { return c.slowness * c.overhead }

// choose returns a server of the list, or the zero choice where none is usable.
func (d *directory) choose(list []*server, w criteria) choice {
	now := time.Now()
	usable := d.usable(list, now, w)
	switch {
	case len(usable) == 0:
		return choice{}
	case w.prompt.Model == "":
		return choice{server: d.lessLoaded(usable, now, w.id)}
	}
	if w.load != nil {
		return d.cheapestShared(usable, now, w)
	}
	return d.cheapest(usable, now, w)
}

// itemOf returns the name of the item that a prompt needs on a server: the model, or the adapter
// together with its model.
func itemOf(p dialect.Prompt) string {
	if p.Adapter == "" {
		return p.Model
	}
	return fleet.AdapterName(p.Model, p.Adapter)
}

// usable returns the servers that may be chosen: those in good health, or else draining ones, or else
// those that failed recently, are unresponsive or are judged failing (4), or one of the latter alone that is to be
// probed, or else those that only other boxes may reach. Servers that were replaced, are down, were
// tried before, lack the item, are at their limit or in backoff (7), or are brittle and full are left
// out.
func (d *directory) usable(list []*server, now time.Time, w criteria) []*server {
	p, tried := w.prompt, w.tried
	var good, fallback, draining, relayed []*server
	blocks, probes := d.pushback.Active(), w.mayProbe()
	for _, s := range list {
		since, isDraining := s.drainingFor(now)
		switch {
		case !isDraining && !w.judgedFailing(s) && s.faultless(now): // most servers, with a single lock
			if slices.Contains(tried, s) || blocks && (d.blocked(s, w.rank) || d.roomTaken(s, w.load)) {
				continue
			}
			if probes {
				s.probeSkippedAt.Store(now.UnixNano())
			}
			good = append(good, s)
		case s.isReplaced():
		case s.down(now) && d.relays.enabled() && (p.Model != "" || s.relayable(now)):
			if s.probe(now) {
				go s.dialAgain()
			}
			drained := isDraining && since >= d.drainingDuration
			if !drained && s.relayable(now) && !slices.Contains(tried, s) && !(blocks && d.blocked(s, w.rank)) {
				relayed = append(relayed, s)
			}
		case p.Model != "" && s.down(now) && !s.probe(now):
		case isDraining:
			if since < d.drainingDuration && !slices.Contains(tried, s) {
				draining = append(draining, s)
			}
		case slices.Contains(tried, s):
		case blocks && (d.blocked(s, w.rank) || d.roomTaken(s, w.load)):
		case p.Model != "" && s.isMissing(itemOf(p), now):
		case s.ejected(now), s.unresponsive.Load():
			fallback = append(fallback, s)
		case w.judgedFailing(s):
			if probes && s.probesFailing(now, d.boxes()) {
				return []*server{s}
			}
			fallback = append(fallback, s)
		default:
			if probes {
				s.probeSkippedAt.Store(now.UnixNano())
			}
			good = append(good, s)
		}
	}
	switch {
	case len(good) > 0:
		return good
	case len(draining) > 0:
		return draining
	case len(fallback) > 0:
		return fallback
	}
	return relayed
}

// blocked reports whether pushback keeps requests of a rank from a server now.
func (d *directory) blocked(s *server, rank int) bool {
	_, blocked := d.pushback.Blocked(s.id, rank)
	return blocked
}

// roomTaken reports whether a server is brittle and the requests of all boxes, where they are known, take its room.
func (d *directory) roomTaken(s *server, load LoadSource) bool {
	if load == nil {
		return false
	}
	others, known := load.Others(s.id)
	s.mu.Lock()
	running := s.inFlight + others.Running
	s.mu.Unlock()
	return known && d.pushback.SharedRoomTaken(s.id, running, s.slots, s.hash^d.seed)
}

// limitCost returns the cost in milliseconds of a server that reports a limit (7). A server that
// is due for a probe is chosen first.
func (d *directory) limitCost(s *server) float64 {
	switch {
	case d.pushback.Limit(s.id) == 0:
		return 0
	case d.pushback.DueForProbe(s.id):
		return math.Inf(-1)
	}
	return fullPenalty
}

// anyUp reports whether some server of the list is neither draining nor down and takes requests.
// Without one, the models of these servers count as not resident.
func (d *directory) anyUp(list []*server) bool {
	now := time.Now()
	return slices.ContainsFunc(list, func(s *server) bool {
		_, draining := s.drainingFor(now)
		return !draining && !s.isReplaced() && !s.down(now) && d.pushback.Sendable(s.id)
	})
}

// lessLoaded returns the less loaded of two servers drawn at random (3).
func (d *directory) lessLoaded(list []*server, now time.Time, id string) *server {
	a, b := list[rand.IntN(len(list))], list[rand.IntN(len(list))]
	hasIdle := false
	if open := withIdleConnection(list, now, id); len(open) > 0 {
		a, hasIdle = open[rand.IntN(len(open))], true
	}
	_, loadA := a.load(now)
	_, loadB := b.load(now)
	if d.pushback.Active() {
		loadA += d.limitCost(a) / fullPenalty
		loadB += d.limitCost(b) / fullPenalty
	}
	switch {
	case loadA < loadB:
		return a
	case loadB < loadA:
		return b
	case !hasIdle && b.hall == d.hall:
		return b
	}
	return a
}

// withIdleConnection returns the servers to which an idle connection exists that an attempt with this ID can use.
func withIdleConnection(list []*server, now time.Time, id string) (open []*server) {
	for _, s := range list {
		if s.pool.hasIdle(now, id) {
			open = append(open, s)
		}
	}
	return open
}

// cheapest returns the server with the lowest cost, and the server from which it fetches cached
// prompt prefixes, if any. The cost includes the prefill time or the fetch, the queue delay, recent
// stalls (1, 2, 5, 6) and the reported limit (7). Of servers with equal cost a random one is chosen
// (8).
func (d *directory) cheapest(list []*server, now time.Time, w criteria) choice {
	cached := cachedTokensOf(list, w)
	source := largest(list, cached)
	var best choice
	lowest := 0.0
	limits := d.pushback.Active()
	first := rand.IntN(len(list)) // (8)
	for n := range list {
		i := (first + n) % len(list)
		s := list[i]
		c := w.choiceAt(list, cached, source, i)
		c.queueDelay = d.queueCost(s, now, w.id)
		cost := c.work + c.queueDelay + s.stallCost(now, c.work)
		if limits {
			cost += d.limitCost(s)
		}
		if best.server == nil || cost < lowest {
			best, lowest = c, cost
		}
	}
	return best
}

func (d *directory) queueCost(s *server, now time.Time, id string) float64 {
	delay, slotShare := s.load(now)
	cost := delay
	if slotShare*float64(d.boxes()) >= 1 {
		cost += fullPenalty * slotShare
	}
	if s.hall != d.hall {
		cost += hallPenalty
	}
	if !s.pool.hasIdle(now, id) {
		cost += openPenalty
	}
	return cost
}

// pickPool draws a pool by the weights of a traffic split.
func pickPool(split []fleet.Share) string {
	total := 0
	for _, s := range split {
		total += s.Weight
	}
	if total == 0 {
		return ""
	}
	n := rand.IntN(total)
	for _, s := range split {
		if n -= s.Weight; n < 0 {
			return s.Pool
		}
	}
	return ""
}
