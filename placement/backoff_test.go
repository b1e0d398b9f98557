package placement

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/wire"
)

// refusedInBackoff returns how many requests per second are for models whose only ready copies are
// on servers in backoff.
func (f *fullFleet) refusedInBackoff(inBackoff map[string]bool) (sum float64) {
	for i := range fullModels {
		served := false
		for p, r := range f.Residents.All() {
			served = served || p.Model == modelName(i) && r.Phase == wire.Phase_PHASE_READY && !inBackoff[p.Server]
		}
		if !served {
			sum += f.demand[modelName(i)].Requests
		}
	}
	return sum
}

// playBackoffs plays 120 s in which four of eighteen full servers are in backoff for duration
// seconds, others every 30 s, and returns the loads and the requests refused. Placement learns of a
// backoff delay seconds after it starts.
func playBackoffs(seed uint64, duration, delay int) (loads int, refused float64) {
	f := newFullFleet(52)
	truth := f.demand
	r := rand.New(rand.NewPCG(seed, 1))
	open := map[uint64]int{}
	inBackoff := map[string]bool{}
	startedAt := 0
	for now := range 120 {
		if now%30 == 5 {
			startedAt = now
			for _, i := range r.Perm(fullServers)[:4] {
				inBackoff[serverName(i)] = true
			}
		}
		if now == startedAt+duration {
			clear(inBackoff)
		}
		f.closeDue(open, now)
		f.demand = f.sampleDemand(r, f.demand, truth)
		in := Input{State: f.State, Demand: f.demand, LeaderFor: time.Hour, NoOrders: map[string]bool{}}
		for s := range inBackoff {
			in.NoOrders[s] = true
		}
		if len(inBackoff) > 0 && now-startedAt >= delay {
			in.InBackoff = inBackoff
		}
		loads += f.issue(Decide(in), open, now)
		estimates := f.demand
		f.demand = truth
		refused += f.refusedInBackoff(inBackoff)
		f.demand = estimates
	}
	return loads, refused
}

// Four of eighteen full servers refuse requests, others every half minute. Where that lasts long
// and is known at once, because the servers report it, copies elsewhere save most refusals. Short
// backoffs are ignored: the copies would come too late, and those evicted for them would be missed.
func TestModelsOfServersInLongBackoffGetCopiesElsewhere(t *testing.T) {
	const never, seeds = 1000, 5
	days := func(duration, delay int) (loads int, refused float64) {
		for seed := range uint64(seeds) {
			l, r := playBackoffs(seed, duration, delay)
			loads += l
			refused += r
		}
		return loads / seeds, refused / seeds
	}
	for _, duration := range []int{12, 20, 28} {
		g := NewWithT(t)
		_, without := days(duration, never)
		loads, with := days(duration, 0)
		t.Logf("backoffs of %d s: %.0f requests refused without further copies, %.0f with them, %d loads", duration, without, with, loads)
		g.Expect(with).To(BeNumerically("<", 0.75*without))
		g.Expect(loads).To(BeNumerically("<=", 4*4*modelsPerServer), "one for each model on a server in backoff")
	}
}
