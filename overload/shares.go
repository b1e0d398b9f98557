package overload

import (
	"cmp"
	"slices"
	"time"

	"leverdrum/loadshare"
)

const (
	// shortAbove and shortBelow are the ratios of offered to admitted prefill at which a rank begins
	// and ceases to be short. Requests that wait are sent in the end, so that the ratio of a rank that
	// is short is only some percent above 1; a much larger ratio would end the shortage in the middle of a burst.
	shortAbove = 1.03
	shortBelow = 1.0
	// levelStep is the relative change of the fair share below which the share is left as it is, so
	// that it does not follow the noise of single updates.
	levelStep = 0.05
	// demandStep is the weight of new figures in the averages of demand. Workspaces with a request a second in a rank would
	// exceed their share whenever one of theirs arrives.
	demandStep = 0.3
	// leastShare is the share of an equal share that every workspace gets that asks for it.
	leastShare = 0.25
	// minOffered is the demand below which a rank, or a workspace, counts as not asking, in seconds of
	// prefill a second: less than a request of 5 ms in 5 s.
	minOffered = 0.001
)

// Shares holds the fair shares of a pool by rank and workspace. It is not safe for concurrent use.
type Shares struct {
	short  map[int]*rankShares                        // by rank; the others are not short
	demand map[int]map[string]loadshare.WorkspaceLoad // smoothed
}

// rankShares holds the shares in one rank.
type rankShares struct {
	level float64 // admitted prefill a second for a weight of 1, in seconds
	// within is the part of a workspace's requests that is within its share; absent: all.
	within map[string]float64
	usage  map[string]float64 // admitted over the share
	share  map[string]float64 // of those that exceed it, in seconds of prefill a second
}

// Update takes new figures. weight returns the weight of a workspace; nil: equal weights.
func (s *Shares) Update(load loadshare.PoolLoad, weight func(workspace string) float64) {
	if weight == nil {
		weight = func(string) float64 { return 1 }
	}
	s.smooth(load.Workspaces)
	next := map[int]*rankShares{}
	for rank, r := range load.Ranks {
		shares, bound := s.short[rank], shortAbove
		if shares != nil {
			bound = shortBelow
		}
		if r.Offered > minOffered && r.Offered > bound*r.Admitted {
			next[rank] = shares.updated(s.demand[rank], capacity(load, rank), weight)
		}
	}
	s.short = next
}

// smooth adds new figures to the averages of demand. Those of a workspace that neither asks nor is served are dropped.
func (s *Shares) smooth(ranks map[int]map[string]loadshare.WorkspaceLoad) {
	next := map[int]map[string]loadshare.WorkspaceLoad{}
	for rank, workspaces := range ranks {
		next[rank] = map[string]loadshare.WorkspaceLoad{}
		for name, w := range workspaces {
			next[rank][name] = w
		}
	}
	for rank, workspaces := range s.demand {
		for name, before := range workspaces {
			w := ranks[rank][name]
			w.Offered = before.Offered + demandStep*(w.Offered-before.Offered)
			w.Admitted = before.Admitted + demandStep*(w.Admitted-before.Admitted)
			if max(w.Offered, w.Admitted) >= minOffered {
				if next[rank] == nil {
					next[rank] = map[string]loadshare.WorkspaceLoad{}
				}
				next[rank][name] = w
			}
		}
	}
	s.demand = next
}

// capacity returns what more urgent ranks leave a rank of the prefill that is admitted, in seconds a second.
func capacity(load loadshare.PoolLoad, rank int) (left float64) {
	for r, l := range load.Ranks {
		if r >= rank {
			left += l.Admitted
		}
	}
	return left
}

// updated returns the shares of a rank with the given capacity; r is nil where it was not short.
func (r *rankShares) updated(workspaces map[string]loadshare.WorkspaceLoad, capacity float64, weight func(string) float64) *rankShares {
	next := &rankShares{within: map[string]float64{}, usage: map[string]float64{}, share: map[string]float64{}}
	level, equal := maxMin(workspaces, capacity, weight)
	next.level = level
	if r != nil && level <= r.level*(1+levelStep) && level >= r.level*(1-levelStep) {
		next.level = r.level
	}
	for name, w := range workspaces {
		if w.Offered < minOffered {
			continue
		}
		share := weight(name) * max(next.level, leastShare*equal)
		next.within[name] = min(1, share/w.Offered)
		if share < w.Offered {
			next.share[name] = share
		}
		if share > 0 {
			next.usage[name] = w.Admitted / share
		}
	}
	return next
}

// maxMin returns the max-min fair share and the equal share of a capacity for a weight of 1, in
// seconds of prefill a second. Workspaces that ask for less than the share leave the rest to the others.
func maxMin(workspaces map[string]loadshare.WorkspaceLoad, capacity float64, weight func(string) float64) (level, equal float64) {
	type demand struct{ offered, weight float64 }
	var list []demand
	weights := 0.0
	for name, d := range workspaces {
		if w := weight(name); d.Offered >= minOffered && w > 0 {
			list = append(list, demand{d.Offered, w})
			weights += w
		}
	}
	if len(list) == 0 {
		return 0, 0
	}
	equal = capacity / weights
	slices.SortFunc(list, func(a, b demand) int { return cmp.Compare(a.offered/a.weight, b.offered/b.weight) })
	for _, d := range list {
		level = capacity / weights
		if d.offered >= level*d.weight {
			break
		}
		capacity -= d.offered
		weights -= d.weight
	}
	return level, equal
}

// Exceeds reports whether a request is above its workspace's share (5). A rank that is not short has no
// shares. draw is random, in [0, 1); one for each request, so that its place stays the same while it waits.
func (s *Shares) Exceeds(rank int, workspace string, retry bool, draw float64) bool {
	shares := s.short[rank]
	if shares == nil {
		return false
	}
	within, ok := shares.within[workspace]
	return retry || ok && draw >= within
}

// Above returns the shares of the workspaces that ask for more than theirs in a rank, in seconds of prefill a second.
func (s *Shares) Above(rank int) map[string]float64 {
	if shares := s.short[rank]; shares != nil {
		return shares.share
	}
	return nil
}

// Usage returns what is admitted of a workspace over its share in a rank; 0 where it has just begun to ask, or the rank is
// not short.
func (s *Shares) Usage(rank int, workspace string) float64 {
	if shares := s.short[rank]; shares != nil {
		return shares.usage[workspace]
	}
	return 0
}

// Backlog returns the prefill that waits in all boxes of requests of a rank and of more urgent ones, and the rate at which
// these are admitted, in seconds a second.
func Backlog(load loadshare.PoolLoad, rank int) (waiting time.Duration, rate float64) {
	seconds := 0.0
	for r, l := range load.Ranks {
		if r <= rank {
			seconds += l.Waiting
			rate += l.Admitted
		}
	}
	return time.Duration(seconds * float64(time.Second)), rate
}

// Urgent returns the smallest target and the number of the ranks more urgent than rank that were asked
// for lately. target returns the target of a rank.
func Urgent(load loadshare.PoolLoad, rank int, target func(rank int) time.Duration) (smallest time.Duration, n int) {
	for r, l := range load.Ranks {
		if r >= rank || l.Offered <= minOffered {
			continue
		}
		n++
		if t := target(r); t > 0 && (smallest == 0 || t < smallest) {
			smallest = t
		}
	}
	return smallest, n
}
