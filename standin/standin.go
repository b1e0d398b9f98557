// Package standin provides test doubles of the systems around leverdrum: model servers, plain services, the weight store
// and the platform's machine list. Model servers and services count what happened to them, so that tests can check
// leverdrum, and can inject faults.
package standin

import (
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"

	"github.com/google/subcommands"

	"leverdrum/dialect"
)

// FaultsPath accepts Faults by PUT. AccountPath returns the statistics by GET.
const (
	FaultsPath  = "/faults"
	AccountPath = "/account"
)

// Faults are the faults to inject. The zero value injects none.
type Faults struct {
	// DelayMs delays each response, in milliseconds.
	DelayMs int `json:"delay_ms"`
	// DisconnectAfter closes the connection after this many bytes of the response body.
	DisconnectAfter int `json:"break_after"`
	// Status, if not 0, is returned at once for requests that were run.
	Status int `json:"status"`
	// EveryNth applies the faults to every n-th request only; 0 means to every request.
	EveryNth int `json:"every"`
	// StallAfter stops sending after this many bytes of a stream, without closing it.
	StallAfter int `json:"stall_after"`
	// DisconnectBeforeResponse closes the connection after the request was run and before the response.
	DisconnectBeforeResponse bool `json:"break_before"`
	// OmitLastEvent ends streams cleanly but without their last event.
	OmitLastEvent bool `json:"no_last_event"`
	// Refuse answers 503 with the header that says that the request was not run.
	Refuse bool `json:"refuse"`
	// WrongID returns the ID of another attempt.
	WrongID bool `json:"wrong_id"`
	// Draining makes a model server report that it is draining.
	Draining bool `json:"leaving"`
	// DropOrderResponses executes orders and closes the connection without a response.
	DropOrderResponses bool `json:"lose_order_answers"`
	// Limit is the limit in responses: the requests a second that the server accepts from all boxes; "" for none.
	Limit string `json:"limit"`
	// RetryAfter rejects requests with 503, not run and this Retry-After; "" rejects none.
	RetryAfter string `json:"rest"`
	// DrainingHeader makes responses say that the server is draining.
	DrainingHeader bool `json:"drains"`
	// OrderDelayMs delays the execution of orders, in milliseconds.
	OrderDelayMs int `json:"order_delay_ms"`
}

type faultInjector struct {
	mu       sync.Mutex
	active   Faults
	count    int // requests so far
	arrivals []time.Time
}

func (f *faultInjector) current() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.active
}

// nextRequest counts a request and returns the faults that apply to it.
func (f *faultInjector) nextRequest() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	f.arrivals = append(f.arrivals, time.Now())
	if f.active.EveryNth > 1 && f.count%f.active.EveryNth != 0 {
		return Faults{Draining: f.active.Draining, Limit: f.active.Limit, DrainingHeader: f.active.DrainingHeader}
	}
	return f.active
}

// SetFaults replaces the faults.
func (f *faultInjector) SetFaults(v Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active = v
}

// ArrivalTimes returns the arrival times of requests, without orders and state queries.
func (f *faultInjector) ArrivalTimes() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]time.Time(nil), f.arrivals...)
}

// setHeaders sets the response headers by which the server reports its limit, draining and backoff.
func (f Faults) setHeaders(w http.ResponseWriter) {
	if f.Limit != "" {
		w.Header().Set(dialect.Native.Limit, f.Limit)
	}
	if f.DrainingHeader {
		w.Header().Set(dialect.Native.Draining, "1")
	}
	if f.RetryAfter != "" {
		w.Header().Set("Retry-After", f.RetryAfter)
	}
}

// rejects reports whether requests are rejected.
func (f Faults) rejects() bool { return f.Refuse || f.RetryAfter != "" }

func (f *faultInjector) serveFaults(w http.ResponseWriter, r *http.Request) {
	var v Faults
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.SetFaults(v)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// abortConnection closes the connection without completing the response.
func abortConnection() { panic(http.ErrAbortHandler) }

// Main runs the command line until the command ends or is stopped, and returns the exit status.
func Main() int {
	commander := subcommands.NewCommander(flag.CommandLine, "standin")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(&serveCommand{name: "engine", synopsis: "a model server", make: engineFlags}, "")
	commander.Register(&serveCommand{name: "service", synopsis: "a plain service", make: serviceFlags}, "")
	commander.Register(&serveCommand{name: "store", synopsis: "the weight store", make: storeFlags}, "")
	commander.Register(&verifyCommand{}, "")
	commander.Register(&serveCommand{name: "platform", synopsis: "the platform's machine list", make: platformFlags}, "")
	flag.Parse()
	return int(commander.Execute(context.Background()))
}

// serveCommand runs one kind of simulated server.
type serveCommand struct {
	name, synopsis string
	make           func(f *flag.FlagSet) func() http.Handler
	newHandler     func() http.Handler
	listen         string
}

func (c *serveCommand) Name() string     { return c.name }
func (c *serveCommand) Synopsis() string { return c.synopsis }
func (c *serveCommand) Usage() string    { return c.name + " -listen ADDRESS …\n" }
func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "address to listen on")
	c.newHandler = c.make(f)
}

func (c *serveCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	s := &http.Server{Addr: c.listen, Handler: c.newHandler(), ReadHeaderTimeout: 5 * time.Second}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		s.Close()
	}()
	if err := s.ListenAndServe(); err != http.ErrServerClosed {
		fmt.Fprintln(os.Stderr, err)
		return subcommands.ExitFailure
	}
	return subcommands.ExitSuccess
}

// faultFlags defines the flags of the faults that a server starts with.
func faultFlags(f *flag.FlagSet) *Faults {
	initial := &Faults{}
	f.StringVar(&initial.Limit, "limit", "", "limit in responses: requests a second that the server accepts from all boxes")
	f.StringVar(&initial.RetryAfter, "rest", "", "Retry-After with which requests are rejected")
	f.IntVar(&initial.EveryNth, "every", 0, "reject every n-th request only; 0: all")
	f.BoolVar(&initial.DrainingHeader, "drains", false, "say in responses that the server is draining")
	return initial
}

func storeFlags(f *flag.FlagSet) func() http.Handler {
	perSecond := f.Float64("rate", 2, "loads started per second")
	concurrency := f.Int("at-once", 8, "maximum number of concurrent loads")
	loadTime := f.Duration("time", 200*time.Millisecond, "duration of one load")
	return func() http.Handler { return NewStore(*perSecond, *concurrency, *loadTime) }
}

func platformFlags(*flag.FlagSet) func() http.Handler {
	return func() http.Handler { return NewPlatform() }
}
