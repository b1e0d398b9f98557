package meter

import "sync"

const (
	// namesMost is how many workspaces have counters of their own: each takes some 200 bytes a counter.
	namesMost = 1000
	// otherNames stands for the rest.
	otherNames = "others"
)

// names are the first so many names that came.
type names struct {
	most int

	mu  sync.Mutex
	set map[string]bool
}

func newNames(most int) *names { return &names{most: most, set: map[string]bool{}} }

// of returns the name, or what stands for the rest.
func (n *names) of(name string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.set[name] {
		return name
	}
	if len(n.set) >= n.most {
		return otherNames
	}
	n.set[name] = true
	return name
}

// CountWorkspace counts a request of a workspace that ended with an outcome: a reason's code, or Borne.
func (m *Meters) CountWorkspace(workspace, outcome string) {
	m.Count(WorkspaceRequests, m.named.of(workspace), outcome).Inc()
}

// The outcomes of requests that a limit bore, and of those that it did not.
const (
	Permitted = "borne"
	Denied    = "not-borne"
)
