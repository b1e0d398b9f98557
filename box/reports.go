package box

import (
	"context"
	"sync"
	"time"

	"leverdrum/engine"
	"leverdrum/fleet"
)

const (
	// reportEvery is the time between two readings of a model server's state.
	reportEvery = 500 * time.Millisecond
	// reportTimeout bounds one reading.
	reportTimeout = 400 * time.Millisecond
	// readAll is the count of model servers up to which a box reads all of them;
	// beyond, it reads those of its own data hall, and learns of the others from
	// the agreed state only.
	readAll = 64
)

// readReports takes over what model servers say of their load and of leaving,
// whether or not a controller leads.
func (b *Box) readReports(ctx context.Context, p *parts) {
	client := engine.NewClient(func() bool { return false }, p.pushback)
	ticker := time.NewTicker(reportEvery)
	defer ticker.Stop()
	for {
		if f := p.replica.View().Fleet; f != nil && tells(f) {
			b.readRound(ctx, p, client, f)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// tells reports whether some server of the fleet tells its state when asked. Where all announce
// themselves there is nothing to read, and no table of routes is made for it: that took a
// fifth of what a resting box allocated beside 240 such servers.
func tells(f *fleet.Fleet) bool {
	for _, s := range f.Servers {
		if s.Pool == "" {
			return true
		}
	}
	return false
}

func (b *Box) readRound(ctx context.Context, p *parts, client *engine.Client, f *fleet.Fleet) {
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for name, backend := range p.directory.Backends() {
		s := f.Servers[name]
		if s == nil || s.Pool != "" || len(f.Servers) > readAll && s.Hall != b.settings.Hall {
			continue
		}
		wg.Go(func() {
			st, err := client.At(s.Name, s.Address).State(ctx)
			if err != nil {
				return // the last word stands
			}
			backend.RecordReport(st.Running + st.Waiting)
			backend.SetDraining(st.Draining)
		})
	}
	wg.Wait()
	p.entry.Refresh()
}
