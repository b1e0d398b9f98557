package rate

import (
	"strconv"
	"sync"
	"time"
)

// askerTTL is how long a box counts as one of those that ask an allocator that does not lead (4). A
// box with callers asks several times in it.
const askerTTL = time.Second

// Leadership is what a box knows of leading when it is asked.
type Leadership struct {
	// IsLeader tells that no other box leads now; Term is unlike that of any other time of leading.
	IsLeader bool
	Term     uint64
	// Boxes is how many boxes there are.
	Boxes int
}

// Lessor answers what boxes ask for of limits: as the box that leads, or as one that others turn to
// while they reach no leader (4).
type Lessor struct {
	process string // unlike that of any other run of any box
	now     func() time.Duration

	mu        sync.Mutex
	lead      Leadership
	allocator *allocator
	askedAt   time.Duration            // by any box, last
	askers    map[string]time.Duration // boxes, and when they asked last
}

// NewLessor returns the Lessor of a process; now is a steady clock that goes on while the machine sleeps.
func NewLessor(process string, now func() time.Duration) *Lessor {
	return &Lessor{process: process, now: now, allocator: newAllocator(), askers: map[string]time.Duration{}}
}

// Lease answers a box. The epoch is that of the allocator to which what it gives back belonged; limitOf tells what a
// key is bounded by, false where it is not known.
func (l *Lessor) Lease(box, epoch string, lead Leadership, limitOf func(LimitRequest) (Limit, bool), asks []LimitRequest) LeaseResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	changed := lead.IsLeader != l.lead.IsLeader || lead.Term != l.lead.Term
	rested := !lead.IsLeader && now-l.askedAt > ownShareTTL // what a part saved up meanwhile was another's to give
	if changed || rested {
		l.allocator = newAllocator()
	}
	l.lead, l.askedAt = lead, now
	answer := LeaseResponse{Epoch: l.epoch()}
	share := l.share(box, now)
	for _, ask := range asks {
		limit, known := limitOf(ask)
		if !known {
			continue
		}
		if epoch != answer.Epoch {
			ask.Unused = 0
		}
		answer.Grants = append(answer.Grants, LimitGrant{ask.Key, l.allocator.lease(now, ask.Key, limit, share, ask.LeaseRequest)})
	}
	return answer
}

func (l *Lessor) epoch() string {
	if !l.lead.IsLeader {
		return l.process
	}
	return l.process + "/" + strconv.FormatUint(l.lead.Term, 10)
}

// share is the part of the limits that the allocator has.
func (l *Lessor) share(box string, now time.Duration) float64 {
	if l.lead.IsLeader {
		return 1
	}
	l.askers[box] = now
	for name, at := range l.askers {
		if now-at > askerTTL {
			delete(l.askers, name)
		}
	}
	return min(1, float64(len(l.askers))/float64(max(1, l.lead.Boxes)))
}
