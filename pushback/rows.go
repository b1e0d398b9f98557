package pushback

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// Row is what this box knows of one server, for operators.
type Row struct {
	Server string `json:"server"`
	// Rests is for how long yet it gets no request from this box, RestsSince for how long it has had none, and Request the
	// one whose answer asked for it.
	Rests      time.Duration `json:"rests_ns,omitempty"`
	RestsSince time.Duration `json:"rests_since_ns,omitempty"`
	Request    string        `json:"request,omitempty"`
	// Drains tells that it is about to end, DrainsSince how long ago it said so first.
	Drains      bool          `json:"drains,omitempty"`
	DrainsSince time.Duration `json:"drains_since_ns,omitempty"`
}

// Lines says it for people.
func (r Row) Lines() (lines []string) {
	if r.Rests > 0 {
		lines = append(lines, fmt.Sprintf("asked this box for rest %v ago, in its answer to request %s: it gets none for %v yet",
			r.RestsSince.Round(time.Millisecond), r.Request, r.Rests.Round(time.Millisecond)))
	}
	if r.Drains {
		lines = append(lines, fmt.Sprintf("said %v ago that it drains", r.DrainsSince.Round(time.Millisecond)))
	}
	return lines
}

// Rows returns the servers that rest or drain, in order.
func (r *Registry) Rows() (rows []Row) {
	if r == nil {
		return nil
	}
	const mostUrgent = 0
	now := r.opts.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	for server, rec := range r.records {
		row := Row{Server: server}
		if after, closed := rec.opens(mostUrgent, now); closed {
			row.Rests, row.RestsSince, row.Request = after, now-rec.restsSince, rec.request
		}
		if rec.drains && (rec.drainsUntil == 0 || now < rec.drainsUntil) {
			row.Drains, row.DrainsSince = true, now-rec.drainsSince
		}
		if row.Rests > 0 || row.Drains {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Server, b.Server) })
	return rows
}

// LongRests returns for how long yet servers rest whose rests last for LongRest in all.
func (r *Registry) LongRests() map[string]time.Duration {
	if !r.some.Load() {
		return nil
	}
	now := r.opts.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	rests := map[string]time.Duration{}
	for server, rec := range r.records {
		if rec.rests && now < rec.restsUntil && rec.restsUntil-rec.restsSince >= LongRest {
			rests[server] = rec.restsUntil - now
		}
	}
	return rests
}
