package loadshare

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"leverdrum/wire"
)

const (
	// ownInterval is the minimum time between two frames of a box.
	ownInterval = 10 * time.Millisecond
	// ownAlive is the time without a frame after which a box sends an empty one, a third of senderTTL.
	ownAlive = 500 * time.Millisecond
	// silentHub is the time without a frame from a hub after which the next candidate replaces it.
	silentHub = 2 * time.Second
	// minFailurePause and maxFailurePause bound how long a member that did not work as a hub is skipped; the pause
	// doubles with each failure. Right after the level is raised, a candidate may not know yet that load is shared. A box
	// that is gone is removed from the member list after a minute.
	minFailurePause = time.Second
	maxFailurePause = time.Minute
	// attachPause is the delay before the next stream to a hub.
	attachPause = 50 * time.Millisecond
)

// Run takes part in the exchange until the context ends: it keeps a stream to the hub, and is one if others choose it.
func (s *Sharer) Run(ctx context.Context) {
	if s == nil {
		return
	}
	var wg sync.WaitGroup
	wg.Go(func() { s.hub.pump(ctx, func(f func()) { wg.Go(f) }) })
	for ctx.Err() == nil {
		hub := s.choose(s.options.Now())
		if hub == "" {
			select {
			case <-s.configured:
			case <-ctx.Done():
			}
			continue
		}
		if !s.attachTo(ctx, hub) && ctx.Err() == nil && hub != s.options.Self {
			s.fail(hub)
		}
		sleep(ctx, attachPause)
	}
	wg.Wait()
}

// choose returns the hub for this box: the first candidate of its hall that has not failed recently; "" if load is not
// shared or the hall has no candidate.
func (s *Sharer) choose(now time.Duration) string {
	list := (*s.candidates.Load())[s.options.Hall]
	if !s.Sharing() || len(list) == 0 {
		return ""
	}
	return s.working(list, now)
}

// working returns the first member of a list that has not failed recently, or the first if all have.
func (s *Sharer) working(list []string, now time.Duration) string {
	s.failedMu.Lock()
	defer s.failedMu.Unlock()
	for _, id := range list {
		f, failed := s.failed[id]
		if id == s.options.Self || !failed || now-f.at > f.pause {
			return id
		}
	}
	return list[0]
}

// failure is the last time that a member did not work as a hub.
type failure struct{ at, pause time.Duration }

// fail records that a member did not work as a hub.
func (s *Sharer) fail(member string) {
	now := s.options.Now()
	s.failedMu.Lock()
	defer s.failedMu.Unlock()
	for id, f := range s.failed {
		if now-f.at > 2*maxFailurePause {
			delete(s.failed, id)
		}
	}
	s.failed[member] = failure{now, min(max(minFailurePause, 2*s.failed[member].pause), maxFailurePause)}
}

// otherHubs returns the members to which this box, as a hub, wants a stream: the hub of each other hall, and the one of
// its own hall if that is not this box.
func (s *Sharer) otherHubs(now time.Duration) (out []string) {
	ordered := *s.candidates.Load()
	for _, hall := range sortedKeys(ordered) {
		list := ordered[hall]
		if i := slices.Index(list, s.options.Self); hall == s.options.Hall && i >= 0 {
			list = list[:i] // those preferred to this box
		}
		if len(list) > 0 {
			out = append(out, s.working(list, now))
		}
	}
	return out
}

func (s *Sharer) open(ctx context.Context, member string, kind wire.LoadStream_Kind) (Stream, error) {
	ctx, cancel := context.WithTimeout(ctx, openTimeout)
	defer cancel()
	return s.options.Open(ctx, member, kind)
}

// attachTo exchanges load with a hub, which may be this box, until the stream ends or another hub is to be used. It
// returns false if the hub did not answer, or was silent.
func (s *Sharer) attachTo(ctx context.Context, hub string) bool {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var wg sync.WaitGroup
	defer wg.Wait()
	if hub == s.options.Self {
		near, far := pipe()
		wg.Go(func() { s.Serve(ctx, hub, wire.LoadStream_BOX, far) })
		return s.exchange(ctx, hub, near)
	}
	stream, err := s.open(ctx, hub, wire.LoadStream_BOX)
	if err != nil {
		return false
	}
	return s.exchange(ctx, hub, stream)
}

// keptUses is how long a box keeps uses of prefixes while it has no hub. A box that tries a hub again which had failed is
// without one for a moment.
const keptUses = 2 * time.Second

// attachment is the state of a box's stream to its hub.
type attachment struct {
	hub     string
	stream  Stream
	ended   chan struct{} // closed when the stream cannot be read any more
	heard   atomic.Bool
	heardAt atomic.Int64 // time.Duration of Options.Now
}

// exchange runs one stream to a hub and closes it.
func (s *Sharer) exchange(ctx context.Context, hub string, stream Stream) bool {
	a := &attachment{hub: hub, stream: stream, ended: make(chan struct{})}
	a.heardAt.Store(int64(s.options.Now()))
	s.ownMu.Lock()
	s.own.restart()
	s.demand.restart()
	if s.options.Now()-s.detachedAt > keptUses {
		s.uses = s.uses[:0]
	}
	s.outcomes = newOutcomeQueue() // some may be from long ago
	s.ownMu.Unlock()
	notify(s.ownChanged)
	var wg sync.WaitGroup
	wg.Go(func() { s.read(a) })
	responsive := s.write(ctx, a)
	_ = stream.Close() // ends the reads
	wg.Wait()
	s.ownMu.Lock()
	if a.heard.Load() {
		s.detachedAt = s.options.Now()
	}
	s.ownMu.Unlock()
	return responsive && a.heard.Load()
}

func (s *Sharer) read(a *attachment) {
	defer close(a.ended)
	for {
		u := &wire.LoadUpdate{}
		if a.stream.Receive(u) != nil {
			return
		}
		first := !a.heard.Swap(true)
		a.heardAt.Store(int64(s.options.Now()))
		s.receive(u, first)
		if first && s.options.Attached != nil {
			s.options.Attached(a.hub)
		}
	}
}

// write sends own changes, the first one at once and further ones at most every ownInterval. It returns false if the hub
// became silent.
func (s *Sharer) write(ctx context.Context, a *attachment) bool {
	ticker := time.NewTicker(demandInterval)
	defer ticker.Stop()
	var f frameBuffer
	var sentAt time.Duration
	tickedAt := s.options.Now()
	for {
		tick := false
		select {
		case <-ctx.Done():
			return true
		case <-a.ended:
			return true
		case <-s.ownChanged:
		case <-ticker.C:
			tick = true
		}
		now := s.options.Now()
		if tick {
			if now-tickedAt > lateTick {
				a.heardAt.Store(int64(now)) // this box was frozen
			}
			tickedAt = now
			if now-time.Duration(a.heardAt.Load()) > silentHub {
				return false
			}
			if s.choose(now) != a.hub {
				return true
			}
		}
		u, more := s.ownFrame(&f, tick)
		if empty(u) && now-sentAt < ownAlive {
			continue
		}
		if a.stream.Send(u) != nil {
			return true
		}
		sentAt = now
		if more {
			notify(s.ownChanged)
		}
		if !sleep(ctx, ownInterval) {
			return true
		}
	}
}
