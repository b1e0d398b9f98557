package spread

import (
	"context"
	"time"
)

// Rules for acknowledging to the operator that a file is active:
//
//  1. All listed boxes that were seen recently have applied it: an operator relies on
//     the acknowledged file at any box.
//  2. After a timeout it suffices that a majority has applied it: a box that has just failed
//     still counts as seen.
//  3. After a longer time since the commit the file is acknowledged in any case, so that a box
//     that is seen but makes no progress does not block all operator actions. The time counts
//     across all retries of the file, since each of them may be cut off before it ends.
//
// Without rule 1 a file of 394 KB was acknowledged when 1 to 11 of 91 boxes had applied it;
// the last of them applied it 5 to 11 s later.

// seenWindow is the maximum age of a box's last report for (1): its own request takes up to
// longPollTimeout, and two boxes above it repeat theirs every reportInterval, rounded up by
// ageStep.
const seenWindow = longPollTimeout + 2*(reportInterval+ageStep)

// AckTimeouts bound how long an acknowledgement waits.
type AckTimeouts struct {
	// AllBoxes is the time to wait for all recently seen boxes (1), from the call on.
	AllBoxes time.Duration
	// Majority is the time to wait for a majority (3), from when this leader knew that the
	// file was committed.
	Majority time.Duration
}

// committedFile is the newest file that an acknowledgement waited for.
type committedFile struct {
	index uint64
	at    time.Time
}

// coverage counts the boxes that have applied an index.
type coverage struct {
	boxes, applied int // listed boxes, and those of them that have applied it
	missing        int // seen recently without it
}

// AwaitApplied waits until a committed file may be acknowledged or the context ends. It
// returns how many of the listed boxes have applied it.
func (s *Distributor) AwaitApplied(ctx context.Context, index uint64, timeouts AckTimeouts) (applied, boxes int) {
	const pollInterval = 5 * time.Millisecond
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	start, committed := time.Now(), s.committedAt(index)
	for {
		c := s.coverage(index, seenWindow)
		if c.canAcknowledge(time.Since(start), time.Since(committed), timeouts) {
			return c.applied, c.boxes
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return c.applied, c.boxes
		}
	}
}

// canAcknowledge reports whether a file may be acknowledged, after waiting for some time and some
// time after its commit (1, 2, 3).
func (c coverage) canAcknowledge(waited, sinceCommit time.Duration, timeouts AckTimeouts) bool {
	majority := c.applied > c.boxes/2
	return majority && c.missing == 0 || majority && waited >= timeouts.AllBoxes || sinceCommit >= timeouts.Majority
}

// committedAt returns the time since which this leader knows that a file is committed.
func (s *Distributor) committedAt(index uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index > s.committed.index {
		s.committed = committedFile{index, time.Now()}
	}
	return s.committed.at
}

// coverage counts the listed boxes that have applied an index, and those that miss it although
// they were seen within the window. For index 0, the boxes seen within the window count as
// applied, and no others.
func (s *Distributor) coverage(index uint64, window time.Duration) coverage {
	view, own, now := s.opts.Replica.View(), s.opts.Replica.ID(), s.opts.Replica.Now()
	var c coverage
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range view.Roster {
		if p.Member == "" {
			continue
		}
		c.boxes++
		h, known := s.holdings[p.Member]
		if p.Member == own {
			h, known = holding{view.Index, now}, true
		}
		seen := known && now-h.at <= window
		switch {
		case index == 0 && seen, index > 0 && known && h.index >= index:
			c.applied++
		case seen:
			c.missing++
		}
	}
	return c
}
