package control

import (
	"context"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"leverdrum/event"
	"leverdrum/wire"
)

// Rules for announced servers that boxes cannot open connections to:
//
//  1. A port that nobody listens on refuses at once: the process has ended, seconds
//     before its silence shows it. A server that is only full may refuse, too.
//  2. So it takes the word of two boxes within a short time, each of which has no
//     connection left to the server; of one where there is no other box.
//  3. Such a server counts as silent, no more: its next word brings it back.
//  4. One that does not answer at all may only be cut off from those boxes: it counts
//     as silent once a word of its own is overdue, too.

const (
	// refusingFor is how long a box's word on a server counts.
	refusingFor = 1500 * time.Millisecond
	// overdue is the silence after which a server that is not reached counts as silent.
	overdue = 1700 * time.Millisecond
)

// noteRefusing follows the rules above.
func (c *Controller) noteRefusing(ctx context.Context, f *wire.Forward) {
	enough := min(2, len(c.opts.Replica.View().Members))
	for _, id := range f.Refusing {
		if c.doubted(id, f.Box, enough, time.Now()) {
			c.markSilent(ctx, id, zap.String("why", "it refuses connections"))
		}
	}
	for _, id := range f.Unreached {
		silence := c.silence(id, time.Since(c.ledSince))
		if c.doubted(id, f.Box, enough, time.Now()) && silence >= overdue {
			c.markSilent(ctx, id, zap.Duration("silence", silence))
		}
	}
}

// doubted remembers a box's word, and reports whether as many as are enough stand (2).
func (c *Controller) doubted(id, box string, enough int, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	words := c.refusing[id]
	if words == nil {
		words = map[string]time.Time{}
		c.refusing[id] = words
	}
	words[box] = now
	for other, at := range words {
		if now.Sub(at) > refusingFor {
			delete(words, other)
		}
	}
	return len(words) >= enough
}

// markSilent has a server counted as silent (3); why goes into the log line.
func (c *Controller) markSilent(ctx context.Context, id string, why zap.Field) {
	view := c.opts.Replica.View()
	a := view.Announced[id]
	if a == nil || a.Silent || a.Leaving {
		return
	}
	next := proto.CloneOf(a)
	next.Silent, next.Residents = true, residentItems(view, id)
	if _, err := c.propose(ctx, &wire.Command{Kind: &wire.Command_Announce{Announce: next}}); err != nil {
		return
	}
	event.ServerSilent.Log(c.opts.Log, zap.String("server", id), why)
}
