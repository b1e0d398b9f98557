package gateway

import (
	"math"
	"slices"
	"sync"
	"time"

	"leverdrum/dialect"
	"leverdrum/fleet"
	"leverdrum/wire"
)

const (
	// newSpan and oldSpan are the times over which demand is averaged; trendShare is
	// how much of the newer average's lead over the older one is added to it, since
	// a load takes seconds.
	newSpan    = time.Second
	oldSpan    = 3 * time.Second
	trendShare = 1.0
	// minDemand is the rate, in requests a second, below which nothing is told.
	minDemand = 0.02
	// noticeEvery is the least time between two notices of the same thing.
	noticeEvery = 300 * time.Millisecond
	// maxNotices bounds the notices that are remembered.
	maxNotices = 4096
)

// demand keeps fading rates of what is asked for, by model and by adapter.
type demand struct {
	mu   sync.Mutex
	rows map[string]*row
}

// row is in events a second, weighted towards the newest.
type row struct {
	requests, reading trend
	at                time.Time
}

// trend is an average over a short and one over a longer time.
type trend struct{ recent, older float64 }

func (t *trend) fade(past time.Duration) {
	t.recent *= math.Exp(-float64(past) / float64(newSpan))
	t.older *= math.Exp(-float64(past) / float64(oldSpan))
}

func (t *trend) add(v float64) {
	t.recent += v / newSpan.Seconds()
	t.older += v / oldSpan.Seconds()
}

// ahead is the average that is to come if the trend lasts, not below the older.
func (t *trend) ahead() float64 { return t.older + trendShare*(t.recent-t.older) }

func newDemand() *demand { return &demand{rows: map[string]*row{}} }

func (r *row) fade(now time.Time) {
	past := now.Sub(r.at)
	r.requests.fade(past)
	r.reading.fade(past)
	r.at = now
}

// note counts a request whose prompt takes a time to read.
func (d *demand) note(p dialect.Prompt, busy time.Duration) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.add(p.Model, now, busy)
	if p.Adapter != "" {
		d.add(fleet.AdapterName(p.Model, p.Adapter), now, busy)
	}
}

func (d *demand) add(name string, now time.Time, busy time.Duration) {
	r := d.rows[name]
	if r == nil {
		r = &row{at: now}
		d.rows[name] = r
	}
	r.fade(now)
	r.requests.add(1)
	r.reading.add(busy.Seconds())
}

// list returns the rates. lasts tells how long a request of a model holds its place.
func (d *demand) list(lasts func(model string) time.Duration) []*wire.Demand {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*wire.Demand
	for name, r := range d.rows {
		if r.fade(now); r.requests.older < minDemand {
			delete(d.rows, name)
			continue
		}
		model, _ := fleet.SplitAdapter(name)
		requests := 1000 * r.requests.ahead()
		list = append(list, &wire.Demand{
			Model: name, MilliRequests: uint32(requests), MilliPlaces: uint32(requests * lasts(model).Seconds()), MilliReading: uint32(1000 * r.reading.ahead()),
		})
	}
	slices.SortFunc(list, func(a, b *wire.Demand) int {
		if a.Model < b.Model {
			return -1
		}
		return 1
	})
	return list
}

// Demand returns what this box was asked for lately.
func (g *Gateway) Demand() []*wire.Demand { return g.demand.list(g.lasting.of) }

// Notice is what the leader is told of at once.
type Notice struct {
	AwaitedItem       string // a model or adapter that requests wait for, or
	RefusingServer    string // a server that refuses connections, or
	UnreachableServer string // one that does not answer when a connection is opened, or
	LimitedServer     string // a server that named another limit than is agreed
	Limit             dialect.Limit
	BackoffServer     string // a server that asks for a long rest
	Backoff           time.Duration
}

// notices tells the leader, of each thing not too often.
type notices struct {
	tell func(Notice)

	mu   sync.Mutex
	told map[Notice]time.Time
}

func newNotices(tell func(Notice)) *notices {
	return &notices{tell: tell, told: map[Notice]time.Time{}}
}

func (w *notices) note(n Notice) {
	now := time.Now()
	w.mu.Lock()
	due := now.Sub(w.told[n]) >= noticeEvery
	if due {
		if len(w.told) >= maxNotices {
			clear(w.told)
		}
		w.told[n] = now
	}
	w.mu.Unlock()
	if due && w.tell != nil {
		w.tell(n)
	}
}
