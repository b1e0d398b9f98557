// Package record keeps the latest decisions of a box, so that operators can
// query what was decided and why.
package record

import (
	"sync"
	"time"
)

// Kind is the kind of a decision's subject.
type Kind string

// Kinds of decisions.
const (
	// Request decisions concern a single request. The subject is its ID.
	Request Kind = "request"
	// Model decisions concern the placement of a model or adapter. The subject is its name.
	Model Kind = "model"
	// Server decisions concern a backend server. The subject is its name.
	Server Kind = "server"
)

// Decision is a recorded decision.
type Decision struct {
	Time    time.Time `json:"time"`
	Kind    Kind      `json:"kind"`
	Subject string    `json:"about"`
	Summary string    `json:"what"`
	Reason  string    `json:"reason"`
}

// History holds the latest decisions of each kind.
type History struct {
	mu    sync.Mutex
	limit int
	rings map[Kind]*ring
}

type ring struct {
	decisions []Decision
	next      int
}

// NewHistory returns a history that keeps up to limit decisions of each kind.
func NewHistory(limit int) *History { return &History{limit: limit, rings: map[Kind]*ring{}} }

// Add records a decision.
func (h *History) Add(kind Kind, subject, summary, reason string) {
	d := Decision{time.Now(), kind, subject, summary, reason}
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.rings[kind]
	if r == nil {
		r = &ring{}
		h.rings[kind] = r
	}
	if len(r.decisions) < h.limit {
		r.decisions = append(r.decisions, d)
		return
	}
	r.decisions[r.next] = d
	r.next = (r.next + 1) % h.limit
}

// ByName returns the recorded decisions on a model, server or request, in this
// order of kinds and oldest first within each kind.
func (h *History) ByName(name string) []Decision {
	h.mu.Lock()
	defer h.mu.Unlock()
	var found []Decision
	for _, kind := range []Kind{Model, Server, Request} {
		r := h.rings[kind]
		if r == nil {
			continue
		}
		for i := range r.decisions {
			if d := r.decisions[(r.next+i)%len(r.decisions)]; d.Subject == name {
				found = append(found, d)
			}
		}
	}
	return found
}
