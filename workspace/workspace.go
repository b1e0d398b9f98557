// Package workspace tells whose a request is, whether it may run, and how urgent it is; and it
// keeps what workspaces are served within their quotas, over all boxes together.
//
// Rules:
//
//  1. Where a fleet has workspaces, a request shows exactly one key, and that of a workspace. Only
//     a route that is public serves a request without. A key that is empty, shown twice, too long
//     or of any other bytes is answered like one that nobody holds.
//  2. A key is known by its digest alone. What is looked up is the digest of what the caller sent,
//     so the time it takes tells nothing of the keys that there are.
//  3. A key belongs to one workspace. A file in which two hold it is refused.
//  4. A request is judged when it arrives. What runs already is finished.
//  5. The urgency of a workspace goes before that of the request.
//  6. A request weighs one, or its tokens: those of the prompt and the most that may be produced. A
//     count that is missing, below zero or no number counts as missing (quota.go).
//  7. In any span a workspace is served no more than its rate over that span and its burst, and what
//     the operators allow beyond (package rate). A request that ends without having run gives its
//     weight back.
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

// Workspace is one customer's share of the system.
type Workspace struct {
	Name string
	Keys []Digest
	// Urgency goes before that of the request, 0 the highest (5).
	Urgency int
	Quota   Quota
	// Regions are those in which its requests may be served, none: any.
	Regions []string
}

// Registry finds the workspaces of a fleet. A nil Registry is that of a fleet without workspaces, where
// nobody needs a key.
type Registry struct {
	byKey  map[Digest]*Workspace
	byName map[string]*Workspace
}

// KeyConflict is a key that two workspaces hold (3), or one that stands twice.
type KeyConflict struct {
	Key           Digest
	First, Second string // names of workspaces
}

func (c KeyConflict) String() string {
	return fmt.Sprintf("key %s is held by %s and by %s", c.Key, c.First, c.Second)
}

// NewRegistry returns the book of a list of workspaces with names of their own, nil for an empty list,
// and the keys for which it must be refused.
func NewRegistry(list []*Workspace) (*Registry, []KeyConflict) {
	if len(list) == 0 {
		return nil, nil
	}
	b := &Registry{byKey: map[Digest]*Workspace{}, byName: map[string]*Workspace{}}
	var clashes []KeyConflict
	for _, w := range list {
		b.byName[w.Name] = w
		for _, k := range w.Keys {
			if other := b.byKey[k]; other != nil && other != w {
				clashes = append(clashes, KeyConflict{k, other.Name, w.Name})
			}
			b.byKey[k] = w
		}
	}
	return b, clashes
}

// Authorize returns the workspace of a request that shows the keys, nil for one that needs none and
// shows none that is known; ok tells whether it may run (1).
func (b *Registry) Authorize(keys []string, public bool) (w *Workspace, ok bool) {
	if b == nil {
		return nil, true
	}
	if len(keys) == 1 {
		w = b.find(keys[0])
	}
	return w, w != nil || public
}

// find is rule 2.
func (b *Registry) find(key string) *Workspace {
	if len(key) == 0 || len(key) > MaxKeyLength {
		return nil
	}
	return b.byKey[DigestOf(key)]
}

// ByName returns the workspace of a name, nil where there is none.
func (b *Registry) ByName(name string) *Workspace {
	if b == nil {
		return nil
	}
	return b.byName[name]
}

// All returns the workspaces by name.
func (b *Registry) All() []*Workspace {
	if b == nil {
		return nil
	}
	return slices.SortedFunc(maps.Values(b.byName), func(x, y *Workspace) int { return cmp.Compare(x.Name, y.Name) })
}

const (
	// urgencies is how many steps of urgency a server tells apart, and requestUrgencies how many of
	// these one workspace's requests may take.
	urgencies        = 10
	requestUrgencies = 3
)

// RequestUrgency returns the urgency of a request of a workspace, 0 the highest of ten, where request is its own (5).
// Where there is no workspace it is the request's.
func (w *Workspace) RequestUrgency(request int) int {
	if w == nil {
		return min(max(request, 0), urgencies-1)
	}
	own := min(max(request, 0), requestUrgencies-1)
	return min(max(w.Urgency, 0)*requestUrgencies+own, urgencies-1)
}
