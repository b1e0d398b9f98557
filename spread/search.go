package spread

import (
	"context"
	"slices"
	"sync"
	"time"

	"leverdrum/consensus"
	"leverdrum/wire"
)

// Rules for finding another parent:
//
//  1. A box that had updates and whose parent fails asks other boxes in the order of chooser.go, without
//     waiting for those that do not answer, up to searchWidth at a time. The first with a fresh update is
//     the next parent. Updates that are not fresh are applied as well.
//  2. Requests begin at least searchInterval apart, and as far apart as those of chooser.go (4): boxes
//     that answer without a fresh update get no more of them than from a box that asks one after the other.
//  3. A box that has just started asks one after the other, since an answer may be a whole state.
const (
	// searchWidth is the maximum number of boxes that are asked at a time (1).
	searchWidth = 4
	// searchInterval is above the round-trip time within a region (2).
	searchInterval = 80 * time.Millisecond
	// searchTimeout is requestTimeout of a search: a parent may hold the request, and be in another region.
	searchTimeout = longPollTimeout + 200*time.Millisecond
)

// hadUpdates reports whether this box ever had a fresh update.
func (s *Distributor) hadUpdates() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fresh
}

// answer is the result of a request for updates.
type answer struct {
	box string
	err error
}

// search asks boxes for updates until one has a fresh one, this box leads or the context ends.
func (s *Distributor) search(ctx context.Context, c *parentChooser) {
	var running sync.WaitGroup
	defer running.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // the others that were asked
	answers := make(chan answer, searchWidth)
	var asked []string
	timer := time.NewTimer(0)
	defer timer.Stop()
	for ctx.Err() == nil && s.opts.Replica.Status().Role != consensus.Leader {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
			timer.Reset(s.askNext(ctx, c, &asked, &running, answers))
		case a := <-answers:
			asked = slices.DeleteFunc(asked, func(box string) bool { return box == a.box })
			s.logParentChange(a.box, a.err)
			if a.err == nil {
				c.recordSuccess(a.box, time.Now())
				s.setParent(a.box)
				return
			}
		}
	}
}

// askNext asks the next box, unless enough are being asked, and returns the time until the next one.
func (s *Distributor) askNext(ctx context.Context, c *parentChooser, asked *[]string, running *sync.WaitGroup, answers chan<- answer) time.Duration {
	list := slices.DeleteFunc(s.parentCandidates(), func(box string) bool { return slices.Contains(*asked, box) })
	if len(list) == 0 || len(*asked) == searchWidth {
		return searchInterval
	}
	box := c.next(list, wire.BoxOf(s.Leader()), time.Now())
	c.recordFailure(box, list) // the next one is asked whether it answers or not
	*asked = append(*asked, box)
	running.Go(func() { answers <- answer{box, s.requestUpdates(ctx, box, searchTimeout)} })
	return max(searchInterval, c.delay(list))
}
