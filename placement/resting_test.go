package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/wire"
)

// refusedBy is how many requests a second are for models whose only ready copies are on servers that rest.
func (f *fullFleet) refusedBy(resting map[string]bool) (sum float64) {
	for i := range fullModels {
		free := false
		for p, r := range f.Residents.All() {
			free = free || p.Model == modelName(i) && r.Phase == wire.Phase_PHASE_READY && !resting[p.Server]
		}
		if !free {
			sum += f.demand[modelName(i)].Requests
		}
	}
	return sum
}

// restingDay plays 120 s in which four of eighteen full servers rest for so many seconds, every 30 s others, and returns the
// loads and the requests refused. known is how long after a rest's begin placement is told of it, in seconds.
func restingDay(seed uint64, lasts, known int) (loads int, refused float64) {
	f := newFullFleet(52)
	truth := f.demand
	r := rand.New(rand.NewPCG(seed, 1))
	open := map[uint64]int{}
	resting := map[string]bool{}
	began := 0
	for now := range 120 {
		if now%30 == 5 {
			began = now
			for _, i := range r.Perm(fullServers)[:4] {
				resting[serverName(i)] = true
			}
		}
		if now == began+lasts {
			clear(resting)
		}
		f.closeDue(open, now)
		f.demand = f.estimated(r, f.demand, truth)
		in := Input{State: f.State, Demand: f.demand, LeaderFor: time.Hour, NoOrders: map[string]bool{}}
		for s := range resting {
			in.NoOrders[s] = true
		}
		if len(resting) > 0 && now-began >= known {
			in.InBackoff = resting
		}
		loads += f.issue(Decide(in), open, now)
		estimates := f.demand
		f.demand = truth
		refused += f.refusedBy(resting)
		f.demand = estimates
	}
	return loads, refused
}

// Four of eighteen full servers want no requests, every half minute others. Where that lasts long and is known at once, because they
// say so, copies elsewhere spare most refusals. Short rests are left alone: the copies come too late, and those that made room for
// them are missed.
func TestModelsOfServersThatRestLongGetCopiesElsewhere(t *testing.T) {
	const never, seeds = 1000, 5
	days := func(lasts, known int) (loads int, refused float64) {
		for seed := range uint64(seeds) {
			l, r := restingDay(seed, lasts, known)
			loads += l
			refused += r
		}
		return loads / seeds, refused / seeds
	}
	for _, lasts := range []int{12, 20, 28} {
		g := NewWithT(t)
		_, without := days(lasts, never)
		loads, with := days(lasts, 0)
		t.Logf("rests of %d s: %.0f requests refused without further copies, %.0f with them, %d loads", lasts, without, with, loads)
		g.Expect(with).To(BeNumerically("<", 0.75*without))
		g.Expect(loads).To(BeNumerically("<=", 4*4*fullPlaces), "one for each model on a server that rests")
	}
}
