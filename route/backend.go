package route

import (
	"sync"
	"sync/atomic"
	"time"
)

// Backend is this box's view of one backend server. Its counters are kept when
// a new table is built.
type Backend struct {
	Name        string
	Address     string
	Hall        string
	Concurrency int
	// ResumesStreams reports whether the server continues streams that another
	// server started.
	ResumesStreams bool

	hash         uint64 // of the name
	inFlight     atomic.Int64
	reportedWork atomic.Int64 // work for other boxes, from the last report
	ejectedUntil atomic.Int64 // unix nanoseconds
	draining     atomic.Bool

	mu           sync.Mutex
	limit        float64
	lastDecrease time.Time
	health       health
}

// Begin adds a request to those in flight.
func (b *Backend) Begin() { b.inFlight.Add(1) }

// End removes a request from those in flight.
func (b *Backend) End() { b.inFlight.Add(-1) }

// InFlight returns the number of this box's requests in flight.
func (b *Backend) InFlight() int64 { return b.inFlight.Load() }

const (
	// limitDecreaseFactor and limitDecreaseInterval control how a limit
	// decreases (6).
	limitDecreaseFactor   = 2.0 / 3
	limitDecreaseInterval = time.Second
	// maxLimitFactor is the maximum limit as a multiple of the backend's
	// concurrency.
	maxLimitFactor = 2
)

// HasCapacity reports whether this box has fewer requests in flight at the
// backend than its limit there (6).
func (b *Backend) HasCapacity() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return float64(b.inFlight.Load()) < b.limit
}

// Limit returns the maximum number of requests that this box keeps in flight at
// the backend (6).
func (b *Backend) Limit() float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.limit
}

// RecordInTime records an answer that came in time and may raise the limit (6).
func (b *Backend) RecordInTime() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if float64(b.inFlight.Load()) >= b.limit-1 {
		b.limit = min(b.limit+1/b.limit, float64(b.Concurrency*maxLimitFactor))
	}
}

// RecordLate records an answer that was late, refused or broken and may lower
// the limit (6).
func (b *Backend) RecordLate(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Sub(b.lastDecrease) < limitDecreaseInterval {
		return
	}
	b.lastDecrease = now
	b.limit = max(1, b.limit*limitDecreaseFactor)
}

// RecordReport records how many requests the backend reports as running or
// queued (4).
func (b *Backend) RecordReport(work int) { b.reportedWork.Store(max(0, int64(work)-b.inFlight.Load())) }

// SetDraining records whether the backend or the platform reports it as
// draining.
func (b *Backend) SetDraining(v bool) { b.draining.Store(v) }

// Draining reports whether the backend is draining.
func (b *Backend) Draining() bool { return b.draining.Load() }

// load returns the requests at the backend divided by its concurrency (4).
func (b *Backend) load() float64 {
	return float64(b.inFlight.Load()+b.reportedWork.Load()) / float64(b.Concurrency)
}

const (
	// maxConsecutiveFailures is the number of consecutive failures that ejects a
	// backend (2).
	maxConsecutiveFailures = 3
	// maxFailureShare is the recent share of failures above which a backend is
	// ejected.
	maxFailureShare = 0.3
	// failureSmoothing is the weight of the newest answer in that share.
	failureSmoothing = 0.1
	// firstEjection is the duration of the first ejection. It doubles with each
	// further one, up to maxEjection.
	firstEjection = 500 * time.Millisecond
	maxEjection   = 30 * time.Second
	// healthyFailureShare is the share of failures below which earlier
	// ejections are forgotten.
	healthyFailureShare = 0.02
)

// health describes a backend's recent answers.
type health struct {
	consecutiveFailures int
	failureShare        float64
	ejections           int
}

// RecordFailure records a failure and reports whether it ejected the backend (2).
func (b *Backend) RecordFailure(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := &b.health
	h.consecutiveFailures++
	h.failureShare += failureSmoothing * (1 - h.failureShare)
	if h.consecutiveFailures < maxConsecutiveFailures && h.failureShare <= maxFailureShare || b.ejected(now) {
		return false
	}
	duration := min(firstEjection<<min(h.ejections, 8), maxEjection)
	b.ejectedUntil.Store(now.Add(duration).UnixNano())
	// After the ejection a single failure ejects the backend again.
	h.consecutiveFailures, h.failureShare = maxConsecutiveFailures-1, maxFailureShare/2
	h.ejections++
	b.limit = 1
	return true
}

// RecordSuccess records a successful answer.
func (b *Backend) RecordSuccess() {
	b.mu.Lock()
	defer b.mu.Unlock()
	h := &b.health
	h.consecutiveFailures = 0
	if h.failureShare -= failureSmoothing * h.failureShare; h.failureShare < healthyFailureShare {
		h.ejections = 0
	}
}

func (b *Backend) ejected(now time.Time) bool { return b.ejectedUntil.Load() > now.UnixNano() }
