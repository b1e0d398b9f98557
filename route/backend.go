package route

import (
	"sync"
	"sync/atomic"
	"time"
)

// Backend is one backend server as this box sees it. Its counters live on from
// table to table.
type Backend struct {
	Name        string
	Address     string
	Hall        string
	Concurrency int
	// ResumesStreams tells that it goes on with streams that others began.
	ResumesStreams bool

	hash         uint64 // of the name
	inFlight     atomic.Int64
	reported     atomic.Int64 // work of others, from the last report
	ejectedUntil atomic.Int64 // unix nanoseconds
	leaving      atomic.Bool

	mu     sync.Mutex
	limit  float64
	shrunk time.Time
	health health
}

// Begin counts a request in.
func (b *Backend) Begin() { b.inFlight.Add(1) }

// End counts a request out.
func (b *Backend) End() { b.inFlight.Add(-1) }

// InFlight returns this box's own requests in flight.
func (b *Backend) InFlight() int64 { return b.inFlight.Load() }

const (
	// shrinkBy and shrinkEvery are how a limit falls (6).
	shrinkBy    = 2.0 / 3
	shrinkEvery = time.Second
	// mostOver is how far above a backend's size its limit may grow.
	mostOver = 2
)

// HasCapacity reports whether the box's limit at the backend is not reached (6).
func (b *Backend) HasCapacity() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return float64(b.inFlight.Load()) < b.limit
}

// Limit returns how many requests the box keeps in flight at most (6).
func (b *Backend) Limit() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit
}

// RecordInTime lets the limit grow (6).
func (b *Backend) RecordInTime() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if float64(b.inFlight.Load()) >= b.limit-1 {
		b.limit = min(b.limit+1/b.limit, float64(b.Concurrency*mostOver))
	}
}

// RecordLate makes the limit fall (6).
func (b *Backend) RecordLate(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.shrunk) < shrinkEvery {
		return
	}
	b.shrunk = now
	b.limit = max(1, b.limit*shrinkBy)
}

// RecordReport takes over what the backend says it runs and queues (4).
func (b *Backend) RecordReport(work int) { b.reported.Store(max(0, int64(work)-b.inFlight.Load())) }

// SetDraining takes over the backend's own or the platform's word.
func (b *Backend) SetDraining(v bool) { b.leaving.Store(v) }

// Draining reports whether the backend leaves.
func (b *Backend) Draining() bool { return b.leaving.Load() }

// load is the work for the backend's size (4).
func (b *Backend) load() float64 {
	return float64(b.inFlight.Load()+b.reported.Load()) / float64(b.Concurrency)
}

const (
	// ejectAfter is how many failures in a row take a backend out (2).
	ejectAfter = 3
	// ejectShare is the share of failures, lately, that takes a backend out.
	ejectShare = 0.3
	// weightOfNew is the weight of the newest answer in that share.
	weightOfNew = 0.1
	// ejectFor is how long it stays out the first time; it doubles from time to
	// time up to ejectMost.
	ejectFor  = 500 * time.Millisecond
	ejectMost = 30 * time.Second
	// wellShare is the share of failures below which earlier ejections are
	// forgotten.
	wellShare = 0.02
)

// health is how a backend answered lately.
type health struct {
	row       int     // failures in a row
	share     float64 // of failures
	ejections int
}

// RecordFailure notes a failure, and reports whether it took the backend out (2).
func (b *Backend) RecordFailure(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := &b.health
	h.row++
	h.share += weightOfNew * (1 - h.share)
	if h.row < ejectAfter && h.share <= ejectShare || b.ejected(now) {
		return false
	}
	out := min(ejectFor<<min(h.ejections, 8), ejectMost)
	b.ejectedUntil.Store(now.Add(out).UnixNano())
	// After its return one failure is enough to take it out again.
	h.row, h.share = ejectAfter-1, ejectShare/2
	h.ejections++
	b.limit = 1
	return true
}

// RecordSuccess notes an answer.
func (b *Backend) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := &b.health
	h.row = 0
	if h.share -= weightOfNew * h.share; h.share < wellShare {
		h.ejections = 0
	}
}

func (b *Backend) ejected(now time.Time) bool { return b.ejectedUntil.Load() > now.UnixNano() }
