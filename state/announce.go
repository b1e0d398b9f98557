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
//  1. Each start of a server has its own id. The record of an id is removed only when no message about it can arrive
//     any more (Withdraw.Forget).
//  2. Draining is permanent: a later announcement that the id is well does not change it.
//  3. A new id at the address of a known one marks the known one as unresponsive until it announces itself again. Most
//     likely the server was restarted, but messages may arrive late.
//  4. Residents are recorded from the first announcement. Later announcements may be older than the last order: they
//     replace the replicated residents only if the leader says so, and only while no order is open, since the memory of
//     an open order must stay counted.
//  5. A server that restarts under its name begins a new incarnation, with a new id and a later start time. Everything
//     recorded under the id of the previous incarnation is removed, open orders included: the running process holds none
//     of it. Late messages of the previous incarnation are ignored. Two facts are kept: the index of the last entry about
//     its orders, since no two leaders may give one server orders within a pause, and whether an order was open, since
//     that order may still arrive.

// announce records a server's announcement.
func (s *State) announce(a *wire.Announcement) {
	old := s.Announcements.Get(a.Id)
	if s.HasNewerIncarnation(a) {
		return
	}
	ordered, inherited := s.endPreviousIncarnations(a)
	next := s.internAnnouncement(proto.CloneOf(a))
	next.Sequence, next.RemainingMs, next.Residents, next.TakeResidents = 0, 0, nil, false
	next.Leaving = a.Leaving || old.GetLeaving() // (2)
	next.Heir = inherited || old.GetHeir()
	next.Cold = a.Cold && s.Level >= level.Evacuations
	s.Announcements.Set(a.Id, next)
	if old == nil {
		s.markOthersSilent(next) // (3)
	}
	s.updatePool(next)
	if !a.Engine {
		return
	}
	s.Servers.Set(a.Id, &wire.ServerState{Name: next.Id, Incarnation: next.Id, Leaving: next.Leaving, Ordered: max(ordered, s.Servers.Get(a.Id).GetOrdered()), AtHand: next.AtHand})
	if (old == nil || a.TakeResidents) && !s.Orders.HasOpen(a.Id) { // (4)
		s.replaceResidents(next.Id, a.Residents)
	}
}

// HasNewerIncarnation reports whether a later incarnation of the server's name is known.
func (s *State) HasNewerIncarnation(a *wire.Announcement) bool {
	if a.BornMs == 0 {
		return false
	}
	return slices.ContainsFunc(s.Announcements.Incarnations(a.Name), func(id string) bool { return id != a.Id && s.Announcements.Get(id).BornMs > a.BornMs })
}

// endPreviousIncarnations removes the records of the previous incarnations of a server (5). It returns the index of the last entry about an order to a previous
// incarnation, and whether such an order was open.
func (s *State) endPreviousIncarnations(a *wire.Announcement) (ordered uint64, inherited bool) {
	if a.BornMs == 0 {
		return 0, false
	}
	for _, id := range s.Announcements.Incarnations(a.Name) {
		if id == a.Id || s.Announcements.Get(id).BornMs == 0 {
			continue
		}
		ordered = max(ordered, s.Servers.Get(id).GetOrdered())
		inherited = inherited || s.Announcements.Get(id).Heir || s.Orders.HasOpen(id)
		s.removeAnnounced(id)
	}
	return ordered, inherited
}

func (s *State) removeAnnounced(id string) {
	s.Announcements.Delete(id)
	s.PoolServers.Delete(id)
	s.removeServer(id)
}

func (s *State) markOthersSilent(a *wire.Announcement) {
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
		item = s.internItem(item)
		s.Residents.Put(&wire.Resident{Server: server, Item: item, Phase: wire.Phase_PHASE_READY, Memory: s.memoryOf(item)})
	}
}

// memoryOf returns the size of an item, or 0 if the fleet file does not name it.
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

// withdraw marks a server that deregisters as draining, for good, or removes its record if no message about it can
// arrive any more (1, 2).
func (s *State) withdraw(w *wire.Withdraw) {
	old := s.Announcements.Get(w.Id)
	if old == nil {
		return
	}
	if w.Forget {
		s.removeAnnounced(w.Id)
		return
	}
	next := proto.CloneOf(old)
	next.Leaving = true
	s.Announcements.Set(w.Id, next)
	if seen := s.Servers.Get(w.Id); seen != nil {
		s.Servers.Set(w.Id, &wire.ServerState{Name: w.Id, Incarnation: w.Id, Leaving: true, Ordered: seen.Ordered, AtHand: seen.AtHand})
	}
}

// updatePool adds an announced server to the model servers if the fleet file has a model pool for its service, and
// removes it otherwise.
func (s *State) updatePool(a *wire.Announcement) {
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

// setFleet replaces the fleet file. It updates the pool servers, and sizes the residents that were announced before their
// size was known.
func (s *State) setFleet(f *fleet.Fleet) {
	s.Fleet = f
	for _, a := range s.Announcements.All() {
		s.updatePool(a)
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
