package meter

import "sync"

const (
	// maxNames is the number of workspaces with their own counters. Each takes about 200 bytes per counter.
	maxNames = 1000
	// otherNames is the label for all other workspaces.
	otherNames = "others"
	// maxLateNames and otherLateNames are the same for requests that were late.
	maxLateNames   = 64
	otherLateNames = "other"
)

// names is the set of the first names seen, up to a limit.
type names struct {
	limit int
	other string // for the names beyond the limit

	mu  sync.Mutex
	set map[string]bool
}

func newNames(limit int, other string) *names {
	return &names{limit: limit, other: other, set: map[string]bool{}}
}

// resolve returns the name, or the label for others if the set is full and lacks it.
func (n *names) resolve(name string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.set[name] {
		return name
	}
	if len(n.set) >= n.limit {
		return n.other
	}
	n.set[name] = true
	return name
}

// CountWorkspace counts a request of a workspace that ended with an outcome: a reason code, or Permitted.
func (m *Meters) CountWorkspace(workspace, outcome string) {
	m.Count(WorkspaceRequests, m.workspaceNames.resolve(workspace), outcome).Inc()
}

// Outcomes of requests that a limit permitted or denied.
const (
	Permitted = "borne"
	Denied    = "not-borne"
)
