package state

import (
	"cmp"
	"iter"
	"slices"
	"strings"

	"leverdrum/internal/cow"
	"leverdrum/wire"
)

// Announcements are the backend servers that announced themselves, indexed by id, name, address and service.
type Announcements struct {
	byID         *cow.Map[string, *wire.Announcement]
	byName       *cow.Map[string, []string]
	byAddress    *cow.Map[string, []string]
	inheriting   *cow.Map[string, bool] // ids with Heir set
	draining     *cow.Map[string, bool] // ids with Leaving set
	cachedCounts *cow.Map[string, int]  // number of servers that have a model cached, by model
	byService    *cow.Map[serviceID, *wire.Announcement]
	byVersion    *cow.Map[ServiceVersion, int] // number of servers
	removed      []ServiceVersion              // versions that lost their last server since takeRemoved was called
}

// serviceID identifies a server of a service.
type serviceID struct{ service, id string }

func compareServices(a, b serviceID) int {
	return cmp.Or(strings.Compare(a.service, b.service), strings.Compare(a.id, b.id))
}

func newAnnouncements() *Announcements {
	return &Announcements{cow.New[string, *wire.Announcement](), cow.New[string, []string](), cow.New[string, []string](), cow.New[string, bool](), cow.New[string, bool](), cow.New[string, int](), cow.NewFunc[serviceID, *wire.Announcement](compareServices), cow.NewFunc[ServiceVersion, int](compareVersions), nil}
}

// Get returns the announcement of an id, or nil.
func (a *Announcements) Get(id string) *wire.Announcement { return a.byID.Get(id) }

// Len returns the number of announcements.
func (a *Announcements) Len() int { return a.byID.Len() }

// All iterates over the announcements in the order of ids.
func (a *Announcements) All() iter.Seq2[string, *wire.Announcement] { return a.byID.All() }

// ByService iterates over the announcements of a service in the order of ids.
func (a *Announcements) ByService(service string) iter.Seq2[string, *wire.Announcement] {
	return func(yield func(string, *wire.Announcement) bool) {
		for key, announcement := range a.byService.From(serviceID{service: service}) {
			if key.service != service || !yield(key.id, announcement) {
				return
			}
		}
	}
}

// ByAddress returns the ids at an address.
func (a *Announcements) ByAddress(address string) []string { return a.byAddress.Get(address) }

// Incarnations returns the ids of the incarnations of a name.
func (a *Announcements) Incarnations(name string) []string { return a.byName.Get(name) }

// WithInheritedOrders returns the ids of servers that started while an order to their previous incarnation was open.
func (a *Announcements) WithInheritedOrders() []string { return setIDs(a.inheriting) }

// Draining returns the ids of draining servers.
func (a *Announcements) Draining() []string { return setIDs(a.draining) }

func setIDs(set *cow.Map[string, bool]) (ids []string) {
	for id := range set.All() {
		ids = append(ids, id)
	}
	return ids
}

func setMark(set *cow.Map[string, bool], id string, marked bool) {
	switch {
	case marked:
		set.Set(id, true)
	case set.Get(id):
		set.Delete(id)
	}
}

// Set stores the announcement of an id.
func (a *Announcements) Set(id string, next *wire.Announcement) {
	a.updateCachedCounts(a.byID.Get(id), next)
	a.updateVersionCounts(a.byID.Get(id), next)
	a.unlink(id, next)
	a.byID.Set(id, next)
	if next.Name != "" {
		addID(a.byName, next.Name, id)
	}
	addID(a.byAddress, next.Address, id)
	setMark(a.inheriting, id, next.Heir)
	setMark(a.draining, id, next.Leaving)
	a.byService.Set(serviceID{next.Service, id}, next)
}

// Delete removes an id.
func (a *Announcements) Delete(id string) {
	a.updateCachedCounts(a.byID.Get(id), nil)
	a.updateVersionCounts(a.byID.Get(id), nil)
	a.unlink(id, &wire.Announcement{})
	a.byID.Delete(id)
	setMark(a.inheriting, id, false)
	setMark(a.draining, id, false)
}

// CachedCount returns the number of servers that have a model cached.
func (a *Announcements) CachedCount(model string) int { return a.cachedCounts.Get(model) }

// updateCachedCounts replaces the cached models of a server's old announcement by those of the next.
func (a *Announcements) updateCachedCounts(old, next *wire.Announcement) {
	if slices.Equal(old.GetAtHand(), next.GetAtHand()) {
		return
	}
	for _, model := range old.GetAtHand() {
		if n := a.cachedCounts.Get(model); n > 1 {
			a.cachedCounts.Set(model, n-1)
		} else {
			a.cachedCounts.Delete(model)
		}
	}
	for _, model := range next.GetAtHand() {
		a.cachedCounts.Set(model, a.cachedCounts.Get(model)+1)
	}
}

// unlink removes an id from the indexes whose key differs in its next announcement.
func (a *Announcements) unlink(id string, next *wire.Announcement) {
	old := a.byID.Get(id)
	if old == nil {
		return
	}
	if next.Name != old.Name {
		removeID(a.byName, old.Name, id)
	}
	if next.Address != old.Address {
		removeID(a.byAddress, old.Address, id)
	}
	if next.Service != old.Service {
		a.byService.Delete(serviceID{old.Service, id})
	}
}

func addID(index *cow.Map[string, []string], key, id string) {
	if ids := index.Get(key); !slices.Contains(ids, id) {
		index.Set(key, append(slices.Clip(ids), id))
	}
}

func removeID(index *cow.Map[string, []string], key, id string) {
	remaining := slices.DeleteFunc(slices.Clone(index.Get(key)), func(other string) bool { return other == id })
	if len(remaining) == 0 {
		index.Delete(key)
		return
	}
	index.Set(key, remaining)
}

func (a *Announcements) clone() *Announcements {
	return &Announcements{a.byID.Clone(), a.byName.Clone(), a.byAddress.Clone(), a.inheriting.Clone(), a.draining.Clone(), a.cachedCounts.Clone(), a.byService.Clone(), a.byVersion.Clone(), nil}
}
