package placement

import (
	"cmp"

	"leverdrum/fleet"
)

// Bounds of a plausible slowness. The estimator's own bounds are narrower, so a value outside these
// is a fault and is ignored.
const (
	minSlowness = 0.1
	maxSlowness = 10
)

// knowsSpeeds reports whether the speeds of servers are known. If not, rules 18 to 21 do nothing.
func (p *planner) knowsSpeeds() bool { return p.in.Slowness != nil }

// slownessOf returns by what factor a server takes longer than the average one: 1 if that is not
// known, not a number or out of bounds.
func (p *planner) slownessOf(server string) float64 {
	s, known := p.in.Slowness[server]
	if !known || !(s >= minSlowness && s <= maxSlowness) { // false for NaN, too
		return 1
	}
	return s
}

// promptness ranks servers by how soon they serve a request, the soonest highest, when so much of
// their headroom is left (20). The time to serve is proportional to the slowness and, as in any
// queue, to 1/(1-utilization). An overloaded server ranks the lower the slower it is.
func (l *load) promptness(headroom float64) float64 {
	unused := headroom + 1 - l.goodUse
	if unused < 0 {
		return unused * l.slowdown()
	}
	return unused / l.slowdown()
}

// equalShare returns a copy's part if n copies share demand equally.
func equalShare(n int) float64 { return 1 / float64(max(1, n)) }

// copyShares returns what part of a model's demand each of its copies would serve if no server had
// a limit: in proportion to the speed of their servers (19).
func copyShares(list []modelCopy) []float64 {
	shares, sum := make([]float64, len(list)), sumOfSpeeds(list)
	for i, c := range list {
		shares[i] = 1 / c.acc.load.slowdown() / sum
	}
	return shares
}

// sumOfSpeeds returns the speeds of the copies' servers together; 1 is an average server.
func sumOfSpeeds(list []modelCopy) (sum float64) {
	for _, c := range list {
		sum += 1 / c.acc.load.slowdown()
	}
	return sum
}

// shareOf returns the part of its model's demand that a copy serves if no server has a limit.
func (p *planner) shareOf(m *fleet.Model, c modelCopy) float64 {
	list := p.serving(m)
	if !p.knowsSpeeds() || len(list) == 0 {
		return equalShare(len(list))
	}
	return 1 / c.acc.load.slowdown() / sumOfSpeeds(list)
}

// servesSooner compares two accelerators for a model: negative if a serves it sooner (20). Without
// known speeds, and for a model that nobody requests, the one with the lower utilization does.
func (p *planner) servesSooner(m *fleet.Model, a, b *accelerator) int {
	if !p.knowsSpeeds() || !p.isRequested(m) {
		return cmp.Compare(a.load.utilization(), b.load.utilization())
	}
	return cmp.Compare(b.load.promptness(b.load.headroom()), a.load.promptness(a.load.headroom()))
}

// compareSlowness orders the slower server first (21).
func compareSlowness(a, b *accelerator) int {
	return cmp.Compare(b.load.slowdown(), a.load.slowdown())
}

// evictsFewer reports whether the evictions for a target cost fewer requests than those for another:
// otherwise a slower server is not worth evaluating (20).
func (p *planner) evictsFewer(t, other target) bool {
	return t.acc != nil && (other.acc == nil || p.costOf(t.evicted) < p.costOf(other.evicted))
}

// costOf estimates how many requests per second are left without a copy by evictions.
func (p *planner) costOf(evicted []modelCopy) (sum float64) {
	for _, c := range evicted {
		sum += p.evictionCost(c)
	}
	return sum
}
