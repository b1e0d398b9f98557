package box

import (
	"sync"
	"time"
)

// lineEvery is the least time between two log lines of one kind that others than this box cause.
const lineEvery = time.Minute

// pace keeps lines of each kind to one in lineEvery. Kinds are few: they come from tables.
type pace struct {
	mu   sync.Mutex
	last map[string]time.Time
}

// due reports whether a line of a kind may be written now.
func (p *pace) due(kind string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at, ok := p.last[kind]; ok && now.Sub(at) < lineEvery {
		return false
	}
	if p.last == nil {
		p.last = map[string]time.Time{}
	}
	p.last[kind] = now
	return true
}
