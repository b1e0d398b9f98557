package standin

import (
	"crypto/rand"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/dustin/go-humanize"

	"leverdrum/engine"
)

// EngineOptions describes a model server.
type EngineOptions struct {
	Accelerators int
	Memory       uint64 // usable bytes per accelerator
	ChecksFences bool
	Concurrency  int
	TokenTime    time.Duration
	LoadTime     time.Duration
	// PrefillTimePerByte is the prefill time of one prompt byte that is not covered by the cache, which holds
	// CachedPrefixes prefix ends.
	PrefillTimePerByte time.Duration
	CachedPrefixes     int
	// ResumesStreams numbers the events of streams and continues a stream after its Last-Event-Id.
	ResumesStreams bool
	// StoreAddress is the address of the weight store, "" for none.
	StoreAddress string
}

// EngineStats counts what the server observed.
type EngineStats struct {
	// Overcommits counts the times that the residents of an accelerator exceeded its memory.
	Overcommits int `json:"overcommits"`
	// Peak is the highest number of bytes in use on one accelerator.
	Peak      uint64         `json:"peak"`
	Orders    int            `json:"orders"`
	Runs      map[string]int `json:"ran"` // by request ID
	Cancelled int            `json:"cancelled"`
	// Resumed counts streams that were started by another server.
	Resumed     int `json:"resumed"`
	NotResident int `json:"missing"` // requests for models and adapters that were not resident
}

// Engine is a simulated model server. It implements http.Handler.
type Engine struct {
	faultInjector
	opts        EngineOptions
	mux         *http.ServeMux
	slots       chan struct{}
	incarnation string
	prefixes    *prefixCache

	mu        sync.Mutex
	residents map[string]*engine.Resident
	fence     uint64
	outcomes  map[uint64]engine.Outcome
	running   int
	waiting   int
	stats     EngineStats
}

func engineFlags(f *flag.FlagSet) func() http.Handler {
	var o EngineOptions
	memory := f.String("memory", "64GiB", "usable memory per accelerator")
	f.IntVar(&o.Accelerators, "accelerators", 1, "accelerators")
	f.BoolVar(&o.ChecksFences, "checks-fences", true, "reject orders with a fence older than the newest one")
	f.IntVar(&o.Concurrency, "concurrency", 16, "maximum number of concurrent requests")
	f.DurationVar(&o.TokenTime, "token-time", time.Millisecond, "generation time per token")
	f.DurationVar(&o.LoadTime, "load-time", 50*time.Millisecond, "load time if no weight store is set")
	f.DurationVar(&o.PrefillTimePerByte, "prefill-byte", 0, "prefill time per prompt byte that is not cached")
	f.IntVar(&o.CachedPrefixes, "prefixes", 1000, "number of cached prompt prefixes")
	f.BoolVar(&o.ResumesStreams, "resumes-streams", true, "number stream events and resume streams of other servers")
	initialFaults := faultFlags(f)
	f.StringVar(&o.StoreAddress, "store", "", "address of the weight store")
	return func() http.Handler {
		n, err := humanize.ParseBytes(*memory)
		if err != nil {
			panic(err)
		}
		o.Memory = n
		e := NewEngine(o)
		e.SetFaults(*initialFaults)
		return e
	}
}

// NewEngine returns a model server without residents.
func NewEngine(o EngineOptions) *Engine {
	e := &Engine{
		opts: o, mux: http.NewServeMux(), slots: make(chan struct{}, o.Concurrency), incarnation: rand.Text(),
		prefixes:  newPrefixCache(o.CachedPrefixes, o.PrefillTimePerByte),
		residents: map[string]*engine.Resident{}, outcomes: map[uint64]engine.Outcome{}, stats: EngineStats{Runs: map[string]int{}},
	}
	e.mux.HandleFunc("GET "+engine.StatePath, e.state)
	e.mux.HandleFunc("POST "+engine.OrderPath, e.order)
	e.mux.HandleFunc("POST "+engine.ChatPath, e.chat)
	e.mux.HandleFunc("PUT "+FaultsPath, e.serveFaults)
	e.mux.HandleFunc("GET "+AccountPath, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, http.StatusOK, e.Stats()) })
	return e
}

// ServeHTTP serves the model server protocol.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Stats returns a copy of the counters.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.stats
	a.Runs = make(map[string]int, len(e.stats.Runs))
	for k, v := range e.stats.Runs {
		a.Runs[k] = v
	}
	return a
}

func (e *Engine) state(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(engine.HeaderAttemptID, r.Header.Get(engine.HeaderAttemptID))
	e.mu.Lock()
	s := engine.State{Incarnation: e.incarnation, Draining: e.current().Draining, Fence: e.fence, Running: e.running, Waiting: e.waiting, Residents: []engine.Resident{}}
	for _, resident := range e.residents {
		s.Residents = append(s.Residents, *resident)
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, s)
}

func residentKey(accelerator uint32, model, adapter, version string) string {
	return fmt.Sprintf("%d/%s/%s/%s", accelerator, model, adapter, version)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	o := &engine.Order{}
	if err := json.NewDecoder(r.Body).Decode(o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f := e.current()
	time.Sleep(time.Duration(f.OrderDelayMs) * time.Millisecond)
	out := e.executeOrder(o)
	if f.DropOrderResponses {
		abortConnection()
	}
	status := http.StatusOK
	if !out.Done {
		status = http.StatusConflict
	}
	writeJSON(w, status, out)
}

// executeOrder executes an order. If fences are checked, a repeated order gets its first outcome and an order with a fence
// older than the newest one or for another incarnation is rejected; otherwise every order is executed on arrival.
func (e *Engine) executeOrder(o *engine.Order) engine.Outcome {
	e.mu.Lock()
	e.stats.Orders++
	if e.opts.ChecksFences {
		if out, seen := e.outcomes[o.ID]; seen {
			e.mu.Unlock()
			return out
		}
		if o.ID < e.fence || o.Incarnation != e.incarnation {
			e.mu.Unlock()
			return engine.Outcome{Detail: "the fence is older than the newest one, or the order is for another incarnation"}
		}
		e.fence = o.ID
	}
	var out engine.Outcome
	key := residentKey(o.Accelerator, o.Model, o.Adapter, o.Version)
	if o.Action == engine.Unload {
		_, resident := e.residents[key]
		delete(e.residents, key)
		out = engine.Outcome{Done: resident, Detail: "unload"}
		e.outcomes[o.ID] = out
		e.mu.Unlock()
		return out
	}
	e.residents[key] = &engine.Resident{Accelerator: o.Accelerator, Model: o.Model, Adapter: o.Adapter, Version: o.Version, Memory: o.Memory, Loading: true}
	e.recordMemoryUse()
	e.mu.Unlock()
	return e.finishLoad(o, key)
}

func (e *Engine) finishLoad(o *engine.Order, key string) engine.Outcome {
	ok := e.fetchWeights(o)
	e.mu.Lock()
	defer e.mu.Unlock()
	out := engine.Outcome{Done: ok, Detail: "load"}
	if r := e.residents[key]; r != nil && ok {
		r.Loading = false
	} else {
		delete(e.residents, key)
		out.Done = false
	}
	e.outcomes[o.ID] = out
	return out
}

// fetchWeights downloads the weights from the store, or waits for the load time if there is none.
func (e *Engine) fetchWeights(o *engine.Order) bool {
	if e.opts.StoreAddress == "" {
		time.Sleep(e.opts.LoadTime)
		return true
	}
	name := o.Model
	if o.Adapter != "" {
		name = o.Adapter
	}
	resp, err := http.Get("http://" + e.opts.StoreAddress + "/weights/" + name + "/" + o.Version)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// recordMemoryUse updates the peak and counts accelerators that hold more than their memory.
func (e *Engine) recordMemoryUse() {
	sums := map[uint32]uint64{}
	for _, r := range e.residents {
		sums[r.Accelerator] += r.Memory
	}
	for _, sum := range sums {
		e.stats.Peak = max(e.stats.Peak, sum)
		if sum > e.opts.Memory {
			e.stats.Overcommits++
		}
	}
}
