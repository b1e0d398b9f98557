package pushback

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// ServerStatus is what this box knows of one server, for operators.
type ServerStatus struct {
	Server string `json:"server"`
	// Backoff is how long the server will get no request from this box, BackoffElapsed for how long it has got none,
	// and Request the one whose response asked for the backoff.
	Backoff        time.Duration `json:"rests_ns,omitempty"`
	BackoffElapsed time.Duration `json:"rests_since_ns,omitempty"`
	Request        string        `json:"request,omitempty"`
	// Draining means that the server is about to stop, DrainingElapsed is how long ago it first reported that.
	Draining        bool          `json:"drains,omitempty"`
	DrainingElapsed time.Duration `json:"drains_since_ns,omitempty"`
}

// Lines returns a description for operators.
func (r ServerStatus) Lines() (lines []string) {
	if r.Backoff > 0 {
		lines = append(lines, fmt.Sprintf("asked this box to back off %v ago, in its response to request %s; gets no requests from it for another %v",
			r.BackoffElapsed.Round(time.Millisecond), r.Request, r.Backoff.Round(time.Millisecond)))
	}
	if r.Draining {
		lines = append(lines, fmt.Sprintf("reported %v ago that it is draining", r.DrainingElapsed.Round(time.Millisecond)))
	}
	return lines
}

// Statuses returns the servers that are in backoff or draining, sorted by name.
func (r *Registry) Statuses() (statuses []ServerStatus) {
	if r == nil {
		return nil
	}
	const mostUrgent = 0
	now := r.opts.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for server, rec := range r.records {
		status := ServerStatus{Server: server}
		if after, blocked := rec.blockedFor(mostUrgent, now); blocked {
			status.Backoff, status.BackoffElapsed, status.Request = after, now-rec.backoffSince, rec.request
		}
		if rec.draining && (rec.drainingUntil == 0 || now < rec.drainingUntil) {
			status.Draining, status.DrainingElapsed = true, now-rec.drainingSince
		}
		if status.Backoff > 0 || status.Draining {
			statuses = append(statuses, status)
		}
	}
	slices.SortFunc(statuses, func(a, b ServerStatus) int { return strings.Compare(a.Server, b.Server) })
	return statuses
}

// LongBackoffs returns the remaining backoff of servers whose total backoff is at least LongBackoff.
func (r *Registry) LongBackoffs() map[string]time.Duration {
	if !r.nonEmpty.Load() {
		return nil
	}
	now := r.opts.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	remaining := map[string]time.Duration{}
	for server, rec := range r.records {
		if rec.inBackoff && now < rec.backoffUntil && rec.backoffUntil-rec.backoffSince >= LongBackoff {
			remaining[server] = rec.backoffUntil - now
		}
	}
	return remaining
}
