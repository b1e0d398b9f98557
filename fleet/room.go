package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/dustin/go-humanize"
)

// sorted returns the names of a map in order.
func sorted[T any](m map[string]*T) []string { return slices.Sorted(maps.Keys(m)) }

// SortedModels returns the models, those of high priority and size first, so
// that what is hard to place is placed first.
func (f *Fleet) SortedModels() []*Model {
	list := slices.Collect(maps.Values(f.Models))
	slices.SortFunc(list, func(a, b *Model) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(b.Footprint(), a.Footprint()), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// SortedServers returns the model servers by name.
func (f *Fleet) SortedServers() []*Server {
	var list []*Server
	for _, name := range sorted(f.Servers) {
		list = append(list, f.Servers[name])
	}
	return list
}

// slot is the room left on one accelerator.
type slot struct {
	server *Server
	free   uint64
}

// checkRoom refuses a file whose models cannot all be resident once, on the
// servers that are not leaving, and says what is short.
func (r *reader) checkRoom() {
	var slots []*slot
	for _, s := range r.fleet.SortedServers() {
		if s.Draining {
			continue
		}
		for range s.Kind.Accelerators {
			slots = append(slots, &slot{s, s.Kind.UsableMemory()})
		}
	}
	for _, m := range bySize(r.fleet) {
		if best := bestFit(slots, m); best != nil {
			best.free -= m.Footprint()
			continue
		}
		r.doc.Section("fleet").AddFault("", shortage(slots, m), "models that fit the servers' memory")
	}
}

func bySize(f *Fleet) []*Model {
	list := f.SortedModels()
	slices.SortStableFunc(list, func(a, b *Model) int { return cmp.Compare(b.Footprint(), a.Footprint()) })
	return list
}

func bestFit(slots []*slot, m *Model) *slot {
	var best *slot
	for _, s := range slots {
		if !m.MayRunOn(s.server) || s.free < m.Footprint() {
			continue
		}
		if best == nil || s.free < best.free {
			best = s
		}
	}
	return best
}

func shortage(slots []*slot, m *Model) string {
	most := uint64(0)
	for _, s := range slots {
		if m.MayRunOn(s.server) {
			most = max(most, s.free)
		}
	}
	return fmt.Sprintf("model %s cannot be resident: it takes %s with its adapters, the largest room left where it may run is %s, %s short",
		m.Name, humanize.IBytes(m.Footprint()), humanize.IBytes(most), humanize.IBytes(m.Footprint()-most))
}
