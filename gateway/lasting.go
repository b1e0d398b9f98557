package gateway

import (
	"sync"
	"time"
)

const (
	// lastsFirst is how long a request of a model is taken to hold its place at a server
	// before one was seen to its end.
	lastsFirst = time.Second
	// lastsNewest is the weight of a new one.
	lastsNewest = 0.05
)

// lasting learns how long requests hold a place at a server, by model. A quick model whose
// answers are long fills a server's places long before its time.
type lasting struct {
	mu    sync.Mutex
	model map[string]time.Duration
}

func newLasting() *lasting { return &lasting{model: map[string]time.Duration{}} }

func (l *lasting) of(model string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if d, ok := l.model[model]; ok {
		return d
	}
	return lastsFirst
}

// note takes in how long a request took from its last attempt to its end.
func (l *lasting) note(model string, took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d, ok := l.model[model]
	if !ok {
		d = lastsFirst
	}
	l.model[model] = d + time.Duration(lastsNewest*float64(took-d))
}
