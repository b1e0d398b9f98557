package box

import (
	"sync"
	"time"
)

// logInterval is the minimum time between two log lines of one kind that remote clients cause.
const logInterval = time.Minute

// logLimiter limits log lines of each kind to one per logInterval. The set of kinds is small and
// fixed, so the map stays small.
type logLimiter struct {
	mu   sync.Mutex
	last map[string]time.Time // kind -> time of its last line
}

// allow reports whether a line of a kind may be logged now.
func (p *logLimiter) allow(kind string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if at, ok := p.last[kind]; ok && now.Sub(at) < logInterval {
		return false
	}
	if p.last == nil {
		p.last = map[string]time.Time{}
	}
	p.last[kind] = now
	return true
}
