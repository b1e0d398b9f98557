package soak

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"leverdrum/internal/wait"
	"leverdrum/platform/standin"
)

// In addition to all other faults, servers report limits, which rise, fall and end. Each server's arrivals are checked
// against the limits it reported.
const (
	// limitWindow is the time over which a limit is checked. limitTolerance is the permitted multiple of the limit in it, and
	// limitSlack the number of requests permitted on top.
	limitWindow    = 4 * time.Second
	limitTolerance = 1.5
	limitSlack     = 5
	// limitPropagation is the time from a server's first report of a limit until all boxes apply it: half of what the users
	// permit, so that more of a short run is checked. limitReactionTime is the time after which a box applies a limit that
	// it received itself in a response.
	limitPropagation  = 2 * time.Second
	limitReactionTime = 500 * time.Millisecond
)

// limits holds the limits that servers report and the times at which boxes were disturbed.
type limits struct {
	mu           sync.Mutex
	random       *rand.Rand
	reported     map[string]string // by server ID
	ended        bool              // no more limits are reported
	disturbances []disturbance
}

// disturbance is a time in which a box was disturbed: its process if process is set, otherwise only its links to other
// boxes.
type disturbance struct {
	box      string
	from, to time.Time
	process  bool
}

// newLimits uses a random source of its own, so that the series of faults of existing seeds does not change.
func newLimits(seed uint64) *limits {
	return &limits{random: rand.New(rand.NewPCG(seed, 11)), reported: map[string]string{}}
}

func (l *limits) draw(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.IntN(n)
}

// assignInitial draws the limit that a starting server reports.
func (l *limits) assignInitial(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ended {
		l.reported[server] = limitValues[l.random.IntN(len(limitValues))]
	}
}

func (l *limits) limitOf(server string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.reported[server]
}

func (l *limits) setLimit(server, limit string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reported[server] = limit
}

// recordDisturbance records that boxes were disturbed from a time until now.
func (l *limits) recordDisturbance(from time.Time, process bool, boxes ...*daemon) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range boxes {
		l.disturbances = append(l.disturbances, disturbance{d.ip, from, time.Now(), process})
	}
}

// undisturbed reports whether neither a box's process nor its links were disturbed in a period or within limitPropagation
// before it.
func (l *limits) undisturbed(box string, from, to time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !slices.ContainsFunc(l.disturbances, func(e disturbance) bool {
		return e.box == box && e.from.Before(to) && e.to.After(from.Add(-limitPropagation))
	})
}

// processUndisturbed reports whether a box's process was not disturbed in a period.
func (l *limits) processUndisturbed(box string, from, to time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !slices.ContainsFunc(l.disturbances, func(e disturbance) bool { return e.process && e.box == box && e.from.Before(to) && e.to.After(from) })
}

// limitValues are the limits that servers report: valid ones, none ("") and invalid ones.
var limitValues = []string{"0.4", "1.1", "3", "8", "20", "", "", "", "NaN", "-1"}

// run changes the limit of one server after another and removes all limits at the end.
func (l *limits) run(ctx context.Context, h *harness) {
	for wait.For(ctx, time.Duration(1500+l.draw(4500))*time.Millisecond) {
		index, value := l.draw(serverCount), limitValues[l.draw(len(limitValues))]
		if s := h.newestServer(index); s != nil {
			h.t.Logf("%s %s reports the limit %q", time.Now().Format("05.000"), s.ID, value)
			l.setLimit(s.ID, value)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.reported)
	l.ended = true
}

// checkLimits checks the arrivals at each server.
func (h *harness) checkLimits() {
	h.mu.Lock()
	servers := h.servers
	h.mu.Unlock()
	checked := 0
	for _, s := range servers {
		checked += h.checkServerLimit(s)
	}
	h.t.Logf("seed %d: %d windows of servers with a limit checked", h.seed, checked)
}

// checkServerLimit checks the arrivals at one server and returns the number of windows checked.
func (h *harness) checkServerLimit(s *standin.Server) (checked int) {
	arrivals := s.Arrivals()
	for i, last := range arrivals {
		from := last.ReceivedAt.Add(-limitWindow)
		limit, since := highestLimit(arrivals[:i+1], from)
		if limit == 0 || from.Before(since.Add(limitPropagation)) {
			continue
		}
		checked++
		count := 0
		for _, a := range arrivals[:i+1] {
			if a.ReceivedAt.After(from) && h.limits.undisturbed(a.Via, from, last.ReceivedAt) && reportedBefore(arrivals, a.Via, from.Add(-limitReactionTime)) {
				count++
			}
		}
		if allowed := limitTolerance*limitWindow.Seconds()*limit + limitSlack; float64(count) > allowed {
			h.addFailure("server %s with limit %v received %d requests in %v, at most %.1f are permitted", s.ID, limit, count, limitWindow, allowed)
			return checked
		}
	}
	return checked
}

// highestLimit returns the highest limit in effect from a time on, and since when responses have reported a limit without
// interruption. Both are zero if the last response reported none.
func highestLimit(arrivals []standin.Arrival, from time.Time) (highest float64, since time.Time) {
	for _, a := range arrivals {
		switch {
		case a.Limit == 0:
			highest, since = 0, time.Time{}
		case since.IsZero():
			highest, since = a.Limit, a.ReceivedAt
		case a.ReceivedAt.Before(from.Add(-limitPropagation)):
			highest = a.Limit
		default:
			highest = max(highest, a.Limit)
		}
	}
	return highest, since
}

// reportedBefore reports whether a box forwarded a response with a limit before a time.
func reportedBefore(arrivals []standin.Arrival, box string, before time.Time) bool {
	return slices.ContainsFunc(arrivals, func(a standin.Arrival) bool {
		return a.Via == box && a.Limit > 0 && a.ReceivedAt.Before(before)
	})
}
