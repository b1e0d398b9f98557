package story

import (
	"cmp"
	"fmt"
	"io"
	"slices"
)

// Workspace counts the requests of a workspace that were not in time, by cause.
type Workspace struct {
	Name     string  `json:"name"`
	Requests int     `json:"requests"`
	Causes   []Count `json:"causes"`
}

// addWorkspace adds n requests to the causes of a workspace; name is "" for none.
func addWorkspace(workspaces map[string]map[string]int, name, cause string, n int) {
	if name == "" {
		return
	}
	if workspaces[name] == nil {
		workspaces[name] = map[string]int{}
	}
	workspaces[name][cause] += n
}

// sortedWorkspaces returns the workspaces, the one with the most requests first.
func sortedWorkspaces(workspaces map[string]map[string]int) []Workspace {
	list := make([]Workspace, 0, len(workspaces))
	for name, causes := range workspaces {
		w := Workspace{Name: name, Causes: sortedCounts(causes)}
		for _, c := range w.Causes {
			w.Requests += c.Requests
		}
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b Workspace) int {
		return cmp.Or(cmp.Compare(b.Requests, a.Requests), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// maxPrintedCauses bounds the causes that are printed for a workspace.
const maxPrintedCauses = 3

func printWorkspaces(w io.Writer, list []Workspace) {
	if len(list) == 0 {
		return
	}
	fmt.Fprintln(w, "\nby workspace, with the most frequent causes")
	for _, ws := range list[:min(len(list), maxPrintedRows)] {
		fmt.Fprintf(w, "%8d  %s\n", ws.Requests, ws.Name)
		for _, c := range ws.Causes[:min(len(ws.Causes), maxPrintedCauses)] {
			fmt.Fprintf(w, "%12s%8d  %s\n", "", c.Requests, c.Name)
		}
	}
}
