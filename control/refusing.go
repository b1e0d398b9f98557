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

// doubt is what boxes met of a server since it was heard last.
type doubt struct {
	words map[string]time.Time // by box
	acted bool                 // the server was counted as silent for it
}

// noteRefusing follows the rules above.
func (c *Controller) noteRefusing(ctx context.Context, f *wire.Forward) {
	enough := min(2, len(c.opts.Replica.View().Members))
	for _, id := range f.Refusing {
		if c.doubted(id, f.Box, enough, true, time.Now()) {
			c.markSilent(ctx, id, zap.String("why", "it refuses connections"))
		}
	}
	for _, id := range f.Unreached {
		silence := c.silence(id, c.ledFor())
		if c.doubted(id, f.Box, enough, silence >= overdue, time.Now()) { // (4)
			c.markSilent(ctx, id, zap.Duration("silence", silence))
		}
	}
}

// doubted remembers a box's word, and reports whether a server is to be counted as
// silent now: as many words as are enough stand (2), nothing else speaks against it
// (sure), and it was not done before.
func (c *Controller) doubted(id, box string, enough int, sure bool, now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.doubts[id]
	if d == nil {
		d = &doubt{words: map[string]time.Time{}}
		c.doubts[id] = d
	}
	d.words[box] = now
	for other, at := range d.words {
		if now.Sub(at) > refusingFor {
			delete(d.words, other)
		}
	}
	if d.acted || !sure || len(d.words) < enough {
		return false
	}
	d.acted = true
	return true
}

// markSilent has a server counted as silent (3); why goes into the log line. Where that
// is not agreed the doubt stands, and the next word tries again.
func (c *Controller) markSilent(ctx context.Context, id string, why zap.Field) {
	view := c.opts.Replica.View()
	a := view.Announcements.Get(id)
	if a == nil || a.Silent || a.Leaving {
		return
	}
	next := proto.CloneOf(a)
	next.Silent = true
	if _, err := c.propose(ctx, &wire.Command{Kind: &wire.Command_Announce{Announce: next}}); err != nil {
		c.doubtAgain(id)
		return
	}
	event.ServerSilent.Log(c.opts.Log, zap.String("server", id), why)
}

func (c *Controller) doubtAgain(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if d := c.doubts[id]; d != nil {
		d.acted = false
	}
}
