package admin

import (
	"fmt"
	"strings"

	"leverdrum/rate"
	"leverdrum/workspace"
)

// explainWorkspace says whose keys open a workspace, what it may use, and what this box has of that; nil where there
// is no workspace of the name.
func (a *Admin) explainWorkspace(name string) []string {
	f := a.opts.View().Fleet
	if f == nil {
		return nil
	}
	w := f.Workspaces.ByName(name)
	if w == nil {
		return nil
	}
	shown := make([]string, len(w.Keys))
	for i, k := range w.Keys {
		shown[i] = k.String()
	}
	lines := []string{fmt.Sprintf("workspace of urgency %d, opened by the keys with digests %s", w.Urgency, strings.Join(shown, " "))}
	if !w.Quota.Limit().Bounded() {
		return append(lines, "no limit")
	}
	lines = append(lines, fmt.Sprintf("limit: %.0f %s a second and a burst of %.0f, over all boxes", w.Quota.Rate, w.Quota.Unit, w.Quota.Burst))
	if a.opts.QuotaStatus == nil {
		return lines
	}
	return append(lines, standingLine(w, a.opts.QuotaStatus))
}

func standingLine(w *workspace.Workspace, of func(rate.Key) (rate.LimitStatus, bool)) string {
	s, served := of(rate.Key{Name: w.Name})
	if !served {
		return "not served by this box lately"
	}
	line := fmt.Sprintf("this box: asked for %.0f %s a second, may spend %.0f now", s.Demand, w.Quota.Unit, s.Balance)
	switch {
	case s.Isolated:
		line += "; no box answers it, so it has its own part only"
	case s.Exhausted:
		line += "; the quota is used"
	}
	return line
}
