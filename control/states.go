package control

import (
	"context"
	"slices"
	"time"

	"leverdrum/engine"
	"leverdrum/fleet"
	"leverdrum/record"
	"leverdrum/state"
	"leverdrum/wire"
)

// readStates starts reading the state of each server that is due. A server that does not answer
// delays no other.
func (c *Controller) readStates(ctx context.Context, view *state.State) {
	for _, s := range view.Fleet.Servers {
		if s.Pool != "" {
			continue // it announces itself
		}
		c.mu.Lock()
		due := !c.readsInProgress[s.Name] && time.Since(c.reports[s.Name].began) >= stepInterval
		if due {
			c.readsInProgress[s.Name] = true
		}
		c.mu.Unlock()
		if due {
			go c.readState(ctx, s)
		}
	}
}

func (c *Controller) readState(ctx context.Context, s *fleet.Server) {
	ctx, cancel := context.WithTimeout(ctx, stateTimeout)
	defer cancel()
	began := time.Now()
	st, err := c.opts.Engines(s.Name, s.Address).State(ctx)
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.readsInProgress, s.Name)
	if err == nil {
		c.reports[s.Name] = report{st, began}
	}
}

func (c *Controller) report(server string) (report, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.reports[server]
	return r, ok
}

// noteServers commits changes of incarnation and of draining, and the end of a quarantine.
func (c *Controller) noteServers(ctx context.Context, view *state.State) {
	for _, s := range view.Fleet.SortedServers() {
		r, ok := c.report(s.Name)
		if !ok {
			continue
		}
		known := view.Servers.Get(s.Name)
		settled := c.settled(s, known, r)
		if known.GetIncarnation() == r.state.Incarnation && known.GetLeaving() == r.state.Draining && !settled {
			continue
		}
		seen := &wire.ServerSeen{
			Server: s.Name, Incarnation: r.state.Incarnation, Leaving: r.state.Draining, Residents: residents(s.Name, r.state), Settled: settled,
		}
		if _, err := c.propose(ctx, &wire.Command{Kind: &wire.Command_Server{Server: seen}}); err != nil {
			return
		}
		c.opts.Records.Add(record.Server, s.Name, "incarnation "+r.state.Incarnation, "reported by the server")
	}
}

// settled reports whether a quarantined server's state was read after no order from before its
// restart could arrive any more, and nothing is being loaded.
func (c *Controller) settled(s *fleet.Server, known *wire.ServerState, r report) bool {
	if !known.GetQuarantined() || known.Incarnation != r.state.Incarnation {
		return false
	}
	key := s.Name + "/" + known.Incarnation
	since, ok := c.quarantine[key]
	if !ok {
		c.quarantine[key] = time.Now()
		return false
	}
	busy := slices.ContainsFunc(r.state.Residents, func(x engine.Resident) bool { return x.Loading })
	return !busy && r.began.After(since.Add(s.Kind.MaxOrderDelay))
}

func residents(server string, st *engine.State) []*wire.Resident {
	var list []*wire.Resident
	for _, r := range st.Residents {
		if r.Loading {
			continue
		}
		list = append(list, &wire.Resident{
			Server: server, Accelerator: r.Accelerator, Memory: r.Memory, Phase: wire.Phase_PHASE_READY,
			Item: &wire.Item{Model: r.Model, Adapter: r.Adapter, Version: r.Version},
		})
	}
	return list
}
