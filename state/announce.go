package state

import (
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"leverdrum/fleet"
	"leverdrum/ledger"
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
	old := s.Announced[a.Id]
	if s.Outlived(a) {
		return
	}
	ordered, heir := s.endLivesBefore(a)
	next := proto.CloneOf(a)
	next.Sequence, next.RemainingMs, next.Residents, next.TakeResidents = 0, 0, nil, false
	next.Leaving = a.Leaving || old.GetLeaving() // (2)
	next.Heir = heir || old.GetHeir()
	next.Cold = a.Cold && s.Level >= level.Evacuations
	s.Announced[a.Id] = next
	if old == nil {
		s.silenceOthers(next) // (3)
	}
	if old == nil || old.Service != next.Service || old.Address != next.Address || old.Hall != next.Hall {
		s.mergeAnnounced()
	}
	if !a.Engine {
		return
	}
	s.Servers[a.Id] = &wire.ServerState{Name: a.Id, Incarnation: a.Id, Leaving: next.Leaving, Ordered: max(ordered, s.Servers[a.Id].GetOrdered()), AtHand: a.AtHand}
	if (old == nil || a.TakeResidents) && !s.hasOrders(a.Id) { // (4)
		s.replaceResidents(a)
	}
}

// Outlived reports whether a later life of a server's name is known.
func (s *State) Outlived(a *wire.Announcement) bool {
	for _, other := range s.Announced {
		if sameName(a, other) && other.BornMs > a.BornMs {
			return true
		}
	}
	return false
}

func sameName(a, b *wire.Announcement) bool {
	return a.BornMs != 0 && b.BornMs != 0 && a.Name == b.Name && a.Id != b.Id
}

// endLivesBefore is rule 5. It returns the entry that was about an order to the life before last, and whether one was open.
func (s *State) endLivesBefore(a *wire.Announcement) (ordered uint64, heir bool) {
	for id, other := range s.Announced {
		if !sameName(a, other) {
			continue
		}
		ordered = max(ordered, s.Servers[id].GetOrdered())
		heir = heir || other.Heir || s.hasOrders(id)
		delete(s.Announced, id)
		s.forgetServer(id)
	}
	return ordered, heir
}

func (s *State) silenceOthers(a *wire.Announcement) {
	for id, other := range s.Announced {
		if id == a.Id || other.Address != a.Address || other.Silent {
			continue
		}
		next := proto.CloneOf(other)
		next.Silent = true
		s.Announced[id] = next
	}
}

func (s *State) hasOrders(server string) bool {
	for _, o := range s.Orders {
		if o.Server == server {
			return true
		}
	}
	return false
}

func (s *State) replaceResidents(a *wire.Announcement) {
	maps.DeleteFunc(s.Residents, func(p ledger.Place, _ *wire.Resident) bool { return p.Server == a.Id })
	for _, item := range a.Residents {
		r := &wire.Resident{Server: a.Id, Item: item, Phase: wire.Phase_PHASE_READY, Memory: s.memoryOf(item)}
		s.Residents[ledger.PlaceOfResident(r)] = r
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
	old := s.Announced[w.Id]
	if old == nil {
		return
	}
	if w.Forget {
		delete(s.Announced, w.Id)
		s.forgetServer(w.Id)
		s.mergeAnnounced()
		return
	}
	next := proto.CloneOf(old)
	next.Leaving = true
	s.Announced[w.Id] = next
	if seen := s.Servers[w.Id]; seen != nil {
		s.Servers[w.Id] = &wire.ServerState{Name: w.Id, Incarnation: w.Id, Leaving: true, Ordered: seen.Ordered, AtHand: seen.AtHand}
	}
}

// mergeAnnounced makes Fleet from what is described and who announced itself.
func (s *State) mergeAnnounced() {
	if s.described == nil {
		return
	}
	var list []*fleet.Server
	for _, id := range slices.Sorted(maps.Keys(s.Announced)) {
		a := s.Announced[id]
		pool := s.described.Pools[a.Service]
		if pool == nil || pool.Kind == nil {
			continue
		}
		list = append(list, &fleet.Server{Name: id, Address: a.Address, Hall: a.Hall, Kind: pool.Kind, Pool: pool.Name})
	}
	s.Fleet = s.described.WithServers(list)
	s.sizeResidents()
}

// sizeResidents counts what was announced before its size was known.
func (s *State) sizeResidents() {
	for p, r := range s.Residents {
		if r.Memory != 0 || s.Announced[p.Server] == nil {
			continue
		}
		if size := s.memoryOf(r.Item); size != 0 {
			c := proto.CloneOf(r)
			c.Memory = size
			s.Residents[p] = c
		}
	}
}
