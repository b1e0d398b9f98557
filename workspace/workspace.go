// Package workspace determines which workspace a request belongs to, whether it may run, and how urgent it is. It also
// defines the quotas of workspaces, which hold for all boxes together.
//
// Rules:
//
//  1. If a fleet has workspaces, a request must present exactly one key, which must belong to a workspace. Only a public
//     route serves a request without one. A key that is empty, presented twice, too long or of arbitrary bytes gets the
//     same answer as an unknown key.
//  2. Keys are stored only as digests. The lookup uses the digest of what the caller sent, so its duration reveals
//     nothing about existing keys.
//  3. A key belongs to one workspace. A file in which two workspaces hold the same key is refused.
//  4. A request is authorized when it arrives. Running requests are finished.
//  5. The urgency of a workspace takes precedence over that of the request.
//  6. A request weighs one, or its tokens: those of the prompt plus the maximum of output tokens. A count that is
//     negative or not a number is treated as missing (quota.go).
//  7. In any window a workspace is served no more than its rate over that window, its burst, and the tolerance that
//     operators allow (package rate). The weight of a request that ends without having run is released.
package workspace

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("workspace")

// Workspace is a customer of the system, with its keys, urgency and quota.
type Workspace struct {
	Name string
	Keys []Digest
	// Urgency takes precedence over that of the request, 0 is the highest (5).
	Urgency int
	Quota   Quota
	// Regions are the regions that may serve its requests; empty means any.
	Regions []string
}

// Registry looks up the workspaces of a fleet. A nil Registry is that of a fleet without workspaces, which requires no
// keys.
type Registry struct {
	byKey  map[Digest]*Workspace
	byName map[string]*Workspace
}

// KeyConflict is a key that two workspaces hold (3).
type KeyConflict struct {
	Key           Digest
	First, Second string // workspace names
}

func (c KeyConflict) String() string {
	return fmt.Sprintf("key %s is held by %s and by %s", c.Key, c.First, c.Second)
}

// NewRegistry returns a registry of workspaces with distinct names, nil for an empty list, and the key conflicts. With
// conflicts, the list must be refused.
func NewRegistry(list []*Workspace) (*Registry, []KeyConflict) {
	if len(list) == 0 {
		return nil, nil
	}
	r := &Registry{byKey: map[Digest]*Workspace{}, byName: map[string]*Workspace{}}
	var conflicts []KeyConflict
	for _, w := range list {
		r.byName[w.Name] = w
		for _, k := range w.Keys {
			if other := r.byKey[k]; other != nil && other != w {
				conflicts = append(conflicts, KeyConflict{k, other.Name, w.Name})
			}
			r.byKey[k] = w
		}
	}
	return r, conflicts
}

// Authorize returns the workspace of a request that presents the given keys, nil if it presents no valid key; ok
// reports whether the request may run (1).
func (r *Registry) Authorize(keys []string, public bool) (w *Workspace, ok bool) {
	if r == nil {
		return nil, true
	}
	if len(keys) == 1 {
		w = r.lookup(keys[0])
	}
	return w, w != nil || public
}

// lookup returns the workspace of a key by the key's digest, nil if there is none or the key's length is invalid (2).
func (r *Registry) lookup(key string) *Workspace {
	if len(key) == 0 || len(key) > MaxKeyLength {
		return nil
	}
	return r.byKey[DigestOf(key)]
}

// ByName returns the workspace with the given name, nil if there is none.
func (r *Registry) ByName(name string) *Workspace {
	if r == nil {
		return nil
	}
	return r.byName[name]
}

// All returns the workspaces sorted by name.
func (r *Registry) All() []*Workspace {
	if r == nil {
		return nil
	}
	return slices.SortedFunc(maps.Values(r.byName), func(x, y *Workspace) int { return cmp.Compare(x.Name, y.Name) })
}

const (
	// urgencyLevels is the number of urgency levels that a server distinguishes. The requests of one workspace may use
	// requestUrgencyLevels of them.
	urgencyLevels        = 10
	requestUrgencyLevels = 3
)

// RequestUrgency returns the urgency of a request of a workspace, from 0, the highest, to 9. The parameter is the
// request's own urgency (5), which alone counts if there is no workspace.
func (w *Workspace) RequestUrgency(request int) int {
	if w == nil {
		return min(max(request, 0), urgencyLevels-1)
	}
	own := min(max(request, 0), requestUrgencyLevels-1)
	return min(max(w.Urgency, 0)*requestUrgencyLevels+own, urgencyLevels-1)
}
