package placement

import (
	"cmp"
	"slices"

	"leverdrum/fleet"
	"leverdrum/wire"
)

// repackTries bounds the accelerators that are looked at for one model, those
// that lack the least room first.
const repackTries = 32

// shift is one copy that is to stand elsewhere.
type shift struct {
	model *fleet.Model
	to    *accelerator
}

// repack is rule 8. It reports whether room is being made for the model.
func (p *planner) repack(m *fleet.Model) bool {
	if p.shiftsUnderWay(m) {
		return true
	}
	var best []shift
	for _, a := range p.closest(m) {
		shifts, ok := p.shiftsFrom(a, int64(m.Footprint())-a.free)
		if ok && (best == nil || bytesOf(shifts) < bytesOf(best)) {
			best = shifts
		}
	}
	for _, s := range best {
		if p.mayLoad() {
			p.load(s.model, s.to, "stands in the way of "+m.Name)
		}
	}
	return best != nil
}

func bytesOf(list []shift) (sum uint64) {
	for _, s := range list {
		sum += s.model.Footprint()
	}
	return sum
}

// shiftsUnderWay reports whether some accelerator will have room for the model
// once copies that are coming elsewhere can be spared there.
func (p *planner) shiftsUnderWay(m *fleet.Model) bool {
	for _, a := range p.accs {
		if a.models[m.Name] || !m.MayRunOn(a.server) || a.unusable {
			continue
		}
		room := a.free
		for name := range a.models {
			if other := p.fleet.Models[name]; other != nil && len(p.serving(other)) > p.least(other) {
				room += int64(other.Footprint())
			}
		}
		if room >= int64(m.Footprint()) {
			return true
		}
	}
	return false
}

// closest returns the accelerators that lack the least room for the model.
func (p *planner) closest(m *fleet.Model) []*accelerator {
	var list []*accelerator
	for _, a := range p.accs {
		if p.mayHold(m, a) {
			list = append(list, a)
		}
	}
	slices.SortStableFunc(list, func(a, b *accelerator) int { return cmp.Compare(b.free, a.free) })
	return list[:min(len(list), repackTries)]
}

// shiftsFrom returns shifts of copies off an accelerator so that so many bytes
// become free: one copy if one is enough, else the largest first.
func (p *planner) shiftsFrom(a *accelerator, bytes int64) ([]shift, bool) {
	models := p.movable(a)
	for _, m := range models {
		if to := p.elsewhere(m, a, nil); int64(m.Footprint()) >= bytes && to != nil {
			return []shift{{m, to}}, true
		}
	}
	var shifts []shift
	for _, m := range slices.Backward(models) {
		to := p.elsewhere(m, a, shifts)
		if to == nil {
			continue
		}
		shifts = append(shifts, shift{m, to})
		if bytes -= int64(m.Footprint()); bytes <= 0 {
			return shifts, true
		}
	}
	return nil, false
}

// movable returns the models with a ready copy on an accelerator, about which no
// order is open, the smallest first.
func (p *planner) movable(a *accelerator) []*fleet.Model {
	var list []*fleet.Model
	for name := range a.models {
		m := p.fleet.Models[name]
		if m == nil || !p.settled(m, a) {
			continue
		}
		ready := func(c copyOf) bool { return c.acc == a && c.resident.Phase == wire.Phase_PHASE_READY }
		if slices.ContainsFunc(p.serving(m), ready) {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(x, y *fleet.Model) int {
		return cmp.Or(cmp.Compare(x.Footprint(), y.Footprint()), cmp.Compare(x.Name, y.Name))
	})
	return list
}

// elsewhere returns the accelerator with the least room that takes the model
// besides what is to be shifted there already.
func (p *planner) elsewhere(m *fleet.Model, not *accelerator, shifts []shift) *accelerator {
	var best *accelerator
	for _, a := range p.accs {
		if a == not || !p.fits(m, a) || best != nil && a.free >= best.free {
			continue
		}
		room := a.free
		for _, s := range shifts {
			if s.to == a {
				room -= int64(s.model.Footprint())
			}
		}
		if room >= int64(m.Footprint()) {
			best = a
		}
	}
	return best
}
