package rate

import (
	"strconv"
	"sync"
	"time"
)

// requesterTTL is how long a box counts as one that sends requests to an allocator that is not the leader's (4). A box
// with callers sends several requests in this time.
const requesterTTL = time.Second

// Leadership is what a box knows of the leadership when it receives a request.
type Leadership struct {
	// IsLeader reports that this box leads and no other does. Term is unique to each period of leadership.
	IsLeader bool
	Term     uint64
	// Boxes is the number of boxes.
	Boxes int
}

// Lessor answers the lease requests of boxes: as the leader, or as a substitute while they reach no leader (4).
type Lessor struct {
	process string // unique to each run of each box
	now     func() time.Duration

	mu            sync.Mutex
	leadership    Leadership
	allocator     *allocator
	lastRequestAt time.Duration            // time of the last request of any box
	requesters    map[string]time.Duration // time of each box's last request
}

// NewLessor returns the Lessor of a process. The clock now is monotonic and continues while the machine is suspended.
func NewLessor(process string, now func() time.Duration) *Lessor {
	return &Lessor{process: process, now: now, allocator: newAllocator(), requesters: map[string]time.Duration{}}
}

// Lease responds to a box. The epoch is that of the allocator whose unspent tokens the box returns. limitOf returns
// the limit of a request, false if it is not known.
func (l *Lessor) Lease(box, epoch string, leadership Leadership, limitOf func(LimitRequest) (Limit, bool), requests []LimitRequest) LeaseResponse {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	changed := leadership.IsLeader != l.leadership.IsLeader || leadership.Term != l.leadership.Term
	idle := !leadership.IsLeader && now-l.lastRequestAt > ownShareTTL // tokens of the idle time belonged to other allocators
	if changed || idle {
		l.allocator = newAllocator()
	}
	l.leadership, l.lastRequestAt = leadership, now
	response := LeaseResponse{Epoch: l.epoch()}
	share := l.share(box, now)
	for _, request := range requests {
		limit, known := limitOf(request)
		if !known {
			continue
		}
		if epoch != response.Epoch {
			request.Unused = 0
		}
		response.Grants = append(response.Grants, LimitGrant{request.Key, l.allocator.lease(now, request.Key, limit, share, request.LeaseRequest)})
	}
	return response
}

func (l *Lessor) epoch() string {
	if !l.leadership.IsLeader {
		return l.process
	}
	return l.process + "/" + strconv.FormatUint(l.leadership.Term, 10)
}

// share is the share of each limit that the allocator has.
func (l *Lessor) share(box string, now time.Duration) float64 {
	if l.leadership.IsLeader {
		return 1
	}
	l.requesters[box] = now
	for name, at := range l.requesters {
		if now-at > requesterTTL {
			delete(l.requesters, name)
		}
	}
	return min(1, float64(len(l.requesters))/float64(max(1, l.leadership.Boxes)))
}
