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
	// routesShare is how many times as long as it took the box waits before it
	// makes its routes again: at a hundred boxes the agreed state changes dozens of
	// times a second, and each change costs as much as hundreds of requests.
	routesShare = 30
	// routesMost bounds that wait; routes are so much older at most.
	routesMost = 60 * time.Millisecond
)

// keepDirectory makes the routes follow the agreed state.
func (b *Box) keepDirectory(ctx context.Context, p *parts) {
	var file uint64 // index of the one in force
	for {
		changed := p.replica.Changed()
		view := p.replica.View()
		began := time.Now()
		p.directory.Update(view)
		p.entry.Refresh()
		p.gateway.Refresh()
		if p.spread.Current() && p.replica.View() == view {
			b.warm.Store(true)
		}
		if index := view.Version.GetIndex(); index > file {
			file = index
			b.logFile(view, began)
		}
		b.meters.Gauge(meter.StateIndex).Set(float64(view.Index))
		b.meters.Gauge(meter.ActiveLevel).Set(float64(view.Level))
		b.meters.Gauge(meter.FleetNumber).Set(float64(view.Version.GetNumber()))
		b.meters.Gauge(meter.ServerLimits).Set(float64(len(view.Limits)))
		b.meters.Gauge(meter.CrashersBlocked).Set(float64(view.Crashers.BlockedCount()))
		wait.For(ctx, min(routesMost, routesShare*time.Since(began)))
		select {
		case <-changed:
		case <-b.untilWarm():
		case <-ctx.Done():
			return
		}
	}
}

// logFile says that the routes follow a view with another fleet file, seen at a time.
func (b *Box) logFile(view *state.State, seen time.Time) {
	event.FleetFileApplied.Log(b.log, zap.Uint64("number", view.Version.GetNumber()), zap.Uint64("index", view.Version.GetIndex()),
		zap.Time("agreed", time.UnixMilli(view.Version.GetUnixMs()).UTC()), zap.Duration("held", time.Since(seen)), zap.Int("bytes", len(view.Text)))
}

// untilWarm ticks soon while the routes may not hold what is in force, and never
// after that.
func (b *Box) untilWarm() <-chan time.Time {
	if b.warm.Load() {
		return nil
	}
	return time.After(20 * time.Millisecond)
}

// readPlatform takes over the platform's word on who leaves.
func (b *Box) readPlatform(ctx context.Context, p *parts) {
	if b.settings.PlatformAddress == "" {
		return
	}
	var list platform.MachineList = platform.MachineClient{Address: b.settings.PlatformAddress}
	ticker := time.NewTicker(b.settings.PlatformInterval)
	defer ticker.Stop()
	for {
		b.readMachines(ctx, p, list)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

func (b *Box) readMachines(ctx context.Context, p *parts, list platform.MachineList) {
	ctx, cancel := context.WithTimeout(ctx, b.settings.PlatformInterval)
	defer cancel()
	machines, err := list.Machines(ctx)
	if err != nil {
		return // the last word stands
	}
	gone := map[string]bool{}
	for _, m := range machines {
		if m.Draining {
			gone[m.Name] = true
		}
	}
	if p.directory.SetTerminatedServers(gone) {
		p.directory.Update(p.replica.View())
	}
}
