package state

import (
	"cmp"
	"iter"
	"slices"
	"strings"

	"leverdrum/internal/cow"
	"leverdrum/wire"
)

// Announcements are the backend servers that announced themselves, found by id, by name, by address and by service.
type Announcements struct {
	byID      *cow.Map[string, *wire.Announcement]
	byName    *cow.Map[string, []string]
	byAddress *cow.Map[string, []string]
	heirs     *cow.Map[string, bool] // ids of those that are marked so
	leaving   *cow.Map[string, bool] // the same
	atHand    *cow.Map[string, int]  // servers that have a model at hand, by model
	byService *cow.Map[serviceID, *wire.Announcement]
}

// serviceID names a server of a service.
type serviceID struct{ service, id string }

func compareServices(a, b serviceID) int {
	return cmp.Or(strings.Compare(a.service, b.service), strings.Compare(a.id, b.id))
}

func newAnnounced() *Announcements {
	return &Announcements{cow.New[string, *wire.Announcement](), cow.New[string, []string](), cow.New[string, []string](), cow.New[string, bool](), cow.New[string, bool](), cow.New[string, int](), cow.NewFunc[serviceID, *wire.Announcement](compareServices)}
}

// Get returns what is known of an id, nil for nothing.
func (a *Announcements) Get(id string) *wire.Announcement { return a.byID.Get(id) }

// Len returns how many are known.
func (a *Announcements) Len() int { return a.byID.Len() }

// All goes over them by id.
func (a *Announcements) All() iter.Seq2[string, *wire.Announcement] { return a.byID.All() }

// ByService goes over those of a service by id.
func (a *Announcements) ByService(service string) iter.Seq2[string, *wire.Announcement] {
	return func(yield func(string, *wire.Announcement) bool) {
		for key, one := range a.byService.From(serviceID{service: service}) {
			if key.service != service || !yield(key.id, one) {
				return
			}
		}
	}
}

// ByAddress returns the ids that have an address.
func (a *Announcements) ByAddress(address string) []string { return a.byAddress.Get(address) }

// Incarnations returns the ids of the lives of a name.
func (a *Announcements) Incarnations(name string) []string { return a.byName.Get(name) }

// WithInheritedOrders returns the ids of those that began while an order to the life before was open.
func (a *Announcements) WithInheritedOrders() []string { return marked(a.heirs) }

// Draining returns the ids of those that leave.
func (a *Announcements) Draining() []string { return marked(a.leaving) }

func marked(set *cow.Map[string, bool]) (ids []string) {
	for id := range set.All() {
		ids = append(ids, id)
	}
	return ids
}

func mark(set *cow.Map[string, bool], id string, marked bool) {
	switch {
	case marked:
		set.Set(id, true)
	case set.Get(id):
		set.Delete(id)
	}
}

// Set takes over what is known of an id.
func (a *Announcements) Set(id string, next *wire.Announcement) {
	a.countHand(a.byID.Get(id), next)
	a.unlink(id, next)
	a.byID.Set(id, next)
	if next.Name != "" {
		link(a.byName, next.Name, id)
	}
	link(a.byAddress, next.Address, id)
	mark(a.heirs, id, next.Heir)
	mark(a.leaving, id, next.Leaving)
	a.byService.Set(serviceID{next.Service, id}, next)
}

// Delete forgets an id.
func (a *Announcements) Delete(id string) {
	a.countHand(a.byID.Get(id), nil)
	a.unlink(id, &wire.Announcement{})
	a.byID.Delete(id)
	mark(a.heirs, id, false)
	mark(a.leaving, id, false)
}

// CachedCount returns how many servers have a model at hand.
func (a *Announcements) CachedCount(model string) int { return a.atHand.Get(model) }

// countHand counts what a server has at hand now in place of what it had before.
func (a *Announcements) countHand(old, next *wire.Announcement) {
	if slices.Equal(old.GetAtHand(), next.GetAtHand()) {
		return
	}
	for _, model := range old.GetAtHand() {
		if n := a.atHand.Get(model); n > 1 {
			a.atHand.Set(model, n-1)
		} else {
			a.atHand.Delete(model)
		}
	}
	for _, model := range next.GetAtHand() {
		a.atHand.Set(model, a.atHand.Get(model)+1)
	}
}

// unlink takes an id out of where its next announcement does not stand.
func (a *Announcements) unlink(id string, next *wire.Announcement) {
	old := a.byID.Get(id)
	if old == nil {
		return
	}
	if next.Name != old.Name {
		drop(a.byName, old.Name, id)
	}
	if next.Address != old.Address {
		drop(a.byAddress, old.Address, id)
	}
	if next.Service != old.Service {
		a.byService.Delete(serviceID{old.Service, id})
	}
}

func link(index *cow.Map[string, []string], key, id string) {
	if ids := index.Get(key); !slices.Contains(ids, id) {
		index.Set(key, append(slices.Clip(ids), id))
	}
}

func drop(index *cow.Map[string, []string], key, id string) {
	left := slices.DeleteFunc(slices.Clone(index.Get(key)), func(other string) bool { return other == id })
	if len(left) == 0 {
		index.Delete(key)
		return
	}
	index.Set(key, left)
}

func (a *Announcements) clone() *Announcements {
	return &Announcements{a.byID.Clone(), a.byName.Clone(), a.byAddress.Clone(), a.heirs.Clone(), a.leaving.Clone(), a.atHand.Clone(), a.byService.Clone()}
}
