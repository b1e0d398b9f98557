package ledger

import (
	"cmp"
	"iter"
	"slices"
	"strings"

	"leverdrum/internal/cow"
	"leverdrum/wire"
)

// Residents are the resident items, indexed by server and by item. An entry contains its location, and no separate key is
// stored: a box of a large fleet holds tens of thousands of entries.
type Residents struct {
	// byServer holds the items on each server, sorted by location. The slices are replaced, never modified.
	byServer *cow.Map[string, []*wire.Resident]
	byItem   *cow.Map[itemKey, *cow.Map[copyKey, *wire.Resident]]
	count    int
}

// itemKey identifies a model, or an adapter of it, in any version.
type itemKey struct{ model, adapter string }

// copyKey identifies a copy of an item.
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

// CompareLocations compares locations by server, then accelerator, model, adapter and version.
func CompareLocations(a, b Location) int {
	if c := strings.Compare(a.Server, b.Server); c != 0 {
		return c
	}
	if c := cmp.Compare(a.Accelerator, b.Accelerator); c != 0 {
		return c
	}
	return cmp.Or(strings.Compare(a.Model, b.Model), strings.Compare(a.Adapter, b.Adapter), strings.Compare(a.Version, b.Version))
}

// NewResidents returns an empty set of residents.
func NewResidents() *Residents {
	return &Residents{byServer: cow.New[string, []*wire.Resident](), byItem: cow.NewFunc[itemKey, *cow.Map[copyKey, *wire.Resident]](compareItems)}
}

// find returns the index of a location in the sorted items of its server, or where to insert it.
func find(entries []*wire.Resident, p Location) (int, bool) {
	return slices.BinarySearchFunc(entries, p, func(r *wire.Resident, p Location) int { return CompareLocations(ResidentLocation(r), p) })
}

// Get returns the item at a location, or nil.
func (r *Residents) Get(p Location) *wire.Resident {
	entries := r.byServer.Get(p.Server)
	if i, ok := find(entries, p); ok {
		return entries[i]
	}
	return nil
}

// Put stores an item at its location.
func (r *Residents) Put(resident *wire.Resident) {
	p := ResidentLocation(resident)
	entries := slices.Clone(r.byServer.Get(p.Server))
	if i, ok := find(entries, p); ok {
		entries[i] = resident
	} else {
		entries = slices.Insert(entries, i, resident)
		r.count++
	}
	r.byServer.Set(p.Server, slices.Clip(entries))
	key := itemKey{p.Model, p.Adapter}
	copies := cow.NewFunc[copyKey, *wire.Resident](compareCopies)
	if known := r.byItem.Get(key); known != nil {
		copies = known.Clone()
	}
	copies.Set(copyKey{p.Server, p.Accelerator, p.Version}, resident)
	r.byItem.Set(key, copies)
}

// Delete removes the item at a location.
func (r *Residents) Delete(p Location) {
	entries := r.byServer.Get(p.Server)
	i, ok := find(entries, p)
	if !ok {
		return
	}
	r.count--
	if len(entries) == 1 {
		r.byServer.Delete(p.Server)
	} else {
		r.byServer.Set(p.Server, slices.Delete(slices.Clone(entries), i, i+1))
	}
	key := itemKey{p.Model, p.Adapter}
	copies := r.byItem.Get(key).Clone()
	copies.Delete(copyKey{p.Server, p.Accelerator, p.Version})
	if copies.Len() == 0 {
		r.byItem.Delete(key)
		return
	}
	r.byItem.Set(key, copies)
}

// Len returns the number of resident items.
func (r *Residents) Len() int { return r.count }

// All iterates over the items in the order of locations.
func (r *Residents) All() iter.Seq2[Location, *wire.Resident] {
	return func(yield func(Location, *wire.Resident) bool) {
		for _, entries := range r.byServer.All() {
			for _, resident := range entries {
				if !yield(ResidentLocation(resident), resident) {
					return
				}
			}
		}
	}
}

// ByServer iterates over the items on a server.
func (r *Residents) ByServer(server string) iter.Seq2[Location, *wire.Resident] {
	return func(yield func(Location, *wire.Resident) bool) {
		for _, resident := range r.byServer.Get(server) {
			if !yield(ResidentLocation(resident), resident) {
				return
			}
		}
	}
}

// ByItem iterates over the copies of a model, or of an adapter of it, in any version, ordered by server.
func (r *Residents) ByItem(model, adapter string) iter.Seq2[Location, *wire.Resident] {
	return func(yield func(Location, *wire.Resident) bool) {
		copies := r.byItem.Get(itemKey{model, adapter})
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

// Clear removes the items of a server for which match returns true, or all of them if match is nil.
func (r *Residents) Clear(server string, match func(Location) bool) {
	for _, resident := range r.byServer.Get(server) {
		if p := ResidentLocation(resident); match == nil || match(p) {
			r.Delete(p)
		}
	}
}

// Clone returns a copy that does not change with the original.
func (r *Residents) Clone() *Residents {
	return &Residents{r.byServer.Clone(), r.byItem.Clone(), r.count}
}
