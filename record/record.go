// Package record keeps the newest decisions of a box, so that an operator can
// ask what was decided and why.
package record

import (
	"sync"
	"time"
)

// Kind says what a decision is about.
type Kind string

// The kinds.
const (
	// Request decisions concern one request, under its id.
	Request Kind = "request"
	// Model decisions concern where a model or adapter stands, under its name.
	Model Kind = "model"
	// Server decisions concern a backend server, under its name.
	Server Kind = "server"
)

// Decision is one thing that was decided.
type Decision struct {
	Time    time.Time `json:"time"`
	Kind    Kind      `json:"kind"`
	Subject string    `json:"about"`
	Summary string    `json:"what"`
	Reason  string    `json:"reason"`
}

// History holds the newest decisions of each kind.
type History struct {
	mu    sync.Mutex
	limit int
	rings map[Kind]*ring
}

type ring struct {
	list []Decision
	next int
}

// NewHistory returns a book that keeps up to limit decisions of each kind.
func NewHistory(limit int) *History { return &History{limit: limit, rings: map[Kind]*ring{}} }

// Add writes a decision down.
func (b *History) Add(kind Kind, about, what, why string) {
	d := Decision{time.Now(), kind, about, what, why}
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.rings[kind]
	if r == nil {
		r = &ring{}
		b.rings[kind] = r
	}
	if len(r.list) < b.limit {
		r.list = append(r.list, d)
		return
	}
	r.list[r.next] = d
	r.next = (r.next + 1) % b.limit
}

// ByName returns what is remembered of a request, model or server, oldest first.
func (b *History) ByName(name string) []Decision {
	b.mu.Lock()
	defer b.mu.Unlock()
	var found []Decision
	for _, kind := range []Kind{Model, Server, Request} {
		r := b.rings[kind]
		if r == nil {
			continue
		}
		for i := range r.list {
			if d := r.list[(r.next+i)%len(r.list)]; d.Subject == name {
				found = append(found, d)
			}
		}
	}
	return found
}
