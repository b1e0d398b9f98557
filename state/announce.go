package state

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"leverdrum/fleet"
	"leverdrum/level"
	"leverdrum/wire"
)

// Rules for backend servers that announce themselves:
//
//  1. Each start of a server is an id of its own. What is known of an id is
//     dropped only when nothing of it can arrive any more (Withdraw.Forget).
//  2. Leaving stays: a later word that the id is well changes nothing.
//  3. Another id at the address of a known one makes that silent until it is heard
//     again: most likely it was restarted, but words come late.
//  4. Residents are taken over from the first announcement. Later words may be older
//     than the last order: they replace what is agreed only where the leader says so,
//     and while no order is open, since an open order's memory must stay counted.
//  5. A server that starts again under its name begins another life, with another id and a later birth. All that is
//     kept by the id of the life before ends with it, open orders included: what runs now holds nothing of
//     it. Late words of that life change nothing. Two things stay: the entry that was about its orders last, since no two
//     leaders may give one server orders within a pause; and that an order was open, which may yet arrive.

// announce takes over what a server said of itself.
func (s *State) announce(a *wire.Announcement) {
	old := s.Announcements.Get(a.Id)
	if s.HasNewerIncarnation(a) {
		return
	}
	ordered, heir := s.endLivesBefore(a)
	next := s.shareTexts(proto.CloneOf(a))
	next.Sequence, next.RemainingMs, next.Residents, next.TakeResidents = 0, 0, nil, false
	next.Leaving = a.Leaving || old.GetLeaving() // (2)
	next.Heir = heir || old.GetHeir()
	next.Cold = a.Cold && s.Level >= level.Evacuations
	s.Announcements.Set(a.Id, next)
	if old == nil {
		s.silenceOthers(next) // (3)
	}
	s.joinFleet(next)
	if !a.Engine {
		return
	}
	s.Servers.Set(a.Id, &wire.ServerState{Name: next.Id, Incarnation: next.Id, Leaving: next.Leaving, Ordered: max(ordered, s.Servers.Get(a.Id).GetOrdered()), AtHand: next.AtHand})
	if (old == nil || a.TakeResidents) && !s.Orders.HasOpen(a.Id) { // (4)
		s.replaceResidents(next.Id, a.Residents)
	}
}

// HasNewerIncarnation reports whether a later life of a server's name is known.
func (s *State) HasNewerIncarnation(a *wire.Announcement) bool {
	if a.BornMs == 0 {
		return false
	}
	return slices.ContainsFunc(s.Announcements.Incarnations(a.Name), func(id string) bool { return id != a.Id && s.Announcements.Get(id).BornMs > a.BornMs })
}

// endLivesBefore is rule 5. It returns the entry that was about an order to the life before last, and whether one was open.
func (s *State) endLivesBefore(a *wire.Announcement) (ordered uint64, heir bool) {
	if a.BornMs == 0 {
		return 0, false
	}
	for _, id := range s.Announcements.Incarnations(a.Name) {
		if id == a.Id || s.Announcements.Get(id).BornMs == 0 {
			continue
		}
		ordered = max(ordered, s.Servers.Get(id).GetOrdered())
		heir = heir || s.Announcements.Get(id).Heir || s.Orders.HasOpen(id)
		s.forgetAnnounced(id)
	}
	return ordered, heir
}

func (s *State) forgetAnnounced(id string) {
	s.Announcements.Delete(id)
	s.PoolServers.Delete(id)
	s.forgetServer(id)
}

func (s *State) silenceOthers(a *wire.Announcement) {
	for _, id := range s.Announcements.ByAddress(a.Address) {
		other := s.Announcements.Get(id)
		if id == a.Id || other.Silent {
			continue
		}
		next := proto.CloneOf(other)
		next.Silent = true
		s.Announcements.Set(id, next)
	}
}

func (s *State) replaceResidents(server string, items []*wire.Item) {
	s.Residents.Clear(server, nil)
	for _, item := range items {
		item = s.shareItem(item)
		s.Residents.Put(&wire.Resident{Server: server, Item: item, Phase: wire.Phase_PHASE_READY, Memory: s.memoryOf(item)})
	}
}

// memoryOf returns the size of an item, 0 when the fleet does not name it.
func (s *State) memoryOf(item *wire.Item) uint64 {
	if s.Fleet == nil {
		return 0
	}
	if item.Adapter != "" {
		if a := s.Fleet.Adapters[item.Adapter]; a != nil {
			return a.Memory
		}
		return 0
	}
	if m := s.Fleet.Models[item.Model]; m != nil {
		return m.Memory
	}
	return 0
}

// withdraw is rule 1.
func (s *State) withdraw(w *wire.Withdraw) {
	old := s.Announcements.Get(w.Id)
	if old == nil {
		return
	}
	if w.Forget {
		s.forgetAnnounced(w.Id)
		return
	}
	next := proto.CloneOf(old)
	next.Leaving = true
	s.Announcements.Set(w.Id, next)
	if seen := s.Servers.Get(w.Id); seen != nil {
		s.Servers.Set(w.Id, &wire.ServerState{Name: w.Id, Incarnation: w.Id, Leaving: true, Ordered: seen.Ordered, AtHand: seen.AtHand})
	}
}

// joinFleet lists an announced server among the model servers, where the fleet file has a pool of them for it.
func (s *State) joinFleet(a *wire.Announcement) {
	if s.Fleet == nil {
		return
	}
	pool := s.Fleet.Pools[a.Service]
	if pool == nil || pool.Kind == nil {
		s.PoolServers.Delete(a.Id)
		return
	}
	if old := s.PoolServers.Get(a.Id); old != nil && old.Address == a.Address && old.Hall == a.Hall && old.Kind == pool.Kind && old.Pool == pool.Name {
		return
	}
	s.PoolServers.Set(a.Id, &fleet.Server{Name: a.Id, Address: a.Address, Hall: a.Hall, Kind: pool.Kind, Pool: pool.Name})
}

// enterFleet takes over another fleet file: who belongs to its pools, and what was announced before its size was known.
func (s *State) enterFleet(f *fleet.Fleet) {
	s.Fleet = f
	for _, a := range s.Announcements.All() {
		s.joinFleet(a)
	}
	var sized []*wire.Resident
	for p, r := range s.Residents.All() {
		if r.Memory != 0 || s.Announcements.Get(p.Server) == nil {
			continue
		}
		if size := s.memoryOf(r.Item); size != 0 {
			c := proto.CloneOf(r)
			c.Memory = size
			sized = append(sized, c)
		}
	}
	for _, r := range sized {
		s.Residents.Put(r)
	}
}
