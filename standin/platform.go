package standin

import (
	"encoding/json"
	"net/http"
	"sync"

	"leverdrum/platform"
)

// Platform serves the platform's machine list; PUT replaces it. It implements http.Handler.
type Platform struct {
	mu   sync.Mutex
	list []platform.Machine
}

// NewPlatform returns a platform with an empty machine list.
func NewPlatform() *Platform { return &Platform{list: []platform.Machine{}} }

// Replace replaces the machine list.
func (p *Platform) Replace(list []platform.Machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = list
}

// ServeHTTP returns the machine list for GET and replaces it otherwise.
func (p *Platform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r.Method == http.MethodGet {
		writeJSON(w, http.StatusOK, p.list)
		return
	}
	var list []platform.Machine
	if err := json.NewDecoder(r.Body).Decode(&list); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.list = list
}
