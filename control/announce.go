package control

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"go.uber.org/zap"

	"leverdrum/event"
	"leverdrum/level"
	"leverdrum/replica"
	"leverdrum/state"
	"leverdrum/wire"
)

const (
	// silentAfter is the silence after which an announced server gets work only
	// when no other is left.
	silentAfter = 3300 * time.Millisecond
	// unheardAfter is the same for a server that this leader has not heard yet: its words
	// may still go to a box that no leader reaches.
	unheardAfter = 8 * time.Second
	// insistFor is for how long a silent server must speak from an address that another
	// has by now before it is believed. Words that a cut held up come all at once; a
	// server that runs speaks again within a second or two.
	insistFor = 500 * time.Millisecond
	// forgetAfter is the silence after which nothing of an id can arrive any more.
	forgetAfter = 30 * time.Second
	// wantFor is how long a want lasts that is not repeated.
	wantFor = 2 * time.Second
	// differFor is how long a server's word must differ from the ledger, with no
	// order given meanwhile, before it is believed.
	differFor = 2500 * time.Millisecond
)

// heard is what this leader heard of an announced server.
type heard struct {
	at       time.Time
	sequence uint64
	// insists is since when it speaks from an address that another id has.
	insists time.Time
	// differs is since when its residents are others than those agreed.
	differs time.Time
	// ordered is when an order to it was closed last.
	ordered time.Time
}

// leads reports whether the box may act as leader now.
func (c *Controller) leads() bool {
	_, held := c.opts.Replica.Lease()
	return held && c.opts.Replica.Status().Established
}

// Announce takes over what a server says of itself; it returns once what others
// must know is agreed. A word that was overtaken by a later one changes nothing.
func (c *Controller) Announce(ctx context.Context, a *wire.Announcement) error {
	if !c.leads() {
		return replica.ErrNotLeader
	}
	view := c.opts.Replica.View()
	a.Cold = a.Cold && view.Level >= level.Evacuations
	known := view.Announcements.Get(a.Id)
	if view.HasNewerIncarnation(a) || known == nil && strange(a, view) {
		return nil
	}
	news, differs := c.note(a, known, view)
	if !news && !differs {
		return nil
	}
	a.TakeResidents = differs
	_, err := c.opts.Replica.Propose(ctx, &wire.Command{Kind: &wire.Command_Announce{Announce: a}})
	if err == nil {
		event.ServerAnnounced.Log(c.opts.Log, zap.String("server", a.Id), zap.String("service", a.Service), zap.String("address", a.Address), zap.Bool("leaving", a.Leaving))
	}
	return err
}

// strange reports whether an announcement is of a service that the configuration does not name: there is nothing
// to use its server for. Before the first configuration all are taken in.
func strange(a *wire.Announcement, view *state.State) bool {
	return view.Fleet != nil && view.Fleet.Pools[a.Service] == nil
}

// note remembers that a server was heard, and reports whether its word is news that
// must be agreed, or differs for so long from what is agreed to be resident that it is
// to be believed.
func (c *Controller) note(a, known *wire.Announcement, view *state.State) (news, differs bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.heard[a.Id]
	if h == nil {
		h = &heard{}
		c.heard[a.Id] = h
	}
	late := a.Sequence < h.sequence
	if !late {
		delete(c.doubts, a.Id)
		h.at, h.sequence = time.Now(), a.Sequence
	}
	contested := known.GetSilent() && c.contested(a, view)
	if !contested {
		h.insists = time.Time{}
	}
	switch {
	case a.Leaving && !known.GetLeaving():
		return true, false
	case late, known.GetLeaving():
		return false, false
	case contested && !h.insisted(time.Now()):
		return false, false
	case known == nil, known.Silent, known.Address != a.Address, known.Service != a.Service, known.Hall != a.Hall, known.Cold != a.Cold:
		news = true
	default:
		news = !slices.Equal(known.AtHand, a.AtHand)
	}
	return news, a.Engine && c.differs(h, a, view)
}

// contested reports whether another id that was heard lately has a server's address: one of
// the two has ended, and its last words were late.
func (c *Controller) contested(a *wire.Announcement, view *state.State) bool {
	for _, id := range view.Announcements.ByAddress(a.Address) {
		if h := c.heard[id]; id != a.Id && !view.Announcements.Get(id).Silent && h != nil && time.Since(h.at) < silentAfter {
			return true
		}
	}
	return false
}

// insisted reports whether a server has spoken for longer than late words come at once.
func (h *heard) insisted(now time.Time) bool {
	if h.insists.IsZero() {
		h.insists = now
	}
	return now.Sub(h.insists) >= insistFor
}

// differs reports whether a server's word on its residents has long enough been
// another than what is agreed.
func (c *Controller) differs(h *heard, a *wire.Announcement, view *state.State) bool {
	if view.Orders.HasOpen(a.Id) {
		h.differs = time.Time{}
		return false
	}
	if sameModels(a, view) || time.Since(h.ordered) < differFor {
		h.differs = time.Time{}
		return false
	}
	if h.differs.IsZero() {
		h.differs = time.Now()
	}
	return time.Since(h.differs) >= differFor
}

// sameModels compares models only: adapters come and go faster than words.
func sameModels(a *wire.Announcement, view *state.State) bool {
	said := map[string]bool{}
	for _, item := range a.Residents {
		if item.Adapter == "" {
			said[item.Model] = true
		}
	}
	agreed := map[string]bool{}
	for p := range view.Residents.ByServer(a.Id) {
		if p.Adapter == "" {
			agreed[p.Model] = true
		}
	}
	return maps.Equal(said, agreed)
}

// Withdraw notes that a server says that it is gone.
func (c *Controller) Withdraw(ctx context.Context, w *wire.Withdraw) error {
	if !c.leads() {
		return replica.ErrNotLeader
	}
	view := c.opts.Replica.View()
	for _, id := range livesOf(view, cmp.Or(w.Name, w.Id)) {
		a := view.Announcements.Get(id)
		if a == nil || !meant(w, a) || a.Leaving {
			continue
		}
		if _, err := c.opts.Replica.Propose(ctx, &wire.Command{Kind: &wire.Command_Withdraw{Withdraw: &wire.Withdraw{Id: a.Id}}}); err != nil {
			return err
		}
		event.ServerWithdrew.Log(c.opts.Log, zap.String("server", a.Id))
	}
	return nil
}

// meant reports whether a withdrawal is of a server's life.
func meant(w *wire.Withdraw, a *wire.Announcement) bool {
	if w.Name == "" {
		return a.Id == w.Id
	}
	return a.Name == w.Name && (w.BornMs == 0 || w.BornMs == a.BornMs)
}

// RecordNotice takes over what a box met while it served: models and adapters that
// requests wait for, and servers that refuse connections.
func (c *Controller) RecordNotice(ctx context.Context, f *wire.Forward) error {
	if !c.leads() {
		return replica.ErrNotLeader
	}
	c.mu.Lock()
	for _, d := range f.Wants {
		c.wanted[d.Model] = time.Now()
	}
	c.mu.Unlock()
	c.noteRefusing(ctx, f)
	c.noteLimits(ctx, f.Limits)
	c.noteRests(f, time.Now())
	select {
	case c.kick <- struct{}{}:
	default:
	}
	return nil
}

// wants returns what is waited for now.
func (c *Controller) wants() map[string]bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := map[string]bool{}
	for name, at := range c.wanted {
		if time.Since(at) > wantFor {
			delete(c.wanted, name)
			continue
		}
		now[name] = true
	}
	return now
}

// unheard reports whether an announced server must not be reckoned with.
func (c *Controller) unheard(view *state.State, id string) bool {
	if a := view.Announcements.Get(id); a == nil || a.Silent || a.Leaving {
		return true
	}
	return false
}

// expire notes which announced servers are silent, and forgets those that are
// long gone.
func (c *Controller) expire(ctx context.Context, view *state.State) {
	if time.Since(c.expiredAt) < round {
		return
	}
	c.expiredAt = time.Now()
	led := time.Since(c.ledSince)
	for id, a := range view.Announcements.All() {
		silence, silent := c.silent(id, led)
		switch {
		case silence > forgetAfter:
			c.forgetServer(ctx, id, silence)
		case silent && !a.Silent:
			c.markSilent(ctx, id, zap.Duration("silence", silence))
		}
	}
}

func (c *Controller) forgetServer(ctx context.Context, id string, silence time.Duration) {
	if _, err := c.propose(ctx, &wire.Command{Kind: &wire.Command_Withdraw{Withdraw: &wire.Withdraw{Id: id, Forget: true}}}); err != nil {
		return
	}
	c.mu.Lock()
	delete(c.doubts, id)
	c.mu.Unlock()
	event.ServerSilent.Log(c.opts.Log, zap.String("server", id), zap.Duration("silence", silence), zap.Bool("forgotten", true))
}

// silent reports whether a server was not heard for too long, and for how long.
func (c *Controller) silent(id string, led time.Duration) (time.Duration, bool) {
	c.mu.Lock()
	h := c.heard[id]
	unheard := h == nil || h.at.IsZero()
	c.mu.Unlock()
	silence := c.silence(id, led)
	if unheard {
		return silence, silence > unheardAfter
	}
	return silence, silence > silentAfter
}

// silence is how long a server was not heard, as far as this leader can know.
func (c *Controller) silence(id string, led time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.heard[id]; h != nil && !h.at.IsZero() {
		return min(led, time.Since(h.at))
	}
	return led
}
