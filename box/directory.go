package box

import (
	"context"
	"time"

	"go.uber.org/zap"

	"leverdrum/event"
	"leverdrum/internal/wait"
	"leverdrum/meter"
	"leverdrum/platform"
	"leverdrum/state"
)

const (
	// routeUpdateRatio is the delay between two route updates as a multiple of the
	// time that the last one took: with a hundred boxes the replicated state changes
	// dozens of times a second, and each update costs as much as hundreds of requests.
	routeUpdateRatio = 30
	// maxRouteUpdateDelay bounds that delay, and so the additional age of routes.
	maxRouteUpdateDelay = 60 * time.Millisecond
)

// updateDirectory updates the routes whenever the replicated state changes.
func (b *Box) updateDirectory(ctx context.Context, p *components) {
	var file uint64 // log index of the fleet file in force
	for {
		changed := p.replica.Changed()
		view := p.replica.View()
		began := time.Now()
		p.directory.Update(view)
		p.entry.Refresh()
		p.gateway.Refresh()
		if p.spread.Current() && p.replica.View() == view {
			b.routesInitialized.Store(true)
		}
		if index := view.Version.GetIndex(); index > file {
			file = index
			b.logFileInForce(view, began)
		}
		b.meters.Gauge(meter.StateIndex).Set(float64(view.Index))
		b.meters.Gauge(meter.ActiveLevel).Set(float64(view.Level))
		b.meters.Gauge(meter.FleetNumber).Set(float64(view.Version.GetNumber()))
		b.meters.Gauge(meter.ServerLimits).Set(float64(len(view.Limits)))
		b.meters.Gauge(meter.CrashersBlocked).Set(float64(view.Crashers.BlockedCount()))
		wait.For(ctx, min(maxRouteUpdateDelay, routeUpdateRatio*time.Since(began)))
		select {
		case <-changed:
		case <-b.routeRetryTick():
		case <-ctx.Done():
			return
		}
	}
}

// logFileInForce logs that the routes use the fleet file of a view, which was first seen at the given
// time.
func (b *Box) logFileInForce(view *state.State, seen time.Time) {
	event.FleetFileApplied.Log(b.log, zap.Uint64("number", view.Version.GetNumber()), zap.Uint64("index", view.Version.GetIndex()),
		zap.Time("agreed", time.UnixMilli(view.Version.GetUnixMs()).UTC()), zap.Duration("held", time.Since(seen)), zap.Int("bytes", len(view.Text)))
}

// routeRetryTick returns a channel that fires after 20 ms until the routes are initialized,
// and nil after that.
func (b *Box) routeRetryTick() <-chan time.Time {
	if b.routesInitialized.Load() {
		return nil
	}
	return time.After(20 * time.Millisecond)
}

// pollPlatform polls the platform's machine list for draining machines.
func (b *Box) pollPlatform(ctx context.Context, p *components) {
	if b.settings.PlatformAddress == "" {
		return
	}
	var list platform.MachineList = platform.MachineClient{Address: b.settings.PlatformAddress}
	ticker := time.NewTicker(b.settings.PlatformInterval)
	defer ticker.Stop()
	for {
		b.pollMachines(ctx, p, list)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (b *Box) pollMachines(ctx context.Context, p *components, list platform.MachineList) {
	ctx, cancel := context.WithTimeout(ctx, b.settings.PlatformInterval)
	defer cancel()
	machines, err := list.Machines(ctx)
	if err != nil {
		return // keep the last reported state
	}
	terminated := map[string]bool{}
	for _, m := range machines {
		if m.Draining {
			terminated[m.Name] = true
		}
	}
	if p.directory.SetTerminatedServers(terminated) {
		p.directory.Update(p.replica.View())
	}
}
