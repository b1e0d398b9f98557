package spread

import (
	"context"
	"time"
)

// Rules for when a file counts as in force, so that its operator may be told:
//
//  1. All listed boxes that were heard lately have it: who is told that a file is in force
//     goes by it anywhere.
//  2. After a time it is enough that a majority has it: a box that has just failed still
//     counts as heard.
//  3. After a longer time since it was agreed the operator is told in any case: a box that
//     is heard but stands still must not hold up all that operators do. The time counts over
//     all sendings of the file, since each of them may be cut off before it ends.
//
// A file of 394 KB was acknowledged when it was in force on 1 to 11 of 91 boxes, whose last
// had it 5 to 11 s later.

// heardLately is how old word of a box may be for (1): its own question takes up to
// hold, and two boxes above it repeat theirs every reportEvery, rounded up by ageStep.
const heardLately = hold + 2*(reportEvery+ageStep)

// AckTimeouts is how long an acknowledgement waits.
type AckTimeouts struct {
	// AllBoxes is the time for all boxes that were heard (1), from the call on.
	AllBoxes time.Duration
	// Majority is the time for a majority (3), since the file was agreed as far as this leader
	// knows.
	Majority time.Duration
}

// agreedFile is the newest file that was waited for.
type agreedFile struct {
	index uint64
	at    time.Time
}

// coverage is on how many boxes something is in force.
type coverage struct {
	boxes, have int // listed, and of them those that have it
	lacking     int // heard lately and without it
}

// AwaitApplied waits until an agreed file may be acknowledged or the context ends, and returns
// how many boxes have it, of how many.
func (s *Distributor) AwaitApplied(ctx context.Context, index uint64, p AckTimeouts) (have, boxes int) {
	const look = 5 * time.Millisecond
	ticker := time.NewTicker(look)
	defer ticker.Stop()
	began, agreed := time.Now(), s.agreedAt(index)
	for {
		c := s.coverage(index, heardLately)
		if c.suffices(time.Since(began), time.Since(agreed), p) {
			return c.have, c.boxes
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return c.have, c.boxes
		}
	}
}

// suffices is rules 1 to 3.
func (c coverage) suffices(waited, agreed time.Duration, p AckTimeouts) bool {
	majority := c.have > c.boxes/2
	return majority && c.lacking == 0 || majority && waited >= p.AllBoxes || agreed >= p.Majority
}

// agreedAt returns since when this leader knows that a file is agreed.
func (s *Distributor) agreedAt(index uint64) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index > s.agreed.index {
		s.agreed = agreedFile{index, time.Now()}
	}
	return s.agreed.at
}

// coverage counts the listed boxes that have an index in force, and those that lack it though
// they were heard within a time. For index 0 those that were heard have it, and no others.
func (s *Distributor) coverage(index uint64, lately time.Duration) coverage {
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
		heard := known && now-h.at <= lately
		switch {
		case index == 0 && heard, index > 0 && known && h.index >= index:
			c.have++
		case heard:
			c.lacking++
		}
	}
	return c
}
