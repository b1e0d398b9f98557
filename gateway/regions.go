package gateway

import (
	"slices"

	"leverdrum/fleet"
	"leverdrum/workspace"
)

// regions limits where a request may be served, by its route and by its workspace. Both limits
// apply.
type regions struct{ route, workspace []string }

func regionsOf(r *fleet.Route, w *workspace.Workspace) regions {
	out := regions{route: r.Regions}
	if w != nil {
		out.workspace = w.Regions
	}
	return out
}

// restricted reports whether the request may not be served in every region.
func (r regions) restricted() bool { return len(r.route)+len(r.workspace) > 0 }

// allow reports whether the request may be sent to a server.
func (r regions) allow(s *server) bool {
	return (len(r.route) == 0 || slices.Contains(r.route, s.region)) && (len(r.workspace) == 0 || slices.Contains(r.workspace, s.region))
}
