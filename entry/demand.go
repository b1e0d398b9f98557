package entry

import (
	"maps"
	"slices"
	"sync"
	"time"

	"leverdrum/route"
	"leverdrum/state"
	"leverdrum/wire"
)

// demandWindow is the time over which demand is averaged.
const demandWindow = 5 * time.Second

// demand counts what a box is asked for, by model. A request that was refused
// for lack of room counts with the time that others of its model took.
type demand struct {
	mu     sync.Mutex
	began  time.Time
	now    map[string]*count
	before map[string]*count // of the window before
	took   map[string]time.Duration
}

type count struct {
	requests int
	work     time.Duration
}

func newDemand() *demand {
	return &demand{began: time.Now(), now: map[string]*count{}, before: map[string]*count{}, took: map[string]time.Duration{}}
}

// note counts one request, and the time that it kept a place, 0 when refused.
func (d *demand) note(model string, work time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.turn(time.Now())
	c := d.now[model]
	if c == nil {
		c = &count{}
		d.now[model] = c
	}
	c.requests++
	if work > 0 {
		d.took[model] = work
	}
	c.work += d.took[model]
}

func (d *demand) turn(now time.Time) {
	age := now.Sub(d.began)
	if age < demandWindow {
		return
	}
	d.before = d.now
	if age > 2*demandWindow {
		d.before = map[string]*count{}
	}
	d.now, d.began = map[string]*count{}, now
}

// list returns the demand of the last whole window.
func (d *demand) list() []*wire.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.turn(time.Now())
	var list []*wire.Demand
	for _, model := range slices.Sorted(maps.Keys(d.before)) {
		c := d.before[model]
		list = append(list, &wire.Demand{
			Model: model, MilliRequests: uint32(1000 * float64(c.requests) / demandWindow.Seconds()),
			MilliPlaces: uint32(1000 * c.work.Seconds() / demandWindow.Seconds()),
		})
	}
	return list
}

// Demand returns what this box was asked for lately, by model; adapters count
// for their models.
func (e *Entry) Demand() []*wire.Demand { return e.demand.list() }

// modelOf names the model that a target's demand counts for, "" for services.
func modelOf(view *state.State, t *route.Target) string {
	if t.Service != nil || view.Fleet == nil {
		return ""
	}
	if a := view.Fleet.Adapters[t.Name]; a != nil {
		return a.Model
	}
	return t.Name
}

// noteDemand counts a request of a model.
func (e *Entry) noteDemand(t *route.Target, work time.Duration) {
	if model := modelOf(e.opts.View(), t); model != "" {
		e.demand.note(model, work)
	}
}
