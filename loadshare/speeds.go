package loadshare

import (
	"math"
	"time"

	"leverdrum/speed"
	"leverdrum/wire"
)

const (
	// speedInterval is the time between two comparisons of all estimates with what was published. A change by
	// smallSpeedChange is published then, one by largeSpeedChange at once.
	speedInterval    = time.Second
	smallSpeedChange = 0.03
	largeSpeedChange = 0.2
	// maxSpeedsInFrame bounds the speeds in one frame, at most 14 B each.
	maxSpeedsInFrame = 16
)

// speedTable is a hub's estimates, and what of them was published.
type speedTable struct {
	estimator  *speed.Estimator
	outcomes   *outcomeTable
	told       map[uint32]serverSpeed
	published  *feed
	sampled    map[uint32]struct{} // servers with samples since the last step
	comparedAt time.Duration
}

func newSpeedTable(e *speed.Estimator) *speedTable {
	return &speedTable{estimator: e, outcomes: newOutcomeTable(), told: map[uint32]serverSpeed{}, published: newFeed(), sampled: map[uint32]struct{}{}}
}

func (t *speedTable) add(now time.Duration, x *wire.SpeedSample) {
	t.estimator.Add(now, x.Server, x.Model, time.Duration(x.GapUs)*time.Microsecond, x.Stalled)
	t.sampled[x.Server] = struct{}{}
}

// publish publishes the estimates that have changed enough.
func (t *speedTable) publish(now time.Duration) {
	for server := range t.sampled {
		t.compare(now, server, largeSpeedChange)
	}
	clear(t.sampled)
	for server := range t.outcomes.failed {
		t.compare(now, server, largeSpeedChange)
	}
	if now-t.comparedAt < speedInterval {
		return
	}
	t.comparedAt = now
	for _, server := range t.estimator.Servers() {
		t.compare(now, server, smallSpeedChange)
	}
	for server := range t.outcomes.failed {
		t.compare(now, server, smallSpeedChange)
		if t.told[server].failingShare == 0 && t.outcomes.published(now, server) == 0 {
			delete(t.outcomes.failed, server)
		}
	}
}

func (t *speedTable) compare(now time.Duration, server uint32, change float64) {
	next := serverSpeed{t.estimator.Slowness(server), t.estimator.StalledShare(now, server), t.outcomes.published(now, server)}
	old, known := t.told[server]
	if !known {
		old.slowness = 1
	}
	judged := (next.failingShare >= FailingFrom) != (old.failingShare >= FailingFrom)
	cleared := change == smallSpeedChange && next.failingShare == 0 && old.failingShare > 0
	if math.Abs(next.slowness/old.slowness-1) < change && math.Abs(next.stalledShare-old.stalledShare) < change &&
		math.Abs(next.failingShare-old.failingShare) < change && !judged && !cleared {
		return
	}
	t.told[server] = next
	t.published.publish(server)
}

// after returns the speeds published after a number.
func (t *speedTable) after(number uint64) ([]*wire.ServerSpeed, uint64) {
	keys, number := t.published.after(number, nil, maxSpeedsInFrame)
	var out []*wire.ServerSpeed
	for _, server := range keys {
		v := t.told[server]
		out = append(out, &wire.ServerSpeed{
			Server: server, SlownessPermille: uint32(max(1, math.Round(v.slowness*perMille))), StalledPermille: uint32(math.Round(v.stalledShare * perMille)),
			FailingPermille: uint32(math.Round(v.failingShare * perMille)),
		})
	}
	return out, number
}

// forget drops the servers that are not in the catalog.
func (t *speedTable) forget(c *catalog) {
	t.outcomes.forget(c)
	for _, server := range t.estimator.Servers() {
		if !c.has(server) {
			t.estimator.Forget(server)
		}
	}
	for server := range t.told {
		if !c.has(server) {
			delete(t.told, server)
			t.published.remove(server)
		}
	}
}
