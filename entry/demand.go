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

// demandWindow is the period over which demand is averaged.
const demandWindow = 5 * time.Second

// demand counts the requests that a box receives per model. A request refused for lack of capacity
// counts with the duration of the model's last served request.
type demand struct {
	mu           sync.Mutex
	windowStart  time.Time
	current      map[string]*modelDemand
	previous     map[string]*modelDemand // the window before current
	lastDuration map[string]time.Duration
}

type modelDemand struct {
	requests int
	work     time.Duration
}

func newDemand() *demand {
	return &demand{windowStart: time.Now(), current: map[string]*modelDemand{}, previous: map[string]*modelDemand{}, lastDuration: map[string]time.Duration{}}
}

// record counts one request and the time that it occupied a slot, 0 if it was refused.
func (d *demand) record(model string, work time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rotate(time.Now())
	c := d.current[model]
	if c == nil {
		c = &modelDemand{}
		d.current[model] = c
	}
	c.requests++
	if work > 0 {
		d.lastDuration[model] = work
	}
	c.work += d.lastDuration[model]
}

func (d *demand) rotate(now time.Time) {
	age := now.Sub(d.windowStart)
	if age < demandWindow {
		return
	}
	d.previous = d.current
	if age > 2*demandWindow {
		d.previous = map[string]*modelDemand{}
	}
	d.current, d.windowStart = map[string]*modelDemand{}, now
}

// list returns the demand of the last complete window.
func (d *demand) list() []*wire.Demand {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.rotate(time.Now())
	var list []*wire.Demand
	for _, model := range slices.Sorted(maps.Keys(d.previous)) {
		c := d.previous[model]
		list = append(list, &wire.Demand{
			Model: model, MilliRequests: uint32(1000 * float64(c.requests) / demandWindow.Seconds()),
			MilliPlaces: uint32(1000 * c.work.Seconds() / demandWindow.Seconds()),
		})
	}
	return list
}

// Demand returns the recent demand at this box by model. Requests for adapters count for their base
// models.
func (e *Entry) Demand() []*wire.Demand { return e.demand.list() }

// modelOf returns the model that a target's demand counts for, "" for services.
func modelOf(view *state.State, t *route.Target) string {
	if t.Service != nil || view.Fleet == nil {
		return ""
	}
	if a := view.Fleet.Adapters[t.Name]; a != nil {
		return a.Model
	}
	return t.Name
}

// recordDemand counts a request for a target's model and the time that it occupied a slot.
func (e *Entry) recordDemand(t *route.Target, work time.Duration) {
	if model := modelOf(e.opts.View(), t); model != "" {
		e.demand.record(model, work)
	}
}
