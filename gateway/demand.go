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
	// recentSpan and olderSpan are the time constants of the two averages of demand. trendShare is
	// the share of the difference (recent - older) that is added to the older average, to project
	// demand ahead: a load takes seconds.
	recentSpan = time.Second
	olderSpan  = 3 * time.Second
	trendShare = 1.0
	// minDemand is the rate in requests a second below which no demand is reported.
	minDemand = 0.02
	// noticeInterval is the minimum time between two identical notices.
	noticeInterval = 300 * time.Millisecond
	// maxNotices bounds the number of notices remembered.
	maxNotices = 4096
)

// demand keeps decaying averages of the request rate, by model and by adapter.
type demand struct {
	mu    sync.Mutex
	rates map[string]*demandRate
}

// demandRate holds rates a second, weighted towards the most recent events.
type demandRate struct {
	requests, prefill trend
	at                time.Time
}

// trend holds an average over a short time and one over a longer time.
type trend struct{ recent, older float64 }

func (t *trend) fade(elapsed time.Duration) {
	t.recent *= math.Exp(-float64(elapsed) / float64(recentSpan))
	t.older *= math.Exp(-float64(elapsed) / float64(olderSpan))
}

func (t *trend) add(v float64) {
	t.recent += v / recentSpan.Seconds()
	t.older += v / olderSpan.Seconds()
}

// projected returns the average expected if the trend continues.
func (t *trend) projected() float64 { return t.older + trendShare*(t.recent-t.older) }

func newDemand() *demand { return &demand{rates: map[string]*demandRate{}} }

func (r *demandRate) fade(now time.Time) {
	elapsed := now.Sub(r.at)
	r.requests.fade(elapsed)
	r.prefill.fade(elapsed)
	r.at = now
}

// record counts a request with the given prefill time.
func (d *demand) record(p dialect.Prompt, prefill time.Duration) {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.add(p.Model, now, prefill)
	if p.Adapter != "" {
		d.add(fleet.AdapterName(p.Model, p.Adapter), now, prefill)
	}
}

func (d *demand) add(name string, now time.Time, prefill time.Duration) {
	r := d.rates[name]
	if r == nil {
		r = &demandRate{at: now}
		d.rates[name] = r
	}
	r.fade(now)
	r.requests.add(1)
	r.prefill.add(prefill.Seconds())
}

// list returns the current rates. slotTime returns how long a request for a model occupies a slot.
func (d *demand) list(slotTime func(model string) time.Duration) []*wire.Demand {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	var list []*wire.Demand
	for name, r := range d.rates {
		if r.fade(now); r.requests.older < minDemand {
			delete(d.rates, name)
			continue
		}
		model, _ := fleet.SplitAdapter(name)
		requests := 1000 * r.requests.projected()
		list = append(list, &wire.Demand{
			Model: name, MilliRequests: uint32(requests), MilliPlaces: uint32(requests * slotTime(model).Seconds()), MilliReading: uint32(1000 * r.prefill.projected()),
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

// Demand returns the recent demand at this box.
func (g *Gateway) Demand() []*wire.Demand { return g.demand.list(g.slotTimes.slotTime) }

// Notice is an event that is reported to the leader at once. One of the server or item fields is
// set.
type Notice struct {
	AwaitedItem       string // a model or adapter that requests wait for
	AwaitedVersion    string // of servers, if streams wait for AwaitedItem at servers of that software version
	CrowdedAdapter    string // an on-demand adapter whose servers would all answer late
	RefusingServer    string // a server that refuses connections
	UnreachableServer string // a server that does not answer when a connection is opened
	LimitedServer     string // a server that reported a limit other than the committed one
	Limit             dialect.Limit
	BackoffServer     string // a server that asked for a long backoff
	Backoff           time.Duration
}

// notices sends notices to the leader and drops repeats within noticeInterval.
type notices struct {
	notify func(Notice)

	mu       sync.Mutex
	lastSent map[Notice]time.Time
}

func newNotices(notify func(Notice)) *notices {
	return &notices{notify: notify, lastSent: map[Notice]time.Time{}}
}

func (w *notices) send(n Notice) {
	now := time.Now()
	w.mu.Lock()
	due := now.Sub(w.lastSent[n]) >= noticeInterval
	if due {
		if len(w.lastSent) >= maxNotices {
			clear(w.lastSent)
		}
		w.lastSent[n] = now
	}
	w.mu.Unlock()
	if due && w.notify != nil {
		w.notify(n)
	}
}
