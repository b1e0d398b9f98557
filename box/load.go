package box

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"leverdrum/admin"
	"leverdrum/event"
	"leverdrum/gateway"
	"leverdrum/internal/wait"
	"leverdrum/level"
	"leverdrum/loadshare"
	"leverdrum/meter"
	"leverdrum/peer"
	"leverdrum/state"
	"leverdrum/wire"
)

const (
	// minLoadBoxes is the number of listed boxes from which load is shared. With fewer, a box's own figures are enough.
	minLoadBoxes = 32
	// loadTopologyInterval is the minimum time between two updates of what the exchange takes from the state.
	loadTopologyInterval = 200 * time.Millisecond
)

// newSharer returns this box's part of the load exchange, or nil if its settings do not share load.
func (b *Box) newSharer(self *wire.Member) *loadshare.Sharer {
	if !b.settings.SharesLoad {
		return nil
	}
	// The time since the start of the process needs no system call: Others reads it for each server of each request.
	began := time.Now()
	attached := "" // called by one goroutine at a time
	return loadshare.New(loadshare.Options{
		Self: state.MemberID(self), Hall: self.Hall, Now: func() time.Duration { return time.Since(began) },
		Open: func(ctx context.Context, member string, kind wire.LoadStream_Kind) (loadshare.Stream, error) {
			s, err := b.pool.OpenLoad(ctx, wire.BoxOf(member), kind)
			if err != nil {
				return nil, err
			}
			return s, nil
		},
		Ignored: func(why string) {
			b.meters.Count(meter.LoadIgnored, why).Inc()
			if b.loadLog.allow(why, time.Now()) {
				event.LoadIgnored.Log(b.log, zap.String("why", why))
			}
		},
		Attached: func(hub string) {
			if hub == attached {
				return
			}
			attached = hub
			b.meters.Count(meter.LoadHubs).Inc()
			event.LoadHub.Log(b.log, zap.String("hub", hub))
		},
		Speeds:        loadshare.NewSlowServers(b.meters, b.log),
		KnownPrefixes: func(count int) { b.meters.Gauge(meter.LoadPrefixes).Set(float64(count)) },
	})
}

// loadSource returns the Sharer for the gateway: a nil interface if there is none.
func (p *components) loadSource() gateway.LoadSource {
	if p.sharer == nil {
		return nil
	}
	return p.sharer
}

// adminLoadSource returns the Sharer for the admin interface: a nil interface while no pool's load is shared.
func (p *components) adminLoadSource() admin.LoadSource {
	if p.sharer == nil || !p.sharer.Sharing() {
		return nil
	}
	return p.sharer
}

// ServeLoad implements peer.LoadHandler.
func (b *Box) ServeLoad(ctx context.Context, from *wire.Member, kind wire.LoadStream_Kind, s *peer.LoadStream) {
	p := b.components.Load()
	if p == nil || p.sharer == nil {
		_ = s.Close() // the other box tries another one
		return
	}
	p.sharer.Serve(ctx, state.MemberID(from), kind, s)
}

// shareLoad runs the load exchange.
func (b *Box) shareLoad(ctx context.Context, p *components) {
	if p.sharer == nil {
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	wg.Go(func() { p.sharer.Run(ctx) })
	for ctx.Err() == nil {
		changed := p.replica.Changed()
		p.sharer.Configure(loadTopology(p.replica.View()))
		wait.For(ctx, loadTopologyInterval)
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

// sharedPools returns the pools whose load is shared by a state.
func sharedPools(view *state.State) map[string]bool {
	if view.Fleet == nil || view.Level < level.SharedLoad || len(view.Members) < minLoadBoxes {
		return nil
	}
	return view.Fleet.SharedLoad()
}

// sharesLoad reports whether the load of a pool is shared by this box's settings and state.
func (p *components) sharesLoad(pool string) bool {
	return p.sharer != nil && sharedPools(p.replica.View())[pool]
}

// loadTopology returns what the load exchange takes from a state. It has no pools where load is not shared.
func loadTopology(view *state.State) loadshare.Topology {
	t := loadshare.Topology{Pools: sharedPools(view)}
	if len(t.Pools) == 0 {
		return t
	}
	for _, m := range view.Members {
		t.Members = append(t.Members, loadshare.Member{ID: state.MemberID(m), Hall: m.Hall, Disk: m.Disk, Leaving: m.Leaving})
	}
	for id, a := range view.Announcements.All() {
		if t.Pools[a.Service] {
			t.Servers = append(t.Servers, id)
		}
	}
	for name := range view.Fleet.Servers {
		t.Servers = append(t.Servers, name)
	}
	for _, s := range view.Fleet.Services {
		if !s.SharesLoad {
			continue
		}
		for _, i := range s.Instances {
			t.Servers = append(t.Servers, i.Name)
		}
	}
	if view.Fleet.Workspaces != nil {
		for _, w := range view.Fleet.Workspaces.All() {
			t.Workspaces = append(t.Workspaces, w.Name)
		}
	}
	return t
}
