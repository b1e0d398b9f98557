package standin

import (
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"leverdrum/engine"
)

// ServiceStats is what the service itself saw.
type ServiceStats struct {
	// Runs counts executions by key, or by request id where there is no key.
	Runs map[string]int `json:"ran"`
}

// ServiceResponse is the only right answer of a service to a call.
type ServiceResponse struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"`
	Key     string `json:"key"`
	// Run counts the executions under the key so far.
	Run int `json:"run"`
}

// Service is a plain service. It implements http.Handler.
type Service struct {
	faults
	name      string
	keyHeader string
	took      time.Duration

	mu  sync.Mutex
	ran map[string]int
}

func serviceFlags(f *flag.FlagSet) func() http.Handler {
	name := f.String("name", "service", "name in answers")
	key := f.String("key-header", "Idempotency-Key", "header with the key")
	took := f.Duration("time", time.Millisecond, "time of one call")
	said := selfFlags(f)
	return func() http.Handler {
		s := NewService(*name, *key, *took)
		s.SetFaults(*said)
		return s
	}
}

// NewService returns a service.
func NewService(name, keyHeader string, took time.Duration) *Service {
	return &Service{name: name, keyHeader: keyHeader, took: took, ran: map[string]int{}}
}

// Stats returns what the service saw so far.
func (s *Service) Stats() ServiceStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := ServiceStats{Runs: make(map[string]int, len(s.ran))}
	for k, v := range s.ran {
		a.Runs[k] = v
	}
	return a
}

// ServeHTTP runs a call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case FaultsPath:
		s.handle(w, r)
		return
	case AccountPath:
		answerJSON(w, http.StatusOK, s.Stats())
		return
	}
	f := s.next()
	f.speak(w)
	if f.refuses() {
		w.Header().Set(engine.HeaderNotRun, "true")
		http.Error(w, "not run", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	answer := s.run(r, body)
	time.Sleep(s.took + time.Duration(f.DelayMs)*time.Millisecond)
	if f.DisconnectBeforeResponse {
		breakOff()
	}
	w.Header().Set(engine.HeaderAttemptID, r.Header.Get(engine.HeaderAttemptID))
	if f.Status != 0 {
		http.Error(w, "failed", f.Status)
		return
	}
	answerJSON(w, http.StatusOK, answer)
}

func (s *Service) run(r *http.Request, body []byte) ServiceResponse {
	key := r.Header.Get(s.keyHeader)
	if key == "" {
		key, _, _ = strings.Cut(r.Header.Get(engine.HeaderAttemptID), ".")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ran[key]++
	return ServiceResponse{s.name, r.Method, r.URL.RequestURI(), string(body), key, s.ran[key]}
}

// Store is the weight store. It implements http.Handler.
type Store struct {
	took  time.Duration
	every time.Duration
	slots chan struct{}
	mu    sync.Mutex
	next  time.Time
}

// NewStore returns a store that begins rate loads a second and serves atOnce of
// them at full speed.
func NewStore(rate float64, atOnce int, took time.Duration) *Store {
	return &Store{took: took, every: time.Duration(float64(time.Second) / rate), slots: make(chan struct{}, atOnce)}
}

// ServeHTTP serves one load when its turn has come.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	s.mu.Lock()
	now := time.Now()
	at := s.next
	if at.Before(now) {
		at = now
	}
	s.next = at.Add(s.every)
	s.mu.Unlock()
	time.Sleep(time.Until(at) + s.took)
	fmt.Fprintln(w, "weights of", r.URL.Path)
}
