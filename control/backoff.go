package control

import (
	"time"

	"leverdrum/state"
	"leverdrum/wire"
)

// Rules for servers that ask for long backoffs:
//
//  1. Boxes report long backoffs (pushback.LongBackoff): a move takes some seconds itself, and
//     short backoffs are over by then.
//  2. A server counts as missing capacity while a fifth of all boxes report it. A server may ask a
//     single box to back off because of that box's own load.

const (
	// backoffReportShare is the share of boxes in rule 2.
	backoffReportShare = 0.2
	// maxBackoffTTL bounds how long a box's report counts; it is repeated while the backoff lasts.
	maxBackoffTTL = 5 * time.Second
)

// noteBackoffs records the backoffs that a box reports.
func (c *Controller) noteBackoffs(f *wire.Forward, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range f.Rests {
		if c.backoffs[r.Server] == nil {
			c.backoffs[r.Server] = map[string]time.Time{}
		}
		c.backoffs[r.Server][f.Box] = now.Add(min(time.Duration(r.LeftMs)*time.Millisecond, maxBackoffTTL))
	}
}

// serversInBackoff returns the servers that count as missing capacity.
func (c *Controller) serversInBackoff(view *state.State, now time.Time) map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	needed := max(1, backoffReportShare*float64(len(view.Members)))
	var servers map[string]bool
	for server, reports := range c.backoffs {
		for box, until := range reports {
			if now.After(until) {
				delete(reports, box)
			}
		}
		if len(reports) == 0 || view.Servers.Get(server) == nil {
			delete(c.backoffs, server)
			continue
		}
		if float64(len(reports)) >= needed {
			if servers == nil {
				servers = map[string]bool{}
			}
			servers[server] = true
		}
	}
	return servers
}
