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
	"leverdrum/placement"
	"leverdrum/replica"
	"leverdrum/state"
	"leverdrum/wire"
)

const (
	// unresponsiveAfter is the time without an announcement after which a server gets work only if
	// no other server is left.
	unresponsiveAfter = 3300 * time.Millisecond
	// neverSeenUnresponsiveAfter is the same for a server from which this leader has not received
	// an announcement yet. Its announcements may still go to a box that no leader reaches.
	neverSeenUnresponsiveAfter = 8 * time.Second
	// contestedConfirmTime is how long an unresponsive server must keep announcing an address that
	// another server now has before it is believed. Announcements delayed by a network partition
	// arrive all at once; a running server announces itself again within a second or two.
	contestedConfirmTime = 500 * time.Millisecond
	// serverRemovalTimeout is the time without an announcement after which no message of an id can
	// arrive any more.
	serverRemovalTimeout = 30 * time.Second
	// wantTTL is how long a want stays valid without being repeated.
	wantTTL = 2 * time.Second
	// mismatchConfirmTime is how long the residents that a server reports must differ from the
	// ledger, with no order issued meanwhile, before the report is adopted.
	mismatchConfirmTime = 2500 * time.Millisecond
)

// contact is what this leader received from an announced server.
type contact struct {
	lastSeen time.Time
	sequence uint64
	// contestedSince is when the server began to announce an address that another id has.
	contestedSince time.Time
	// mismatchSince is when the reported residents began to differ from the committed ones.
	mismatchSince time.Time
	// lastOrderClosed is when the last order to the server was closed.
	lastOrderClosed time.Time
}

// leads reports whether the box may currently act as leader.
func (c *Controller) leads() bool {
	_, hasLease := c.opts.Replica.Lease()
	return hasLease && c.opts.Replica.Status().Established
}

// Announce records the announcement of a server. It returns once the part that other boxes must
// know is committed. An announcement that was overtaken by a later one changes nothing.
func (c *Controller) Announce(ctx context.Context, a *wire.Announcement) error {
	if !c.leads() {
		return replica.ErrNotLeader
	}
	view := c.opts.Replica.View()
	a.Cold = a.Cold && view.Level >= level.Evacuations
	known := view.Announcements.Get(a.Id)
	if view.HasNewerIncarnation(a) || known == nil && unknownService(a, view) {
		return nil
	}
	changed, mismatch := c.noteAnnouncement(a, known, view)
	if !changed && !mismatch {
		return nil
	}
	a.TakeResidents = mismatch
	_, err := c.opts.Replica.Propose(ctx, &wire.Command{Kind: &wire.Command_Announce{Announce: a}})
	if err == nil {
		event.ServerAnnounced.Log(c.opts.Log, zap.String("server", a.Id), zap.String("service", a.Service), zap.String("address", a.Address), zap.Bool("leaving", a.Leaving))
	}
	return err
}

// unknownService reports whether an announcement is for a service that the configuration does not
// name. Its server has no use. Before the first configuration, all servers are accepted.
func unknownService(a *wire.Announcement, view *state.State) bool {
	return view.Fleet != nil && view.Fleet.Pools[a.Service] == nil
}

// noteAnnouncement records the contact with a server. It reports whether the announcement changes
// something that must be committed, and whether its residents have differed from the committed ones
// for so long that they are to be adopted.
func (c *Controller) noteAnnouncement(a, known *wire.Announcement, view *state.State) (changed, mismatch bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := c.contacts[a.Id]
	if h == nil {
		h = &contact{}
		c.contacts[a.Id] = h
	}
	late := a.Sequence < h.sequence
	if !late {
		delete(c.suspicions, a.Id)
		h.lastSeen, h.sequence = time.Now(), a.Sequence
	}
	contested := known.GetSilent() && c.contested(a, view)
	if !contested {
		h.contestedSince = time.Time{}
	}
	switch {
	case a.Leaving && !known.GetLeaving():
		return true, false
	case late, known.GetLeaving():
		return false, false
	case contested && !h.reportsPersist(time.Now()):
		return false, false
	case known == nil, known.Silent, known.Address != a.Address, known.Service != a.Service, known.Hall != a.Hall, known.Cold != a.Cold, known.Version != a.Version:
		changed = true
	default:
		changed = !slices.Equal(known.AtHand, a.AtHand)
	}
	return changed, a.Engine && c.residentsMismatch(h, a, view)
}

// contested reports whether another id that was seen recently has the server's address. One of the
// two has terminated, and its last announcements were late.
func (c *Controller) contested(a *wire.Announcement, view *state.State) bool {
	for _, id := range view.Announcements.ByAddress(a.Address) {
		if h := c.contacts[id]; id != a.Id && !view.Announcements.Get(id).Silent && h != nil && time.Since(h.lastSeen) < unresponsiveAfter {
			return true
		}
	}
	return false
}

// reportsPersist reports whether a server has kept announcing itself for longer than a burst of
// delayed announcements lasts.
func (h *contact) reportsPersist(now time.Time) bool {
	if h.contestedSince.IsZero() {
		h.contestedSince = now
	}
	return now.Sub(h.contestedSince) >= contestedConfirmTime
}

// residentsMismatch reports whether the residents that a server reports have differed from the
// committed ones for long enough.
func (c *Controller) residentsMismatch(h *contact, a *wire.Announcement, view *state.State) bool {
	if view.Orders.HasOpen(a.Id) {
		h.mismatchSince = time.Time{}
		return false
	}
	if sameModels(a, view) || time.Since(h.lastOrderClosed) < mismatchConfirmTime {
		h.mismatchSince = time.Time{}
		return false
	}
	if h.mismatchSince.IsZero() {
		h.mismatchSince = time.Now()
	}
	return time.Since(h.mismatchSince) >= mismatchConfirmTime
}

// sameModels compares models only, because adapters change faster than announcements arrive.
func sameModels(a *wire.Announcement, view *state.State) bool {
	reported := map[string]bool{}
	for _, item := range a.Residents {
		if item.Adapter == "" {
			reported[item.Model] = true
		}
	}
	committed := map[string]bool{}
	for p := range view.Residents.ByServer(a.Id) {
		if p.Adapter == "" {
			committed[p.Model] = true
		}
	}
	return maps.Equal(reported, committed)
}

// Withdraw records a server's notice that it is terminating.
func (c *Controller) Withdraw(ctx context.Context, w *wire.Withdraw) error {
	if !c.leads() {
		return replica.ErrNotLeader
	}
	view := c.opts.Replica.View()
	for _, id := range incarnationsOf(view, cmp.Or(w.Name, w.Id)) {
		a := view.Announcements.Get(id)
		if a == nil || !withdrawalMatches(w, a) || a.Leaving {
			continue
		}
		if _, err := c.opts.Replica.Propose(ctx, &wire.Command{Kind: &wire.Command_Withdraw{Withdraw: &wire.Withdraw{Id: a.Id}}}); err != nil {
			return err
		}
		event.ServerWithdrew.Log(c.opts.Log, zap.String("server", a.Id))
	}
	return nil
}

// withdrawalMatches reports whether a withdrawal refers to the incarnation of an announcement.
func withdrawalMatches(w *wire.Withdraw, a *wire.Announcement) bool {
	if w.Name == "" {
		return a.Id == w.Id
	}
	return a.Name == w.Name && (w.BornMs == 0 || w.BornMs == a.BornMs)
}

// RecordNotice records what a box observed while serving: models and adapters that requests wait
// for, crowded adapters, and servers that refuse connections.
func (c *Controller) RecordNotice(ctx context.Context, f *wire.Forward) error {
	if !c.leads() {
		return replica.ErrNotLeader
	}
	c.mu.Lock()
	for _, d := range f.Wants {
		c.wanted[placement.AwaitedItem{Item: d.Model, Version: d.Version}] = time.Now()
	}
	newlyCrowded := c.noteCrowded(f.Crowded, c.opts.Replica.View(), time.Now())
	c.mu.Unlock()
	c.noteConnectionFailures(ctx, f)
	c.noteLimits(ctx, f.Limits)
	c.noteBackoffs(f, time.Now())
	if len(f.Crowded) > 0 && !newlyCrowded && len(f.Wants)+len(f.Refusing)+len(f.Unreached)+len(f.Limits)+len(f.Rests) == 0 {
		return nil // all boxes repeat such notices; the next periodic step uses them
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
	return nil
}

// wants returns the models and adapters that requests currently wait for, and those that streams wait for at servers of a version.
func (c *Controller) wants() (items map[string]bool, atVersions []placement.AwaitedItem) {
	c.mu.Lock()
	defer c.mu.Unlock()
	items = map[string]bool{}
	for w, at := range c.wanted {
		switch {
		case time.Since(at) > wantTTL:
			delete(c.wanted, w)
		case w.Version != "":
			atVersions = append(atVersions, w)
		default:
			items[w.Item] = true
		}
	}
	return items, atVersions
}

// unavailable reports whether placement must not count on an announced server.
func (c *Controller) unavailable(view *state.State, id string) bool {
	if a := view.Announcements.Get(id); a == nil || a.Silent || a.Leaving {
		return true
	}
	return false
}

// expireServers marks announced servers as unresponsive and removes those that have been
// unresponsive for long.
func (c *Controller) expireServers(ctx context.Context, view *state.State) {
	if time.Since(c.expiryCheckedAt) < stepInterval {
		return
	}
	c.expiryCheckedAt = time.Now()
	leadingFor := time.Since(c.leadingSince)
	for id, a := range view.Announcements.All() {
		silence, unresponsive := c.unresponsive(id, leadingFor)
		switch {
		case silence > serverRemovalTimeout:
			c.forgetServer(ctx, id, silence)
		case unresponsive && !a.Silent:
			c.markUnresponsive(ctx, id, zap.Duration("silence", silence))
		}
	}
}

func (c *Controller) forgetServer(ctx context.Context, id string, silence time.Duration) {
	if _, err := c.propose(ctx, &wire.Command{Kind: &wire.Command_Withdraw{Withdraw: &wire.Withdraw{Id: id, Forget: true}}}); err != nil {
		return
	}
	c.mu.Lock()
	delete(c.suspicions, id)
	c.mu.Unlock()
	event.ServerUnresponsive.Log(c.opts.Log, zap.String("server", id), zap.Duration("silence", silence), zap.Bool("forgotten", true))
}

// unresponsive returns the time since a server was last seen and whether that is too long.
func (c *Controller) unresponsive(id string, leadingFor time.Duration) (time.Duration, bool) {
	c.mu.Lock()
	h := c.contacts[id]
	neverSeen := h == nil || h.lastSeen.IsZero()
	c.mu.Unlock()
	silence := c.sinceLastSeen(id, leadingFor)
	if neverSeen {
		return silence, silence > neverSeenUnresponsiveAfter
	}
	return silence, silence > unresponsiveAfter
}

// sinceLastSeen returns how long ago a server was last seen, as far as this leader can know.
func (c *Controller) sinceLastSeen(id string, leadingFor time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if h := c.contacts[id]; h != nil && !h.lastSeen.IsZero() {
		return min(leadingFor, time.Since(h.lastSeen))
	}
	return leadingFor
}
