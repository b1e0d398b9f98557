package ledger

import (
	"cmp"
	"iter"
	"slices"
	"strings"

	"leverdrum/internal/cow"
	"leverdrum/wire"
)

// Residents are what stands where, found by server and by item. What stands at a place names it: there is no key beside it,
// since a box of a large fleet holds tens of thousands.
type Residents struct {
	// shelves are what stands on each server, in the order of places. They are replaced, not changed.
	shelves *cow.Map[string, []*wire.Resident]
	items   *cow.Map[itemKey, *cow.Map[copyKey, *wire.Resident]]
	count   int
}

// itemKey names a model, or an adapter of it, in whatever version.
type itemKey struct{ model, adapter string }

// copyKey names a copy of an item.
type copyKey struct {
	server      string
	accelerator uint32
	version     string
}

func compareItems(a, b itemKey) int {
	return cmp.Or(strings.Compare(a.model, b.model), strings.Compare(a.adapter, b.adapter))
}

func compareCopies(a, b copyKey) int {
	if c := strings.Compare(a.server, b.server); c != 0 {
		return c
	}
	return cmp.Or(cmp.Compare(a.accelerator, b.accelerator), strings.Compare(a.version, b.version))
}

// CompareLocations orders places by server first.
func CompareLocations(a, b Location) int {
	if c := strings.Compare(a.Server, b.Server); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Accelerator, b.Accelerator); c != 0 {
		return c
	}
	return cmp.Or(strings.Compare(a.Model, b.Model), strings.Compare(a.Adapter, b.Adapter), strings.Compare(a.Version, b.Version))
}

// NewResidents returns none.
func NewResidents() *Residents {
	return &Residents{shelves: cow.New[string, []*wire.Resident](), items: cow.NewFunc[itemKey, *cow.Map[copyKey, *wire.Resident]](compareItems)}
}

// find returns where a place is, or would be, on a shelf.
func find(shelf []*wire.Resident, p Location) (int, bool) {
	return slices.BinarySearchFunc(shelf, p, func(r *wire.Resident, p Location) int { return CompareLocations(ResidentLocation(r), p) })
}

// Get returns what stands at a place, nil for nothing.
func (r *Residents) Get(p Location) *wire.Resident {
	shelf := r.shelves.Get(p.Server)
	if i, ok := find(shelf, p); ok {
		return shelf[i]
	}
	return nil
}

// Put puts an item at its place.
func (r *Residents) Put(resident *wire.Resident) {
	p := ResidentLocation(resident)
	shelf := slices.Clone(r.shelves.Get(p.Server))
	if i, ok := find(shelf, p); ok {
		shelf[i] = resident
	} else {
		shelf = slices.Insert(shelf, i, resident)
		r.count++
	}
	r.shelves.Set(p.Server, slices.Clip(shelf))
	key := itemKey{p.Model, p.Adapter}
	copies := cow.NewFunc[copyKey, *wire.Resident](compareCopies)
	if known := r.items.Get(key); known != nil {
		copies = known.Clone()
	}
	copies.Set(copyKey{p.Server, p.Accelerator, p.Version}, resident)
	r.items.Set(key, copies)
}

// Delete clears a place.
func (r *Residents) Delete(p Location) {
	shelf := r.shelves.Get(p.Server)
	i, ok := find(shelf, p)
	if !ok {
		return
	}
	r.count--
	if len(shelf) == 1 {
		r.shelves.Delete(p.Server)
	} else {
		r.shelves.Set(p.Server, slices.Delete(slices.Clone(shelf), i, i+1))
	}
	key := itemKey{p.Model, p.Adapter}
	copies := r.items.Get(key).Clone()
	copies.Delete(copyKey{p.Server, p.Accelerator, p.Version})
	if copies.Len() == 0 {
		r.items.Delete(key)
		return
	}
	r.items.Set(key, copies)
}

// Len returns how many there are.
func (r *Residents) Len() int { return r.count }

// All goes over them in the order of places.
func (r *Residents) All() iter.Seq2[Location, *wire.Resident] {
	return func(yield func(Location, *wire.Resident) bool) {
		for _, shelf := range r.shelves.All() {
			for _, resident := range shelf {
				if !yield(ResidentLocation(resident), resident) {
					return
				}
			}
		}
	}
}

// ByServer goes over what stands on a server.
func (r *Residents) ByServer(server string) iter.Seq2[Location, *wire.Resident] {
	return func(yield func(Location, *wire.Resident) bool) {
		for _, resident := range r.shelves.Get(server) {
			if !yield(ResidentLocation(resident), resident) {
				return
			}
		}
	}
}

// ByItem goes over the places of a model, or of an adapter of it, in whatever version, by server.
func (r *Residents) ByItem(model, adapter string) iter.Seq2[Location, *wire.Resident] {
	return func(yield func(Location, *wire.Resident) bool) {
		copies := r.items.Get(itemKey{model, adapter})
		if copies == nil {
			return
		}
		for _, resident := range copies.All() {
			if !yield(ResidentLocation(resident), resident) {
				return
			}
		}
	}
}

// Clear clears the places of a server for which a condition holds; nil: all of them.
func (r *Residents) Clear(server string, which func(Location) bool) {
	for _, resident := range r.shelves.Get(server) {
		if p := ResidentLocation(resident); which == nil || which(p) {
			r.Delete(p)
		}
	}
}

// Clone returns a copy that does not change with the original.
func (r *Residents) Clone() *Residents {
	return &Residents{r.shelves.Clone(), r.items.Clone(), r.count}
}
