package box

import (
	"context"
	"time"

	"leverdrum/internal/clock"
	"leverdrum/internal/wait"
	"leverdrum/level"
	"leverdrum/meter"
	"leverdrum/origin"
	"leverdrum/state"
	"leverdrum/wire"
)

const (
	// originTopologyInterval is the minimum time between two updates of what the registry of origins takes from the state.
	originTopologyInterval = 500 * time.Millisecond
	// handOverTimeout bounds how long a box that stops hands over records of streams.
	handOverTimeout = time.Second
)

// newOrigins returns the registry of the software versions at which streams began.
func (b *Box) newOrigins() *origin.Registry {
	return origin.New(origin.Options{
		Self: b.settings.Box, Now: clock.New().Now,
		Call: func(ctx context.Context, box string, c *wire.OriginCall) (*wire.OriginAnswer, error) {
			r, err := b.pool.Call(ctx, box, &wire.Request{Kind: &wire.Request_Origin{Origin: c}})
			if err != nil {
				return nil, err
			}
			return r.GetOrigin(), nil
		},
		Lost: func(records int) { b.meters.Count(meter.OriginsLost).Add(float64(records)) },
	})
}

// configureOrigins keeps the registry up to date with the state.
func (b *Box) configureOrigins(ctx context.Context, p *components) {
	for ctx.Err() == nil {
		changed := p.replica.Changed()
		view := p.replica.View()
		p.origins.Configure(originTopology(view))
		if len(view.Members) > 0 {
			wait.For(ctx, originTopologyInterval)
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// originTopology returns what the registry takes from a state.
func originTopology(view *state.State) origin.Topology {
	t := origin.Topology{Enabled: view.Level >= level.StreamOrigins, Unused: view.Fleet == nil, Versions: map[string][]string{}}
	for box, m := range view.Members {
		t.Boxes = append(t.Boxes, origin.Box{ID: box, Disk: m.Disk, Leaving: m.Leaving})
	}
	seen := map[origin.Origin]bool{}
	for _, a := range view.Announcements.All() {
		o := origin.Origin{Service: a.Service, Version: a.Version}
		if !seen[o] {
			seen[o] = true
			t.Versions[a.Service] = append(t.Versions[a.Service], a.Version)
		}
	}
	return t
}

// handOverOrigins hands the records that this box keeps to other boxes.
func (b *Box) handOverOrigins() {
	p := b.components.Load()
	if p == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
	defer cancel()
	p.origins.HandOver(ctx)
}
