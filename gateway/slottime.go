package gateway

import (
	"sync"
	"time"
)

const (
	// defaultSlotTime is the assumed time that a request for a model occupies a slot before one
	// has been seen to its end.
	defaultSlotTime = time.Second
	// slotTimeWeight is the weight of a new sample.
	slotTimeWeight = 0.05
)

// slotTimes averages how long requests occupy a slot at a server, by model. A fast model with long
// answers fills a server's slots long before its compute time.
type slotTimes struct {
	mu      sync.Mutex
	byModel map[string]time.Duration
}

func newSlotTimes() *slotTimes { return &slotTimes{byModel: map[string]time.Duration{}} }

func (l *slotTimes) slotTime(model string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d, ok := l.byModel[model]; ok {
		return d
	}
	return defaultSlotTime
}

// record adds the time that a request took from its last attempt to its end.
func (l *slotTimes) record(model string, duration time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d, ok := l.byModel[model]
	if !ok {
		d = defaultSlotTime
	}
	l.byModel[model] = d + time.Duration(slotTimeWeight*float64(duration-d))
}
