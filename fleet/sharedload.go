package fleet

import "time"

const (
	// minSharedRanks is the number of ranks of streaming routes from which a pool shares load: with fewer, there is no
	// order of urgency to keep.
	minSharedRanks = 3
	// maxSharedGapTarget is the longest event gap target of a pool that shares load. Prefill that boxes do not know of
	// from each other stays below longer ones.
	maxSharedGapTarget = 400 * time.Millisecond
)

// deriveSharedLoad determines which pools share load: those to which streaming routes of minSharedRanks or more ranks send
// directly or by their split, one of them with an event gap target of maxSharedGapTarget or less.
func (f *Fleet) deriveSharedLoad() {
	ranks, strict := map[string]map[int]bool{}, map[string]bool{}
	for _, r := range f.Routes {
		if r.Kind != Streaming {
			continue
		}
		for _, share := range r.Split {
			if share.Weight <= 0 {
				continue
			}
			if ranks[share.Pool] == nil {
				ranks[share.Pool] = map[int]bool{}
			}
			ranks[share.Pool][r.Rank] = true
			strict[share.Pool] = strict[share.Pool] || r.EventGapTarget > 0 && r.EventGapTarget <= maxSharedGapTarget
		}
	}
	for name, p := range f.Pools {
		p.sharesLoad = strict[name] && len(ranks[name]) >= minSharedRanks
	}
}

// SharedLoad returns the pools and services that share load.
func (f *Fleet) SharedLoad() map[string]bool {
	out := map[string]bool{}
	for name, p := range f.Pools {
		if p.SharesLoad() {
			out[name] = true
		}
	}
	for name, s := range f.Services {
		if s.SharesLoad {
			out[name] = true
		}
	}
	return out
}
