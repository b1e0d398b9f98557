package loadshare

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"leverdrum/wire"
)

const (
	// demandInterval is the time between two reports of demand, and of a slot; rates are
	// measured over demandSlots slots, which are one second.
	demandInterval = 250 * time.Millisecond
	demandSlots    = 4
	// demandTTL is how long a report counts: while there is demand, the next one follows after demandInterval.
	demandTTL = 600 * time.Millisecond
	// maxWorkspaces bounds the workspace entries of all pools in a frame, maxPools its pools. At 16 B each and 4 frames a
	// second, 32 entries take 2 KB/s. Together they fit into one frame to a box.
	maxWorkspaces = 32
	maxPools      = 4
	// maxRank is the highest rank that is accepted, and maxRanks the number of ranks of one pool in a frame.
	maxRank  = 1000
	maxRanks = 16
	// maxDemand is the largest figure that is accepted: 1,000 boxes with 100 s of prefill, or 100 requests, a second each.
	maxDemand = 100_000_000
)

// rankRates and workspaceRates are in the units of messages: milliseconds of prefill a second, and thousandths of
// requests a second. waiting is a gauge in milliseconds of prefill.
type rankRates struct{ offered, admitted, refused, late, waiting uint64 }
type workspaceRates struct{ offered, admitted uint64 }

// workspaceKey is a workspace, by the hash of its name (0: all that are not listed), in a rank.
type workspaceKey struct {
	rank int
	hash uint32
}

// poolDemand is the demand for one pool.
type poolDemand struct {
	ranks      map[int]rankRates
	workspaces map[workspaceKey]workspaceRates
}

func newPoolDemand() poolDemand {
	return poolDemand{ranks: map[int]rankRates{}, workspaces: map[workspaceKey]workspaceRates{}}
}

func (p poolDemand) addRank(rank int, d rankRates) {
	o := p.ranks[rank]
	p.ranks[rank] = rankRates{o.offered + d.offered, o.admitted + d.admitted, o.refused + d.refused, o.late + d.late, o.waiting + d.waiting}
}

func (p poolDemand) addWorkspace(key workspaceKey, d workspaceRates) {
	o := p.workspaces[key]
	p.workspaces[key] = workspaceRates{o.offered + d.offered, o.admitted + d.admitted}
}

func (p poolDemand) add(o poolDemand) {
	for rank, d := range o.ranks {
		p.addRank(rank, d)
	}
	for key, d := range o.workspaces {
		p.addWorkspace(key, d)
	}
}

// ownDemand is the demand at this box in slots of demandInterval, and what waits in it.
type ownDemand struct {
	slots   [demandSlots]map[string]poolDemand
	current int
	waiting map[poolRank]time.Duration
}

type poolRank struct {
	pool string
	rank int
}

// restart forgets the rates; what waits goes on waiting.
func (o *ownDemand) restart() { *o = ownDemand{waiting: o.waiting} }

func (o *ownDemand) recordWaiting(pool string, rank int, change time.Duration) {
	if o.waiting == nil {
		o.waiting = map[poolRank]time.Duration{}
	}
	key := poolRank{pool, rank}
	if o.waiting[key] += change; o.waiting[key] <= 0 {
		delete(o.waiting, key)
	}
}

// record adds to the current slot.
func (o *ownDemand) record(pool string, rank int, workspace uint32, d Demand) {
	if o.slots[o.current] == nil {
		o.slots[o.current] = map[string]poolDemand{}
	}
	p, known := o.slots[o.current][pool]
	if !known {
		p = newPoolDemand()
		o.slots[o.current][pool] = p
	}
	ms := func(d time.Duration) uint64 { return uint64(max(0, d.Milliseconds())) }
	p.addRank(rank, rankRates{ms(d.Offered), ms(d.Admitted), 1000 * uint64(max(0, d.Refused)), 1000 * uint64(max(0, d.Late)), 0})
	if workspace != 0 {
		p.addWorkspace(workspaceKey{rank, workspace}, workspaceRates{ms(d.Offered), ms(d.Admitted)})
	}
}

// advance begins a new slot and returns the rates a second, the sums of all slots, which together are one second, and
// what waits.
func (o *ownDemand) advance() map[string]poolDemand {
	out := sumDemand(slices.Values(o.slots[:]))
	for key, waiting := range o.waiting {
		if _, known := out[key.pool]; !known {
			out[key.pool] = newPoolDemand()
		}
		out[key.pool].addRank(key.rank, rankRates{waiting: uint64(waiting.Milliseconds())})
	}
	o.current = (o.current + 1) % demandSlots
	o.slots[o.current] = nil
	return out
}

// sumDemand adds the demand of several senders.
func sumDemand(list func(func(map[string]poolDemand) bool)) map[string]poolDemand {
	out := map[string]poolDemand{}
	for pools := range list {
		for name, p := range pools {
			if _, known := out[name]; !known {
				out[name] = newPoolDemand()
			}
			out[name].add(p)
		}
	}
	return out
}

// encodeDemand returns the messages of at most maxPools pools, with at most maxWorkspaces entries of workspaces in all.
// A pool without demand is left out; the message replaces the sender's last one.
func encodeDemand(demand map[string]poolDemand) []*wire.PoolDemand {
	var out []*wire.PoolDemand
	for _, name := range sortedKeys(demand) {
		if len(out) == maxPools {
			break
		}
		out = append(out, encodePool(name, demand[name], maxWorkspaces/min(len(demand), maxPools)))
	}
	return out
}

func encodePool(name string, p poolDemand, limit int) *wire.PoolDemand {
	m := &wire.PoolDemand{Pool: name}
	ranks := sortedKeys(p.ranks)
	ranks = ranks[:min(len(ranks), maxRanks)] // the most urgent ones
	for _, rank := range ranks {
		d := p.ranks[rank]
		m.Ranks = append(m.Ranks, &wire.RankDemand{
			Rank: uint32(rank), OfferedMs: bounded(d.offered), AdmittedMs: bounded(d.admitted), RefusedMilli: bounded(d.refused), LateMilli: bounded(d.late),
			WaitingMs: bounded(d.waiting),
		})
	}
	for _, key := range p.listed(ranks, limit) {
		d := p.workspaces[key]
		m.Workspaces = append(m.Workspaces, &wire.WorkspaceDemand{Rank: uint32(key.rank), Workspace: key.hash, OfferedMs: bounded(d.offered), AdmittedMs: bounded(d.admitted)})
	}
	return m
}

// listed returns at most limit entries in the order of their demand, of the given ranks. Where these are not all, the others
// are summed up under the hash 0 of their rank, for which half of the limit is reserved at most.
func (p poolDemand) listed(ranks []int, limit int) []workspaceKey {
	keys := slices.SortedFunc(maps.Keys(p.workspaces), func(a, b workspaceKey) int {
		return cmp.Or(cmp.Compare(p.workspaces[b].offered, p.workspaces[a].offered), cmp.Compare(a.rank, b.rank), cmp.Compare(a.hash, b.hash))
	})
	keys = slices.DeleteFunc(keys, func(key workspaceKey) bool { return !slices.Contains(ranks, key.rank) })
	if len(keys) <= limit {
		return keys
	}
	rests := ranks[:min(len(ranks), limit/2)]
	keys = slices.DeleteFunc(keys, func(key workspaceKey) bool { return key.hash == 0 })
	named := keys[:min(len(keys), limit-len(rests))]
	for _, key := range keys[len(named):] {
		p.addWorkspace(workspaceKey{rank: key.rank}, p.workspaces[key])
	}
	for _, rank := range rests {
		if rest := (workspaceKey{rank: rank}); p.workspaces[rest] != (workspaceRates{}) {
			named = append(named, rest)
		}
	}
	return named
}

func bounded(v uint64) uint32 { return uint32(min(v, maxDemand)) }

// decodeDemand returns the demand of messages. Entries over their number, with a figure or rank beyond its bound, of a
// workspace in a rank that the message does not list, or for something that it has stated before, are ignored.
func decodeDemand(list []*wire.PoolDemand, ignored func(why string)) map[string]poolDemand {
	out := map[string]poolDemand{}
	for _, m := range atMost(list, maxPools, ignored) {
		if _, stated := out[m.Pool]; stated {
			ignored(IgnoredDuplicate)
			continue
		}
		p := newPoolDemand()
		for _, d := range atMost(m.Ranks, maxRanks, ignored) {
			_, stated := p.ranks[int(d.Rank)]
			switch {
			case d.Rank > maxRank || max(d.OfferedMs, d.AdmittedMs, d.RefusedMilli, d.LateMilli, d.WaitingMs) > maxDemand:
				ignored(IgnoredRange)
			case stated:
				ignored(IgnoredDuplicate)
			default:
				p.addRank(int(d.Rank), rankRates{uint64(d.OfferedMs), uint64(d.AdmittedMs), uint64(d.RefusedMilli), uint64(d.LateMilli), uint64(d.WaitingMs)})
			}
		}
		for _, d := range atMost(m.Workspaces, maxWorkspaces, ignored) {
			key := workspaceKey{int(d.Rank), d.Workspace}
			_, known := p.ranks[key.rank]
			_, stated := p.workspaces[key]
			switch {
			case !known || max(d.OfferedMs, d.AdmittedMs) > maxDemand:
				ignored(IgnoredRange)
			case stated:
				ignored(IgnoredDuplicate)
			default:
				p.addWorkspace(key, workspaceRates{uint64(d.OfferedMs), uint64(d.AdmittedMs)})
			}
		}
		out[m.Pool] = p
	}
	return out
}

// atMost returns the first entries of a list; the rest are ignored.
func atMost[T any](list []T, limit int, ignored func(why string)) []T {
	if len(list) <= limit {
		return list
	}
	ignored(IgnoredRowCount)
	return list[:limit]
}

// activeDemand decodes the demand for the pools whose load is shared. Others would displace these in the sums of a hub.
func (s *Sharer) activeDemand(list []*wire.PoolDemand) map[string]poolDemand {
	out := decodeDemand(list, s.options.Ignored)
	maps.DeleteFunc(out, func(pool string, _ poolDemand) bool { return !s.Active(pool) })
	return out
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

// load returns the demand with the names of workspaces; those without a known name are added up as "".
func (p poolDemand) load(names *catalog) PoolLoad {
	const perSecond = 1000 // thousandths of a second, or of a request
	out := PoolLoad{Ranks: map[int]RankLoad{}, Workspaces: map[int]map[string]WorkspaceLoad{}}
	for rank, d := range p.ranks {
		out.Ranks[rank] = RankLoad{
			Offered: float64(d.offered) / perSecond, Admitted: float64(d.admitted) / perSecond,
			Refused: float64(d.refused) / perSecond, Late: float64(d.late) / perSecond, Waiting: float64(d.waiting) / perSecond,
		}
	}
	for key, d := range p.workspaces {
		if out.Workspaces[key.rank] == nil {
			out.Workspaces[key.rank] = map[string]WorkspaceLoad{}
		}
		name := names.names[key.hash]
		w := out.Workspaces[key.rank][name]
		out.Workspaces[key.rank][name] = WorkspaceLoad{w.Offered + float64(d.offered)/perSecond, w.Admitted + float64(d.admitted)/perSecond}
	}
	return out
}
