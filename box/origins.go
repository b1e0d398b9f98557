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
	// originConfirmPoll is the time between two looks at whether a leader has confirmed the state.
	originConfirmPoll = 20 * time.Millisecond
	// handOverTimeout bounds how long a box that stops hands over records of streams.
	handOverTimeout = time.Second
)

// newOrigins returns the registry of the software versions at which streams began.
func (b *Box) newOrigins(p *components) *origin.Registry {
	return origin.New(origin.Options{
		Self: b.settings.Box, Now: clock.New().Now, Confirm: p.confirmedTopology, Leader: func() string { return wire.BoxOf(p.spread.Leader()) },
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
		_, confirmed := p.spread.StateAge() // before the view, which is then at least as new
		view := p.replica.View()
		p.origins.Configure(originTopology(view, confirmed))
		if !confirmed {
			wait.For(ctx, originConfirmPoll)
			continue
		}
		wait.For(ctx, originTopologyInterval)
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// confirmedTopology returns a topology from a state that a leader has confirmed after the call (origin.Options.Confirm).
func (p *components) confirmedTopology(ctx context.Context) (origin.Topology, error) {
	began := p.replica.Now()
	for {
		if p.replica.Leads(ctx) == nil {
			return originTopology(p.replica.View(), true), nil
		}
		if age, fresh := p.spread.StateAge(); fresh && p.replica.Now()-age >= began {
			return originTopology(p.replica.View(), true), nil
		}
		wait.For(ctx, originConfirmPoll)
		if ctx.Err() != nil {
			return origin.Topology{}, Error.Wrap(ctx.Err())
		}
	}
}

// originTopology returns what the registry takes from a state. confirmed is set if a leader has confirmed the state since the box
// started.
func originTopology(view *state.State, confirmed bool) origin.Topology {
	t := origin.Topology{
		Enabled: view.Level >= level.StreamOrigins, Confirming: view.Level >= level.ConfirmedVersions, Confirmed: confirmed,
		Complete: view.Versions.Complete, Versions: map[string][]string{}, Departed: map[string][]string{},
	}
	for box, m := range view.Members {
		t.Boxes = append(t.Boxes, origin.Box{ID: box, Disk: m.Disk, Leaving: m.Leaving})
	}
	for v := range view.Announcements.Versions() {
		t.Versions[v.Service] = append(t.Versions[v.Service], v.Version)
	}
	for v := range view.Versions.Departed {
		t.Departed[v.Service] = append(t.Departed[v.Service], v.Version)
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
