package box

import (
	"time"

	"leverdrum/level"
)

// serverSlowness returns the factor by which each server takes longer than the average one, by id, or
// nil where boxes do not share load.
func serverSlowness(p *components) map[string]float64 {
	view := p.replica.View()
	if p.sharer == nil || view.Fleet == nil || view.Level < level.SharedLoad {
		return nil
	}
	var slowness map[string]float64
	for id, a := range view.Announcements.All() {
		if !p.sharer.Active(a.Service) {
			continue
		}
		if slowness == nil {
			slowness = map[string]float64{}
		}
		slowness[id] = p.sharer.Slowness(id)
	}
	return slowness
}

// failingServers returns the servers that are judged failing, by id, and for how long; nil where boxes do not share load.
func failingServers(p *components) map[string]time.Duration {
	if view := p.replica.View(); view.Fleet == nil || view.Level < level.SharedLoad {
		return nil
	}
	return p.sharer.Failing()
}
