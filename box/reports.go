package box

import (
	"context"
	"sync"
	"time"

	"leverdrum/engine"
	"leverdrum/fleet"
)

const (
	// reportInterval is the time between two polls of a model server's state.
	reportInterval = 500 * time.Millisecond
	// reportTimeout bounds one poll.
	reportTimeout = 400 * time.Millisecond
	// maxPolledServers is the number of model servers up to which a box polls all of
	// them. With more, it polls those of its own data hall, and learns of the others
	// only from the replicated state.
	maxPolledServers = 64
)

// pollReports records the load and the draining state that model servers report,
// whether or not a controller leads.
func (b *Box) pollReports(ctx context.Context, p *components) {
	client := engine.NewClient(func() bool { return false }, p.pushback)
	client.Memory = p.responses
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		if f := p.replica.View().Fleet; f != nil && hasPolledServers(f) {
			b.pollServers(ctx, p, client, f)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// hasPolledServers reports whether some server of the fleet is polled for its state. If all
// announce themselves there is nothing to poll, and the table of routes is not copied: that
// was a fifth of the allocations of an idle box with 240 such servers.
func hasPolledServers(f *fleet.Fleet) bool {
	for _, s := range f.Servers {
		if s.Pool == "" {
			return true
		}
	}
	return false
}

func (b *Box) pollServers(ctx context.Context, p *components, client *engine.Client, f *fleet.Fleet) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for name, backend := range p.directory.Backends() {
		s := f.Servers[name]
		if s == nil || s.Pool != "" || len(f.Servers) > maxPolledServers && s.Hall != b.settings.Hall {
			continue
		}
		wg.Go(func() {
			st, err := client.At(s.Name, s.Address).State(ctx)
			if err != nil {
				return // keep the last reported state
			}
			backend.RecordReport(st.Running + st.Waiting)
			backend.SetDraining(st.Draining)
		})
	}
	wg.Wait()
	p.entry.Refresh()
}
