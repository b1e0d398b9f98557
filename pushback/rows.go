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
	// Backoff is for how long yet it gets no request from this box, RestsSince for how long it has had none, and Request the
	// one whose answer asked for it.
	Backoff        time.Duration `json:"rests_ns,omitempty"`
	BackoffElapsed time.Duration `json:"rests_since_ns,omitempty"`
	Request        string        `json:"request,omitempty"`
	// Draining tells that it is about to end, DrainsSince how long ago it said so first.
	Draining        bool          `json:"drains,omitempty"`
	DrainingElapsed time.Duration `json:"drains_since_ns,omitempty"`
}

// Lines says it for people.
func (r ServerStatus) Lines() (lines []string) {
	if r.Backoff > 0 {
		lines = append(lines, fmt.Sprintf("asked this box for rest %v ago, in its answer to request %s: it gets none for %v yet",
			r.BackoffElapsed.Round(time.Millisecond), r.Request, r.Backoff.Round(time.Millisecond)))
	}
	if r.Draining {
		lines = append(lines, fmt.Sprintf("said %v ago that it drains", r.DrainingElapsed.Round(time.Millisecond)))
	}
	return lines
}

// Statuses returns the servers that rest or drain, in order.
func (r *Registry) Statuses() (rows []ServerStatus) {
	if r == nil {
		return nil
	}
	const mostUrgent = 0
	now := r.opts.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for server, rec := range r.records {
		row := ServerStatus{Server: server}
		if after, closed := rec.opens(mostUrgent, now); closed {
			row.Backoff, row.BackoffElapsed, row.Request = after, now-rec.restsSince, rec.request
		}
		if rec.drains && (rec.drainsUntil == 0 || now < rec.drainsUntil) {
			row.Draining, row.DrainingElapsed = true, now-rec.drainsSince
		}
		if row.Backoff > 0 || row.Draining {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b ServerStatus) int { return strings.Compare(a.Server, b.Server) })
	return rows
}

// LongBackoffs returns for how long yet servers rest whose rests last for LongRest in all.
func (r *Registry) LongBackoffs() map[string]time.Duration {
	if !r.some.Load() {
		return nil
	}
	now := r.opts.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	rests := map[string]time.Duration{}
	for server, rec := range r.records {
		if rec.rests && now < rec.restsUntil && rec.restsUntil-rec.restsSince >= LongBackoff {
			rests[server] = rec.restsUntil - now
		}
	}
	return rests
}
