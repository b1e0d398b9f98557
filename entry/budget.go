package entry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// retryShare is how many retries a first try earns.
	retryShare = 0.1
	// retryStore bounds what is earned, so that a long calm does not pay for a
	// storm.
	retryStore = 20
	// retryPause is the mean wait before the first retry; it doubles each time.
	retryPause = 5 * time.Millisecond
)

// budget keeps retries to a share of first tries, so that a box adds little
// load to backends that fail already.
type budget struct {
	mu     sync.Mutex
	earned float64
}

func newBudget() *budget { return &budget{earned: retryStore} }

func (b *budget) first() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.earned = min(b.earned+retryShare, retryStore)
}

// retry takes one retry off the budget, if there is one.
func (b *budget) retry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.earned < 1 {
		return false
	}
	b.earned--
	return true
}

// left reports whether there is a retry in the budget.
func (b *budget) left() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.earned >= 1
}

// jitter draws the wait before the retry behind attempt n.
func (*budget) jitter(n int) time.Duration {
	return time.Duration(rand.Int64N(int64(2*retryPause) << n))
}
