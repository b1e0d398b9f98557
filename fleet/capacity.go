package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/dustin/go-humanize"
)

// sortedNames returns the keys of a map in ascending order.
func sortedNames[T any](m map[string]*T) []string { return slices.Sorted(maps.Keys(m)) }

// SortedModels returns the models by descending priority and size, so that models
// that are hard to place come first.
func (f *Fleet) SortedModels() []*Model {
	list := slices.Collect(maps.Values(f.Models))
	slices.SortFunc(list, func(a, b *Model) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(b.Footprint(), a.Footprint()), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// SortedServers returns the model servers in the order of their names.
func (f *Fleet) SortedServers() []*Server {
	var list []*Server
	for _, name := range sortedNames(f.Servers) {
		list = append(list, f.Servers[name])
	}
	return list
}

// accelerator is the free memory of one accelerator.
type accelerator struct {
	server *Server
	free   uint64
}

// checkCapacity adds a fault for each model for which the servers that are not
// draining have no capacity for one copy, and states how much memory is missing.
func (r *reader) checkCapacity() {
	var accelerators []*accelerator
	for _, s := range r.fleet.SortedServers() {
		if s.Draining {
			continue
		}
		for range s.Kind.Accelerators {
			accelerators = append(accelerators, &accelerator{s, s.Kind.UsableMemory()})
		}
	}
	for _, m := range modelsBySize(r.fleet) {
		if best := bestFit(accelerators, m); best != nil {
			best.free -= m.Footprint()
			continue
		}
		r.doc.Section("fleet").AddFault("", shortage(accelerators, m), "models that fit into the servers' memory")
	}
}

func modelsBySize(f *Fleet) []*Model {
	list := f.SortedModels()
	slices.SortStableFunc(list, func(a, b *Model) int { return cmp.Compare(b.Footprint(), a.Footprint()) })
	return list
}

func bestFit(accelerators []*accelerator, m *Model) *accelerator {
	var best *accelerator
	for _, a := range accelerators {
		if !m.MayRunOn(a.server) || a.free < m.Footprint() {
			continue
		}
		if best == nil || a.free < best.free {
			best = a
		}
	}
	return best
}

func shortage(accelerators []*accelerator, m *Model) string {
	largest := uint64(0)
	for _, a := range accelerators {
		if m.MayRunOn(a.server) {
			largest = max(largest, a.free)
		}
	}
	return fmt.Sprintf("model %s cannot be resident: it needs %s with its adapters, the largest free memory where it may run is %s, %s short",
		m.Name, humanize.IBytes(m.Footprint()), humanize.IBytes(largest), humanize.IBytes(m.Footprint()-largest))
}
