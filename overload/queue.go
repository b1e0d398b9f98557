package overload

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"
)

const (
	// MaxWaiting is the number of requests that may wait in a box. A box of a large deployment sees
	// some 10 requests a second for a pool, which wait up to some seconds.
	MaxWaiting = 256
	// turns is the number of requests of one lane that decide at a wake-up: it bounds the work of a
	// wake-up, and what one box sends to one server on one figure.
	turns = 2
	// firstPace is the pace of a class in which requests begin to wait. minPace is the least one:
	// some 100 boxes with a request each then send about one at an update.
	firstPace = 1.0 / 16
	minPace   = 1.0 / 128
	// paceInterval is the least time between two changes of a pace: what boxes send is in the figures
	// of all others after 50 to 100 ms.
	paceInterval = 80 * time.Millisecond
	// paceTTL is how long the pace of a lane is kept in which nothing waits.
	paceTTL = time.Second
	// maxLanes is the number of lanes beyond which those without requests are dropped.
	maxLanes = 256
	// paceUp changes the pace when the queue is within paceRoom of the limit, and paceDown when it is then
	// above paceSlack times the limit.
	paceDown  = 0.25
	paceUp    = 1.25
	paceRoom  = 0.5
	paceSlack = 1.25
	// paceIdle is the factor after each idleInterval in which the server is idle: the first pace rises to
	// 1 in 160 ms. The interval is the age of figures in a data hall: a shorter one would raise
	// the pace on figures that do not show the last requests yet.
	paceIdle     = 2.0
	idleInterval = 2 * MinWake
)

// Waiter is a request that waits in a box.
type Waiter struct {
	Lane    string // requests of a lane compete for the same servers
	Rank    int
	Demoted bool    // see Decision
	Usage   float64 // of its workspace, see Shares
	Since   time.Time
	Bytes   int64 // of its body

	displaced bool
	waiting   bool
}

// Queue orders the requests that wait in one box: by rank, those not demoted first, then by the least
// admitted over the workspace's share, then the longest waiting. It is safe for concurrent use.
type Queue struct {
	mu       sync.Mutex
	maxBytes int64 // 0: no limit
	bytes    int64
	count    int
	lanes    map[string]*lane
}

type lane struct {
	waiters []*Waiter
	paces   map[class]*pace
}

// class is a group of requests that are admitted up to the same queue.
type class struct {
	rank    int
	demoted bool
}

func (w *Waiter) class() class { return class{w.Rank, w.Demoted} }

// pace is the share of the requests of a class that is admitted at an update where the queue allows it.
// It follows what the boxes sent together the last time: see Observe.
type pace struct {
	share     float64
	updatedAt time.Time
	open      bool // the queue was within the limit and has not been clearly above since
}

func (l *lane) pace(c class, now time.Time) float64 {
	p := l.paces[c]
	switch {
	case p != nil && (len(l.waiters) > 0 || now.Sub(p.updatedAt) < paceTTL):
		return p.share
	case len(l.waiters) > 0:
		return firstPace
	}
	return 1
}

// NewQueue returns a queue whose requests have bodies of at most maxBytes together; 0: no limit.
func NewQueue(maxBytes int64) *Queue { return &Queue{maxBytes: maxBytes, lanes: map[string]*lane{}} }

func compare(a, b *Waiter) int {
	if c := cmp.Compare(a.Rank, b.Rank); c != 0 {
		return c
	}
	if a.Demoted != b.Demoted {
		if a.Demoted {
			return 1
		}
		return -1
	}
	if c := cmp.Compare(a.Usage, b.Usage); c != 0 {
		return c
	}
	return a.Since.Compare(b.Since)
}

// Enter adds a request. Where the queue is full, the last requests in its order leave it if the new one
// comes before them; Displaced is true for them. It returns false where the request finds no place, and
// does nothing for a request that is in the queue.
func (q *Queue) Enter(w *Waiter, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if w.waiting {
		return true
	}
	for q.full(w) {
		last := q.last()
		if last == nil || compare(w, last) >= 0 {
			return false
		}
		last.displaced = true
		q.remove(last)
	}
	l := q.lanes[w.Lane]
	if l == nil {
		l = &lane{paces: map[class]*pace{}}
		q.lanes[w.Lane] = l
	}
	l.waiters = append(l.waiters, w)
	w.waiting = true
	q.count++
	q.bytes += w.Bytes
	return true
}

func (q *Queue) full(w *Waiter) bool {
	return q.count >= MaxWaiting || q.maxBytes > 0 && q.bytes+w.Bytes > q.maxBytes
}

// last returns the last request in the order of all lanes.
func (q *Queue) last() (last *Waiter) {
	for _, l := range q.lanes {
		for _, w := range l.waiters {
			if last == nil || compare(w, last) > 0 {
				last = w
			}
		}
	}
	return last
}

// Leave removes a request; it does nothing if the request is not in the queue.
func (q *Queue) Leave(w *Waiter) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.remove(w)
}

func (q *Queue) remove(w *Waiter) {
	if !w.waiting {
		return
	}
	w.waiting = false
	l := q.lanes[w.Lane]
	i := slices.Index(l.waiters, w)
	l.waiters = slices.Delete(l.waiters, i, i+1)
	q.count--
	q.bytes -= w.Bytes
	if len(q.lanes) > maxLanes {
		maps.DeleteFunc(q.lanes, func(_ string, l *lane) bool { return len(l.waiters) == 0 })
	}
}

// Displaced reports whether a request had to leave for one that comes before it.
func (q *Queue) Displaced(w *Waiter) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return w.displaced
}

// HasTurn updates the order of a request, which may be new, and reports whether fewer than a few requests
// of its lane come before it. It returns the pace of its class, 1 where no request waits or waited lately.
func (q *Queue) HasTurn(w *Waiter, demoted bool, usage float64, now time.Time) (turn bool, pace float64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	w.Demoted, w.Usage = demoted, usage
	l := q.lanes[w.Lane]
	if l == nil {
		return true, 1
	}
	before := 0
	for _, other := range l.waiters {
		if other != w && compare(other, w) < 0 {
			before++
		}
		if before == turns {
			return false, l.pace(w.class(), now)
		}
	}
	return true, l.pace(w.class(), now)
}

// PerTurn returns for how many requests of its rank and more urgent ones, which wait in the box, a request with a turn is
// drawn.
func (q *Queue) PerTurn(w *Waiter) float64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := 0
	if l := q.lanes[w.Lane]; l != nil {
		for _, other := range l.waiters {
			if other.Rank <= w.Rank {
				n++
			}
		}
	}
	return max(1, float64(n)/turns)
}

// Observe adjusts the pace for the class of a request by the queue that it found at its best server. The
// pace rises while the queue is within the limit. It falls if the queue has just been within the limit and
// is clearly above: the boxes have sent too much together.
func (q *Queue) Observe(w *Waiter, in Input, limit time.Duration, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	l := q.lanes[w.Lane]
	if l == nil {
		return
	}
	p := l.paces[w.class()]
	if len(l.waiters) == 0 && (p == nil || now.Sub(p.updatedAt) >= paceTTL) {
		delete(l.paces, w.class()) // nothing waits or waited lately: all are sent
		return
	}
	if p == nil {
		p = &pace{share: firstPace, updatedAt: now}
		l.paces[w.class()] = p
	}
	queue := in.Queue
	above := float64(queue) > paceSlack*float64(limit)
	switch {
	case in.Idle && now.Sub(p.updatedAt) >= idleInterval:
		p.share = min(1, p.share*paceIdle)
		p.updatedAt = now
	case now.Sub(p.updatedAt) < paceInterval:
	case float64(queue) <= paceRoom*float64(limit):
		p.share = min(1, p.share*paceUp)
		p.updatedAt = now
	case above && p.open:
		p.share = max(minPace, p.share*paceDown)
		p.updatedAt, p.open = now, false
	}
	p.open = p.open || queue <= limit
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.count
}
