package placement

import (
	"cmp"
	"slices"

	"leverdrum/fleet"
	"leverdrum/wire"
)

// maxRepackCandidates limits the accelerators that are tried for one model, those that miss the
// least memory first.
const maxRepackCandidates = 32

// relocation is one copy that is to be loaded elsewhere.
type relocation struct {
	model *fleet.Model
	to    *accelerator
}

// repack makes room for a model that fits on no single accelerator: it orders loads elsewhere of the
// copies that block it, choosing the accelerator where these have the fewest bytes (8). It reports
// whether room is being made for the model.
func (p *planner) repack(m *fleet.Model) bool {
	if p.relocationUnderWay(m) {
		return true
	}
	var best []relocation
	for _, a := range p.closestToFitting(m) {
		relocations, ok := p.relocationsFrom(a, int64(m.Footprint())-a.free)
		if ok && (best == nil || bytesOf(relocations) < bytesOf(best)) {
			best = relocations
		}
	}
	for _, r := range best {
		if p.mayLoad() {
			p.loadCopy(r.model, r.to, "relocated to make room for "+m.Name)
		}
	}
	return best != nil
}

func bytesOf(list []relocation) (sum uint64) {
	for _, r := range list {
		sum += r.model.Footprint()
	}
	return sum
}

// relocationUnderWay reports whether some accelerator will have enough memory for the model once
// copies there become surplus because others are loading elsewhere.
func (p *planner) relocationUnderWay(m *fleet.Model) bool {
	for _, a := range p.accs {
		if a.models[m.Name] || !m.MayRunOn(a.server) || a.unusable {
			continue
		}
		room := a.free
		for name := range a.models {
			if other := p.fleet.Models[name]; other != nil && len(p.serving(other)) > p.minCopies(other) {
				room += int64(other.Footprint())
			}
		}
		if room >= int64(m.Footprint()) {
			return true
		}
	}
	return false
}

// closestToFitting returns the accelerators that miss the least memory for the model.
func (p *planner) closestToFitting(m *fleet.Model) []*accelerator {
	var list []*accelerator
	for _, a := range p.accs {
		if p.canPlace(m, a) {
			list = append(list, a)
		}
	}
	slices.SortStableFunc(list, func(a, b *accelerator) int { return cmp.Compare(b.free, a.free) })
	return list[:min(len(list), maxRepackCandidates)]
}

// relocationsFrom returns relocations of copies off an accelerator that free so many bytes: one
// copy if one is enough, otherwise the largest first.
func (p *planner) relocationsFrom(a *accelerator, bytes int64) ([]relocation, bool) {
	models := p.relocatable(a)
	for _, m := range models {
		if target := p.relocationTarget(m, a, nil); int64(m.Footprint()) >= bytes && target != nil {
			return []relocation{{m, target}}, true
		}
	}
	var relocations []relocation
	for _, m := range slices.Backward(models) {
		target := p.relocationTarget(m, a, relocations)
		if target == nil {
			continue
		}
		relocations = append(relocations, relocation{m, target})
		if bytes -= int64(m.Footprint()); bytes <= 0 {
			return relocations, true
		}
	}
	return nil, false
}

// relocatable returns the models with a ready copy on an accelerator and without an open order
// there, the smallest first.
func (p *planner) relocatable(a *accelerator) []*fleet.Model {
	var list []*fleet.Model
	for name := range a.models {
		m := p.fleet.Models[name]
		if m == nil || !p.noOpenOrder(m, a) {
			continue
		}
		ready := func(c modelCopy) bool { return c.acc == a && c.resident.Phase == wire.Phase_PHASE_READY }
		if slices.ContainsFunc(p.serving(m), ready) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(x, y *fleet.Model) int {
		return cmp.Or(cmp.Compare(x.Footprint(), y.Footprint()), cmp.Compare(x.Name, y.Name))
	})
	return list
}

// relocationTarget returns the accelerator with the least free memory that fits the model besides
// the relocations already planned there. For a requested model the server that serves it soonest
// comes first if speeds are known (20).
func (p *planner) relocationTarget(m *fleet.Model, except *accelerator, planned []relocation) *accelerator {
	var best *accelerator
	for _, a := range p.accs {
		if a == except || !p.fits(m, a) || best != nil && !p.betterRelocation(m, a, best) {
			continue
		}
		room := a.free
		for _, r := range planned {
			if r.to == a {
				room -= int64(r.model.Footprint())
			}
		}
		if room >= int64(m.Footprint()) {
			best = a
		}
	}
	return best
}

// betterRelocation reports whether a relocation of the model to a is better than one to b.
func (p *planner) betterRelocation(m *fleet.Model, a, b *accelerator) bool {
	if p.knowsSpeeds() && p.isRequested(m) {
		if sooner := p.servesSooner(m, a, b); sooner != 0 {
			return sooner < 0
		}
	}
	return a.free < b.free
}
