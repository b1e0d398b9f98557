package spread

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"leverdrum/internal/wait"
	"leverdrum/wire"
)

// Rules for a round of probes:
//
//  1. A box has at most maxProbes probes in progress. The next box is probed as soon as one answers
//     or times out.
//  2. The boxes that the last round did not reach come first, then those that answered their last probe, so
//     that silent ones delay only each other. Without the former, answers that fill each round would keep
//     silent boxes that recovered from being probed again.
//  3. A probe may take its share of the round's time, which is minProbeTimeout at least: with 300
//     boxes, those that answer are all found within 1.2 s although almost half are silent.
//  4. The boxes that did not answer are probed again if the time left allows each of them more than
//     before. Boxes that answer slowly are therefore found while few boxes are silent.

const (
	// maxProbes is how many probes of a box are in progress at most. With one for each of 299
	// boxes, 300 boxes had 90,000 in progress at one moment.
	maxProbes = 15
	// minProbeTimeout is above the round-trip time between regions. A session that is not
	// established by then is still being established for the next round.
	minProbeTimeout = 100 * time.Millisecond
)

// probeLoop probes other boxes while there is no fresh update (5).
func (s *Distributor) probeLoop(ctx context.Context) {
	for rounds := 0; ctx.Err() == nil; rounds++ {
		if age, fresh := s.StateAge(); !fresh || age > s.opts.ConfigLease/2 {
			s.probeAll(ctx)
			s.markCommitted()
		}
		wait.For(ctx, s.nextProbeDelay(rounds))
	}
}

// probeAll runs one round of probes.
func (s *Distributor) probeAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.probeTimeout())
	defer cancel()
	deadline, _ := ctx.Deadline()
	pending := s.probeTargets()
	for before := time.Duration(0); len(pending) > 0; {
		timeout := timeoutPerProbe(time.Until(deadline), len(pending))
		if timeout <= before { // (4)
			return
		}
		pending, before = s.probeEach(ctx, pending, timeout), timeout
	}
}

// timeoutPerProbe divides the time left in a round between the boxes (3).
func timeoutPerProbe(left time.Duration, boxes int) time.Duration {
	return min(left, max(minProbeTimeout, left*maxProbes/time.Duration(boxes)))
}

// probeEach probes the boxes in order, at most maxProbes at a time (1), and returns those that did
// not answer.
func (s *Distributor) probeEach(ctx context.Context, boxes []string, timeout time.Duration) []string {
	var next atomic.Int64
	var running sync.WaitGroup
	for range min(maxProbes, len(boxes)) {
		running.Go(func() {
			for i := next.Add(1) - 1; i < int64(len(boxes)) && ctx.Err() == nil; i = next.Add(1) - 1 {
				s.probe(ctx, boxes[i], timeout)
			}
		})
	}
	running.Wait()
	return s.unanswered(boxes)
}

// unanswered returns the boxes that did not answer their last probe.
func (s *Distributor) unanswered(boxes []string) (list []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, box := range boxes {
		if s.probed[box].silent {
			list = append(list, box)
		}
	}
	return list
}

// lastProbe is when the last probe of a box was sent, and whether the box did not answer it.
type lastProbe struct {
	at     time.Duration
	silent bool
}

// place returns the place of a box in the order of (2), where the last round began at a time. A box that
// was not probed yet has the zero value.
func (p lastProbe) place(roundBegan time.Duration) int {
	switch {
	case p.at < roundBegan:
		return 0
	case !p.silent:
		return 1
	}
	return 2
}

// orderTargets sorts the boxes to probe in a round that begins now (2), those with the same place by the
// time of their last probe if they did not answer it. It forgets boxes that are no longer probed.
func (s *Distributor) orderTargets(boxes []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	probed := map[string]lastProbe{}
	for _, box := range boxes {
		if last, ok := s.probed[box]; ok {
			probed[box] = last
		}
	}
	slices.SortStableFunc(boxes, func(a, b string) int {
		x, y := probed[a], probed[b]
		return cmp.Or(cmp.Compare(x.place(s.roundBegan), y.place(s.roundBegan)), compareSilent(x, y))
	})
	s.probed, s.roundBegan = probed, s.opts.Replica.Now()
}

// compareSilent orders boxes that answered their last probe before the others, and these by its time.
func compareSilent(a, b lastProbe) int {
	silentSince := func(p lastProbe) time.Duration {
		if p.silent {
			return p.at
		}
		return 0
	}
	return cmp.Compare(silentSince(a), silentSince(b))
}

func (s *Distributor) probe(ctx context.Context, box string, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	sent := s.opts.Replica.Now()
	request := &wire.Request{Kind: &wire.Request_Probe{Probe: &wire.Probe{Member: s.opts.Replica.ID()}}}
	response, err := s.opts.Client.Call(ctx, box, request)
	if err != nil || response.GetProbe() == nil {
		s.mu.Lock()
		s.probed[box] = lastProbe{sent, true}
		s.mu.Unlock()
		return
	}
	a := response.GetProbe()
	s.mu.Lock()
	s.probed[box] = lastProbe{sent, false}
	s.probes[a.Member] = probe{a.Index, sent, a.Witness, positionFromProbe(a)}
	if a.Leader {
		s.leader = a.Member
	}
	s.mu.Unlock()
	if a.Index > s.opts.Replica.View().Index {
		select {
		case s.ahead <- aheadBox{box, a.Index}:
		default: // another box is already being asked
		}
	}
}

// aheadBox is a box that has applied a higher index than this one.
type aheadBox struct {
	box   string
	index uint64
}

func (s *Distributor) probeTimeout() time.Duration {
	if s.isStarting() {
		return startProbeTimeout
	}
	return requestTimeout
}

// probeTargets lists the boxes to probe. During startup these are the boxes that may know a
// leader and those that may vote, since only voters' positions count (rule 1 of start.go), and 300 boxes that
// start at once must not spend their time on connections to each other. Later they are all
// boxes, since a majority of them counts (rule 5 of the package). The list is in the order of (2).
func (s *Distributor) probeTargets() []string {
	view := s.opts.Replica.View()
	startingUp := s.isStarting()
	var core []string
	if startingUp {
		core = s.coreSources()
	}
	list := slices.Clone(core)
	for _, m := range view.Members {
		if (m.Disk || !startingUp) && m.Box != s.opts.Self.Box && !slices.Contains(core, m.Box) {
			list = append(list, m.Box)
		}
	}
	s.orderTargets(list)
	return list
}
