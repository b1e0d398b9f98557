package admin

import (
	"fmt"
	"strings"

	"leverdrum/rate"
	"leverdrum/workspace"
)

// explainWorkspace describes the keys of a workspace, its limit, and this box's share of the quota. It returns nil if
// there is no workspace of the name.
func (a *Admin) explainWorkspace(name string) []string {
	f := a.opts.View().Fleet
	if f == nil {
		return nil
	}
	w := f.Workspaces.ByName(name)
	if w == nil {
		return nil
	}
	digests := make([]string, len(w.Keys))
	for i, k := range w.Keys {
		digests[i] = k.String()
	}
	lines := []string{fmt.Sprintf("workspace with urgency %d, accessed by keys with digests %s", w.Urgency, strings.Join(digests, " "))}
	if !w.Quota.Limit().Bounded() {
		return append(lines, "no limit")
	}
	lines = append(lines, fmt.Sprintf("limit: %.0f %s per second with a burst of %.0f, over all boxes", w.Quota.Rate, w.Quota.Unit, w.Quota.Burst))
	if a.opts.QuotaStatus == nil {
		return lines
	}
	return append(lines, quotaStatusLine(w, a.opts.QuotaStatus))
}

func quotaStatusLine(w *workspace.Workspace, lookup func(rate.Key) (rate.LimitStatus, bool)) string {
	s, served := lookup(rate.Key{Name: w.Name})
	if !served {
		return "not recently served by this box"
	}
	line := fmt.Sprintf("this box: demand %.0f %s per second, balance %.0f", s.Demand, w.Quota.Unit, s.Balance)
	switch {
	case s.Isolated:
		line += "; no box answers it, so it only has its own share"
	case s.Exhausted:
		line += "; the quota is exhausted"
	}
	return line
}
