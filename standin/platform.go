package standin

import (
	"encoding/json"
	"net/http"
	"sync"

	"leverdrum/platform"
)

// Platform is the platform's list. PUT replaces it. It implements http.Handler.
type Platform struct {
	mu   sync.Mutex
	list []platform.Machine
}

// NewPlatform returns an empty list.
func NewPlatform() *Platform { return &Platform{list: []platform.Machine{}} }

// Replace replaces the list.
func (p *Platform) Replace(list []platform.Machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = list
}

// ServeHTTP serves the list.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Method == http.MethodGet {
		answerJSON(w, http.StatusOK, p.list)
		return
	}
	var list []platform.Machine
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.list = list
}
