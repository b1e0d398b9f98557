package control

import (
	"time"

	"leverdrum/state"
	"leverdrum/wire"
)

// Rules for servers that ask for long rests:
//
//  1. Boxes tell of rests that are long (pushback.LongRest): a move takes some seconds itself, and short rests are over by then.
//  2. A server is room that is missing while a fifth of all boxes tell so of it: it may rest to a single one for that one's
//     load.

const (
	// restingShare is rule 2.
	restingShare = 0.2
	// maxRest bounds the time that a box's report counts, since it is repeated while it lasts.
	maxRest = 5 * time.Second
)

// noteRests records what a box tells.
func (c *Controller) noteRests(f *wire.Forward, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range f.Rests {
		if c.resting[r.Server] == nil {
			c.resting[r.Server] = map[string]time.Time{}
		}
		c.resting[r.Server][f.Box] = now.Add(min(time.Duration(r.LeftMs)*time.Millisecond, maxRest))
	}
}

// restingServers returns the servers that are room that is missing.
func (c *Controller) restingServers(view *state.State, now time.Time) map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	enough := max(1, restingShare*float64(len(view.Members)))
	var resting map[string]bool
	for server, reports := range c.resting {
		for box, until := range reports {
			if now.After(until) {
				delete(reports, box)
			}
		}
		if len(reports) == 0 || view.Servers.Get(server) == nil {
			delete(c.resting, server)
			continue
		}
		if float64(len(reports)) >= enough {
			if resting == nil {
				resting = map[string]bool{}
			}
			resting[server] = true
		}
	}
	return resting
}
