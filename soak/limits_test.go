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

// Servers name limits beside all other faults, up, down and away. What each got is judged by what it saw itself.
const (
	// limitWindow is the span over which a limit is judged, limitOver the share of it that may arrive there and limitSlack
	// the requests besides.
	limitWindow = 4 * time.Second
	limitOver   = 1.5
	limitSlack  = 5
	// limitContact is the time from a server's first naming of a limit until all boxes hold to it: half of what the users
	// allow, so that more of a short run is judged. limitTold is the time after which a box holds to an answer that it
	// passed on itself.
	limitContact = 2 * time.Second
	limitTold    = 500 * time.Millisecond
)

// limits are what servers name, and which boxes are excused from them when.
type limits struct {
	mu      sync.Mutex
	random  *rand.Rand
	named   map[string]string // by server
	ended   bool              // no further server names one
	excused []excuse
}

// excuse is a time in which a box was disturbed. process tells that its process was, and not only its links to others.
type excuse struct {
	box      string
	from, to time.Time
	process  bool
}

// newLimits draws from a source of its own, so that a seed's series of faults stays what it was.
func newLimits(seed uint64) *limits {
	return &limits{random: rand.New(rand.NewPCG(seed, 11)), named: map[string]string{}}
}

func (l *limits) draw(n int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.random.IntN(n)
}

// begin has a server that starts name something.
func (l *limits) begin(server string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ended {
		l.named[server] = values[l.random.IntN(len(values))]
	}
}

func (l *limits) of(server string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.named[server]
}

func (l *limits) name(server, limit string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.named[server] = limit
}

// excuse notes that boxes were disturbed from a time until now.
func (l *limits) excuse(from time.Time, process bool, list ...*daemon) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range list {
		l.excused = append(l.excused, excuse{d.ip, from, time.Now(), process})
	}
}

// holds reports whether a box was disturbed in a span or shortly before.
func (l *limits) holds(box string, from, to time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !slices.ContainsFunc(l.excused, func(e excuse) bool {
		return e.box == box && e.from.Before(to) && e.to.After(from.Add(-limitContact))
	})
}

// undisturbed reports whether a box's process was left alone in a span.
func (l *limits) undisturbed(box string, from, to time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !slices.ContainsFunc(l.excused, func(e excuse) bool { return e.process && e.box == box && e.from.Before(to) && e.to.After(from) })
}

// values are what servers name: limits, none, and what cannot be read.
var values = []string{"0.4", "1.1", "3", "8", "20", "", "", "", "NaN", "-1"}

// run has one server after another name something else, and all of them nothing in the end.
func (l *limits) run(ctx context.Context, w *world) {
	for wait.For(ctx, time.Duration(1500+l.draw(4500))*time.Millisecond) {
		place, value := l.draw(servers), values[l.draw(len(values))]
		if s := w.liveServer(place); s != nil {
			w.t.Logf("%s %s names the limit %q", time.Now().Format("05.000"), s.ID, value)
			l.name(s.ID, value)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	clear(l.named)
	l.ended = true
}

// checkLimits judges each server by what it saw.
func (w *world) checkLimits() {
	w.mu.Lock()
	servers := w.servers
	w.mu.Unlock()
	judged := 0
	for _, s := range servers {
		judged += w.checkLimit(s)
	}
	w.t.Logf("seed %d: %d windows of servers with a limit judged", w.seed, judged)
}

// checkLimit returns how many windows it judged.
func (w *world) checkLimit(s *standin.Server) (judged int) {
	arrived := s.Arrivals()
	for i, last := range arrived {
		from := last.ReceivedAt.Add(-limitWindow)
		limit, since := limitIn(arrived[:i+1], from)
		if limit == 0 || from.Before(since.Add(limitContact)) {
			continue
		}
		judged++
		count := 0
		for _, a := range arrived[:i+1] {
			if a.ReceivedAt.After(from) && w.limits.holds(a.Via, from, last.ReceivedAt) && toldBefore(arrived, a.Via, from.Add(-limitTold)) {
				count++
			}
		}
		if allowed := limitOver*limitWindow.Seconds()*limit + limitSlack; float64(count) > allowed {
			w.find("server %s, limit %v, got %d requests in %v, allowed %.1f", s.ID, limit, count, limitWindow, allowed)
			return judged
		}
	}
	return judged
}

// limitIn returns the highest limit that was named in the window from a time on, and since when some limit was named; 0 where
// it was not named all along.
func limitIn(arrived []standin.Arrival, from time.Time) (highest float64, since time.Time) {
	for _, a := range arrived {
		switch {
		case a.Limit == 0:
			highest, since = 0, time.Time{}
		case since.IsZero():
			highest, since = a.Limit, a.ReceivedAt
		case a.ReceivedAt.Before(from.Add(-limitContact)):
			highest = a.Limit
		default:
			highest = max(highest, a.Limit)
		}
	}
	return highest, since
}

// toldBefore reports whether a box had passed an answer with a limit on before a time.
func toldBefore(arrived []standin.Arrival, box string, before time.Time) bool {
	return slices.ContainsFunc(arrived, func(a standin.Arrival) bool {
		return a.Via == box && a.Limit > 0 && a.ReceivedAt.Before(before)
	})
}
