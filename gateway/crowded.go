package gateway

import (
	"slices"
	"time"
)

// Rules for the notice of a crowded on-demand adapter, which the leader answers with one more copy
// (placement, rule 22):
//
//  1. It is sent only where load is shared and the figures of all servers that have the adapter are
//     known: a box's own figures are no reason for an order.
//  2. A request is expected to be late at each usable server that has the adapter: to miss its own
//     target, or to make streams that run there miss theirs.
//  3. Some usable server has the model without the adapter, and no request would be late there.
//  4. Between the two lies a margin, since estimates of prefill are off by some 10 to 20%.

const (
	// crowdedFrom is the number of requests expected to be late because of a request from which a
	// server counts as late (2), inTimeUntil the number up to which it does not (3).
	crowdedFrom = 0.5
	inTimeUntil = 0.1
)

// crowded decides on the notice, given how many requests would be late because of the request: at each
// server that has the adapter, and at each that has only its model (2, 3).
func crowded(with, without []float64) bool {
	if len(with) == 0 || len(without) == 0 {
		return false
	}
	return slices.Min(with) >= crowdedFrom && slices.Min(without) <= inTimeUntil
}

// expectedLate returns for each server of a list whose figures are known how many requests would be
// late because of the request there, and whether those of all servers are known. A server without a
// free slot makes the request late.
func (w criteria) expectedLate(list []*server, now time.Time) (late []float64, allKnown bool) {
	allKnown = true
	cached := cachedTokensOf(list, w)
	source := largest(list, cached)
	for i, s := range list {
		l := s.sharedLoad(w.load, now)
		if !l.known {
			allKnown = false
			continue
		}
		work := w.choiceAt(list, cached, source, i).work
		n := w.targets.late(l, work, w.overhead)
		if l.slotShare >= 1 {
			n++
		}
		late = append(late, n)
	}
	return late, allKnown
}

// reportCrowdedAdapter notifies the leader if the servers that have the request's adapter would all answer
// late, and another that has its model would not. list are the servers where the adapter is ready.
func (j *job) reportCrowdedAdapter(list []*server) {
	if j.prompt.Adapter == "" {
		return
	}
	w := j.criteria()
	if w.load == nil { // (1)
		return
	}
	w.repeatable = false // nothing is sent, so no server is to be probed
	now := time.Now()
	with, allKnown := w.expectedLate(j.g.dir.usable(list, now, w), now)
	if !allKnown || len(with) == 0 || slices.Min(with) < crowdedFrom {
		return
	}
	adapter := itemOf(j.prompt)
	w.prompt.Adapter = ""
	without, _ := w.expectedLate(j.g.dir.usable(j.serversWithout(adapter), now, w), now)
	if crowded(with, without) {
		j.g.notices.send(Notice{CrowdedAdapter: adapter})
	}
}

// serversWithout returns the servers that have the request's model but not the adapter and to which
// the request may be sent.
func (j *job) serversWithout(adapter string) []*server {
	t := j.g.dir.table()
	p := t.pools[j.poolName]
	if p == nil {
		return nil
	}
	with := p.readyServers(adapter)
	var list []*server
	for _, s := range j.eligible(t, p.readyServers(j.prompt.Model)) {
		if !slices.Contains(with, s) {
			list = append(list, s)
		}
	}
	return list
}
