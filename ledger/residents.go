package ledger

import (
	"cmp"
	"iter"
	"strings"

	"leverdrum/internal/cow"
	"leverdrum/wire"
)

// Residents are what stands where, found by server and by item.
type Residents struct {
	places *cow.Map[Place, *wire.Resident] // by server first
	items  *cow.Map[Place, *wire.Resident] // by model and adapter first
}

// NewResidents returns none.
func NewResidents() *Residents {
	return &Residents{cow.NewFunc[Place, *wire.Resident](ComparePlaces), cow.NewFunc[Place, *wire.Resident](compareItems)}
}

// ComparePlaces orders places by server first.
func ComparePlaces(a, b Place) int {
	if c := strings.Compare(a.Server, b.Server); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Accelerator, b.Accelerator); c != 0 {
		return c
	}
	return cmp.Or(strings.Compare(a.Model, b.Model), strings.Compare(a.Adapter, b.Adapter), strings.Compare(a.Version, b.Version))
}

// compareItems orders places by model and adapter first.
func compareItems(a, b Place) int {
	if c := strings.Compare(a.Model, b.Model); c != 0 {
		return c
	}
	if c := strings.Compare(a.Adapter, b.Adapter); c != 0 {
		return c
	}
	return ComparePlaces(a, b)
}

// Get returns what stands at a place, nil for nothing.
func (r *Residents) Get(p Place) *wire.Resident { return r.places.Get(p) }

// Set puts an item at a place.
func (r *Residents) Set(p Place, resident *wire.Resident) {
	r.places.Set(p, resident)
	r.items.Set(p, resident)
}

// Put puts an item at its place.
func (r *Residents) Put(resident *wire.Resident) { r.Set(PlaceOfResident(resident), resident) }

// Delete clears a place.
func (r *Residents) Delete(p Place) {
	r.places.Delete(p)
	r.items.Delete(p)
}

// Len returns how many there are.
func (r *Residents) Len() int { return r.places.Len() }

// All goes over them in the order of places.
func (r *Residents) All() iter.Seq2[Place, *wire.Resident] { return r.places.All() }

// On goes over what stands on a server.
func (r *Residents) On(server string) iter.Seq2[Place, *wire.Resident] {
	return func(yield func(Place, *wire.Resident) bool) {
		for p, resident := range r.places.From(Place{Server: server}) {
			if p.Server != server || !yield(p, resident) {
				return
			}
		}
	}
}

// Of goes over the places of a model, or of an adapter of it, in whatever version.
func (r *Residents) Of(model, adapter string) iter.Seq2[Place, *wire.Resident] {
	return func(yield func(Place, *wire.Resident) bool) {
		for p, resident := range r.items.From(Place{Model: model, Adapter: adapter}) {
			if p.Model != model || p.Adapter != adapter || !yield(p, resident) {
				return
			}
		}
	}
}

// Clear clears the places of a server for which a condition holds; nil: all of them.
func (r *Residents) Clear(server string, which func(Place) bool) {
	var places []Place
	for p := range r.On(server) {
		if which == nil || which(p) {
			places = append(places, p)
		}
	}
	for _, p := range places {
		r.Delete(p)
	}
}

// Clone returns a copy that does not change with the original.
func (r *Residents) Clone() *Residents { return &Residents{r.places.Clone(), r.items.Clone()} }
