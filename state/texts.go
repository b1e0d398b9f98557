package state

import (
	"slices"

	"leverdrum/ledger"
	"leverdrum/wire"
)

// shareTexts has an announcement hold texts that the state holds already: thousands of servers name the same few services,
// halls, versions and models, and each message that is read brings copies of its own.
func (s *State) shareTexts(a *wire.Announcement) *wire.Announcement {
	a.Service, a.Hall, a.Version = s.texts.share(a.Service), s.texts.share(a.Hall), s.texts.share(a.Version)
	for i, model := range a.AtHand {
		a.AtHand[i] = s.texts.share(model)
	}
	return a
}

// shareItem returns an equal item that the state holds already.
func (s *State) shareItem(item *wire.Item) *wire.Item {
	return s.texts.item(ledger.Location{Model: item.Model, Adapter: item.Adapter, Version: item.Version}, item)
}

// shareServer has what is known of a server hold the texts of its announcement.
func (s *State) shareServer(v *wire.ServerState) *wire.ServerState {
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

// maxTexts bounds what is remembered; callers of the heartbeat may invent names.
const maxTexts = 1 << 14

// texts are what a state and its clones share. Only the goroutine that applies entries uses them.
type texts struct {
	names map[string]string
	items map[ledger.Location]*wire.Item
}

func newTexts() *texts { return &texts{map[string]string{}, map[ledger.Location]*wire.Item{}} }

func (t *texts) share(text string) string {
	if known, ok := t.names[text]; ok {
		return known
	}
	if len(t.names) >= maxTexts {
		clear(t.names)
	}
	t.names[text] = text
	return text
}

func (t *texts) item(key ledger.Location, item *wire.Item) *wire.Item {
	if known := t.items[key]; known != nil {
		return known
	}
	if len(t.items) >= maxTexts {
		clear(t.items)
	}
	t.items[key] = item
	return item
}
