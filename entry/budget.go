package entry

import (
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// tokensPerRequest is the retry tokens that each first attempt adds.
	tokensPerRequest = 0.1
	// maxRetryTokens bounds the accumulated tokens, so that a long quiet period does not fund a retry
	// storm.
	maxRetryTokens = 20
	// meanRetryDelay is the mean delay before the first retry; it doubles with each retry.
	meanRetryDelay = 5 * time.Millisecond
)

// retryBudget is a token bucket that limits retries to a share of first attempts, so that a box adds
// little load to backends that already fail.
type retryBudget struct {
	mu     sync.Mutex
	tokens float64
}

func newRetryBudget() *retryBudget { return &retryBudget{tokens: maxRetryTokens} }

func (b *retryBudget) addRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+tokensPerRequest, maxRetryTokens)
}

// take removes one token and reports whether there was one.
func (b *retryBudget) take() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// permits reports whether the budget permits a number of retries.
func (b *retryBudget) permits(retries int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.tokens >= float64(retries)
}

// jitter returns a random delay before the retry after attempt n.
func (*retryBudget) jitter(n int) time.Duration {
	return time.Duration(rand.Int64N(int64(2*meanRetryDelay) << n))
}
