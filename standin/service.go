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

// ServiceStats counts what the service observed.
type ServiceStats struct {
	// Runs counts executions by key, or by request ID if there is no key.
	Runs map[string]int `json:"ran"`
}

// ServiceResponse is the only correct response of a service to a call.
type ServiceResponse struct {
	Service string `json:"service"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	Body    string `json:"body"`
	Key     string `json:"key"`
	// Run is the number of executions under the key so far, including this one.
	Run int `json:"run"`
}

// Service is a simulated plain service. It implements http.Handler.
type Service struct {
	faultInjector
	name      string
	keyHeader string
	callTime  time.Duration

	mu   sync.Mutex
	runs map[string]int
}

func serviceFlags(f *flag.FlagSet) func() http.Handler {
	name := f.String("name", "service", "service name in responses")
	key := f.String("key-header", "Idempotency-Key", "header that holds the key")
	callTime := f.Duration("time", time.Millisecond, "execution time per call")
	initialFaults := faultFlags(f)
	return func() http.Handler {
		s := NewService(*name, *key, *callTime)
		s.SetFaults(*initialFaults)
		return s
	}
}

func NewService(name, keyHeader string, callTime time.Duration) *Service {
	return &Service{name: name, keyHeader: keyHeader, callTime: callTime, runs: map[string]int{}}
}

// Stats returns a copy of the counters.
func (s *Service) Stats() ServiceStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := ServiceStats{Runs: make(map[string]int, len(s.runs))}
	for k, v := range s.runs {
		a.Runs[k] = v
	}
	return a
}

// ServeHTTP executes a call, sets the faults or returns the statistics.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case FaultsPath:
		s.serveFaults(w, r)
		return
	case AccountPath:
		writeJSON(w, http.StatusOK, s.Stats())
		return
	}
	f := s.nextRequest()
	f.setHeaders(w)
	w.Header().Set(engine.HeaderAttemptID, r.Header.Get(engine.HeaderAttemptID))
	if f.rejects() {
		w.Header().Set(engine.HeaderNotRun, "true")
		http.Error(w, "not run", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	response := s.run(r, body)
	time.Sleep(s.callTime + time.Duration(f.DelayMs)*time.Millisecond)
	if f.DisconnectBeforeResponse {
		abortConnection()
	}
	if f.Status != 0 {
		http.Error(w, "failed", f.Status)
		return
	}
	writeJSON(w, http.StatusOK, response)
}

func (s *Service) run(r *http.Request, body []byte) ServiceResponse {
	key := r.Header.Get(s.keyHeader)
	if key == "" {
		key, _, _ = strings.Cut(r.Header.Get(engine.HeaderAttemptID), ".")
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key]++
	return ServiceResponse{s.name, r.Method, r.URL.RequestURI(), string(body), key, s.runs[key]}
}

// Store is a simulated weight store. It implements http.Handler.
type Store struct {
	loadTime  time.Duration
	interval  time.Duration
	slots     chan struct{}
	mu        sync.Mutex
	nextStart time.Time
}

// NewStore returns a store that starts rate loads a second and serves at most concurrency of them at once, each in loadTime.
func NewStore(rate float64, concurrency int, loadTime time.Duration) *Store {
	return &Store{loadTime: loadTime, interval: time.Duration(float64(time.Second) / rate), slots: make(chan struct{}, concurrency)}
}

// ServeHTTP serves one load after it has waited for a slot and its start time.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.slots <- struct{}{}
	defer func() { <-s.slots }()
	s.mu.Lock()
	now := time.Now()
	start := s.nextStart
	if start.Before(now) {
		start = now
	}
	s.nextStart = start.Add(s.interval)
	s.mu.Unlock()
	time.Sleep(time.Until(start) + s.loadTime)
	fmt.Fprintln(w, "weights of", r.URL.Path)
}
