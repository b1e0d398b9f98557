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

// EngineOptions describe a model server.
type EngineOptions struct {
	Accelerators int
	Memory       uint64 // bytes of one accelerator that models may take
	ChecksFences bool
	Concurrency  int
	TokenTime    time.Duration
	LoadTime     time.Duration
	// PrefillTimePerByte is the time of reading one byte of a prompt that is not among
	// the Prefixes message ends that the server keeps.
	PrefillTimePerByte time.Duration
	CachedPrefixes     int
	// ResumesStreams numbers the events of streams and goes on behind Last-Event-Id.
	ResumesStreams bool
	// StoreAddress is the weight store's address, "" for none.
	StoreAddress string
}

// EngineStats is what the server itself saw.
type EngineStats struct {
	// Overcommits counts the moments at which an accelerator held more than it has.
	Overcommits int `json:"overcommits"`
	// Peak is the most bytes that an accelerator held.
	Peak      uint64         `json:"peak"`
	Orders    int            `json:"orders"`
	Runs      map[string]int `json:"ran"` // by request id
	Cancelled int            `json:"cancelled"`
	// Resumed counts streams that began at another server.
	Resumed     int `json:"resumed"`
	NotResident int `json:"missing"` // requests for what was not resident
}

// Engine is a model server. It implements http.Handler.
type Engine struct {
	faults
	opts        EngineOptions
	mux         *http.ServeMux
	slots       chan struct{}
	incarnation string
	prefixes    *prefixes

	mu        sync.Mutex
	residents map[string]*engine.Resident
	fence     uint64
	outcomes  map[uint64]engine.Outcome
	running   int
	waiting   int
	account   EngineStats
}

func engineFlags(f *flag.FlagSet) func() http.Handler {
	var o EngineOptions
	memory := f.String("memory", "64GiB", "usable memory of one accelerator")
	f.IntVar(&o.Accelerators, "accelerators", 1, "accelerators")
	f.BoolVar(&o.ChecksFences, "checks-fences", true, "refuse orders behind a newer one")
	f.IntVar(&o.Concurrency, "concurrency", 16, "requests at once")
	f.DurationVar(&o.TokenTime, "token-time", time.Millisecond, "time of one token")
	f.DurationVar(&o.LoadTime, "load-time", 50*time.Millisecond, "time of one load without a store")
	f.DurationVar(&o.PrefillTimePerByte, "prefill-byte", 0, "time of reading one byte of a prompt that is not kept")
	f.IntVar(&o.CachedPrefixes, "prefixes", 1000, "prompt messages that are kept")
	f.BoolVar(&o.ResumesStreams, "resumes-streams", true, "number the events of streams and go on with streams of others")
	said := selfFlags(f)
	f.StringVar(&o.StoreAddress, "store", "", "address of the weight store")
	return func() http.Handler {
		n, err := humanize.ParseBytes(*memory)
		if err != nil {
			panic(err)
		}
		o.Memory = n
		e := NewEngine(o)
		e.SetFaults(*said)
		return e
	}
}

// NewEngine returns a model server that holds nothing.
func NewEngine(o EngineOptions) *Engine {
	e := &Engine{
		opts: o, mux: http.NewServeMux(), slots: make(chan struct{}, o.Concurrency), incarnation: rand.Text(),
		prefixes:  newPrefixes(o.CachedPrefixes, o.PrefillTimePerByte),
		residents: map[string]*engine.Resident{}, outcomes: map[uint64]engine.Outcome{}, account: EngineStats{Runs: map[string]int{}},
	}
	e.mux.HandleFunc("GET "+engine.StatePath, e.state)
	e.mux.HandleFunc("POST "+engine.OrderPath, e.order)
	e.mux.HandleFunc("POST "+engine.ChatPath, e.chat)
	e.mux.HandleFunc("PUT "+FaultsPath, e.handle)
	e.mux.HandleFunc("GET "+AccountPath, func(w http.ResponseWriter, _ *http.Request) { answerJSON(w, http.StatusOK, e.Stats()) })
	return e
}

// ServeHTTP serves the protocol.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) { e.mux.ServeHTTP(w, r) }

// Stats returns what the server saw so far.
func (e *Engine) Stats() EngineStats {
	e.mu.Lock()
	defer e.mu.Unlock()
	a := e.account
	a.Runs = make(map[string]int, len(e.account.Runs))
	for k, v := range e.account.Runs {
		a.Runs[k] = v
	}
	return a
}

func (e *Engine) state(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	s := engine.State{Incarnation: e.incarnation, Draining: e.get().Draining, Fence: e.fence, Running: e.running, Waiting: e.waiting, Residents: []engine.Resident{}}
	for _, r := range e.residents {
		s.Residents = append(s.Residents, *r)
	}
	e.mu.Unlock()
	answerJSON(w, http.StatusOK, s)
}

func keyOf(accelerator uint32, model, adapter, version string) string {
	return fmt.Sprintf("%d/%s/%s/%s", accelerator, model, adapter, version)
}

func (e *Engine) order(w http.ResponseWriter, r *http.Request) {
	o := &engine.Order{}
	if err := json.NewDecoder(r.Body).Decode(o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f := e.get()
	time.Sleep(time.Duration(f.OrderDelayMs) * time.Millisecond)
	out := e.carryOut(o)
	if f.DropOrderResponses {
		breakOff()
	}
	status := http.StatusOK
	if !out.Done {
		status = http.StatusConflict
	}
	answerJSON(w, status, out)
}

// carryOut runs an order. With fences, one that was seen gets its first answer
// and one behind a newer one is refused; without, everything runs as it comes.
func (e *Engine) carryOut(o *engine.Order) engine.Outcome {
	e.mu.Lock()
	e.account.Orders++
	if e.opts.ChecksFences {
		if out, seen := e.outcomes[o.ID]; seen {
			e.mu.Unlock()
			return out
		}
		if o.ID < e.fence || o.Incarnation != e.incarnation {
			e.mu.Unlock()
			return engine.Outcome{Detail: "behind a newer order or for another incarnation"}
		}
		e.fence = o.ID
	}
	var out engine.Outcome
	key := keyOf(o.Accelerator, o.Model, o.Adapter, o.Version)
	if o.Action == engine.Unload {
		_, held := e.residents[key]
		delete(e.residents, key)
		out = engine.Outcome{Done: held, Detail: "unload"}
		e.outcomes[o.ID] = out
		e.mu.Unlock()
		return out
	}
	e.residents[key] = &engine.Resident{Accelerator: o.Accelerator, Model: o.Model, Adapter: o.Adapter, Version: o.Version, Memory: o.Memory, Loading: true}
	e.audit()
	e.mu.Unlock()
	return e.load(o, key)
}

func (e *Engine) load(o *engine.Order, key string) engine.Outcome {
	ok := e.fetch(o)
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

// fetch gets the weights.
func (e *Engine) fetch(o *engine.Order) bool {
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

// audit counts an accelerator that holds more than it has.
func (e *Engine) audit() {
	sums := map[uint32]uint64{}
	for _, r := range e.residents {
		sums[r.Accelerator] += r.Memory
	}
	for _, sum := range sums {
		e.account.Peak = max(e.account.Peak, sum)
		if sum > e.opts.Memory {
			e.account.Overcommits++
		}
	}
}
