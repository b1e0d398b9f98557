package state

import (
	"slices"

	"leverdrum/ledger"
	"leverdrum/wire"
)

// internAnnouncement replaces strings of an announcement by equal ones that the state already holds. Thousands of servers
// name the same few services, halls, versions and models, and each decoded message has its own copies of them.
func (s *State) internAnnouncement(a *wire.Announcement) *wire.Announcement {
	a.Service, a.Hall, a.Version = s.interner.intern(a.Service), s.interner.intern(a.Hall), s.interner.intern(a.Version)
	for i, model := range a.AtHand {
		a.AtHand[i] = s.interner.intern(model)
	}
	return a
}

// internItem returns an equal item that the state already holds, if any.
func (s *State) internItem(item *wire.Item) *wire.Item {
	return s.interner.internItem(ledger.Location{Model: item.Model, Adapter: item.Adapter, Version: item.Version}, item)
}

// internServer replaces strings of a server's state by those of its announcement.
func (s *State) internServer(v *wire.ServerState) *wire.ServerState {
	a := s.Announcements.Get(v.Name)
	if a == nil {
		return v
	}
	v.Name = a.Id
	if v.Incarnation == a.Id {
		v.Incarnation = a.Id
	}
	if slices.Equal(v.AtHand, a.AtHand) {
		v.AtHand = a.AtHand
	}
	return v
}

// maxInterned bounds the interned strings and items, since callers of the heartbeat may invent names.
const maxInterned = 1 << 14

// interner is shared by a state and its clones. Only the goroutine that applies entries uses it.
type interner struct {
	strings map[string]string
	items   map[ledger.Location]*wire.Item
}

func newInterner() *interner { return &interner{map[string]string{}, map[ledger.Location]*wire.Item{}} }

func (t *interner) intern(text string) string {
	if known, ok := t.strings[text]; ok {
		return known
	}
	if len(t.strings) >= maxInterned {
		clear(t.strings)
	}
	t.strings[text] = text
	return text
}

func (t *interner) internItem(key ledger.Location, item *wire.Item) *wire.Item {
	if known := t.items[key]; known != nil {
		return known
	}
	if len(t.items) >= maxInterned {
		clear(t.items)
	}
	t.items[key] = item
	return item
}
