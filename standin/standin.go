// Package standin stands in for the systems around leverdrum: model servers,
// plain services, the weight store and the platform's list. Each keeps its own
// account of what happened to it, by which tests judge leverdrum, and can be
// told to misbehave.
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

// FaultsPath takes a Faults by PUT; AccountPath answers the account by GET.
const (
	FaultsPath  = "/faults"
	AccountPath = "/account"
)

// Faults are the ways to misbehave. Zero values mean to behave.
type Faults struct {
	// DelayMs holds up each answer, in milliseconds.
	DelayMs int `json:"delay_ms"`
	// DisconnectAfter closes the connection after so many bytes of an answer's body.
	DisconnectAfter int `json:"break_after"`
	// Status, unless 0, answers requests that ran with this status at once.
	Status int `json:"status"`
	// EveryNth makes only each n-th request misbehave; 0 means each one.
	EveryNth int `json:"every"`
	// StallAfter says nothing more after so many bytes of a stream.
	StallAfter int `json:"stall_after"`
	// DisconnectBeforeResponse closes the connection after a request ran, before its answer.
	DisconnectBeforeResponse bool `json:"break_before"`
	// OmitLastEvent ends streams cleanly but without their last event.
	OmitLastEvent bool `json:"no_last_event"`
	// Refuse answers 503 with the word that nothing was run.
	Refuse bool `json:"refuse"`
	// WrongID answers with the id of another attempt.
	WrongID bool `json:"wrong_id"`
	// Draining makes a model server say that it leaves.
	Draining bool `json:"leaving"`
	// DropOrderResponses runs orders and closes the connection without an answer.
	DropOrderResponses bool `json:"lose_order_answers"`
	// Limit is what answers name as the requests a second that the server takes from all boxes; "": none.
	Limit string `json:"limit"`
	// RetryAfter is the Retry-After with which requests are turned away, 503 and not run; "": none is.
	RetryAfter string `json:"rest"`
	// DrainingHeader has answers say that the server is about to end.
	DrainingHeader bool `json:"drains"`
	// OrderDelayMs holds up orders before they run, in milliseconds.
	OrderDelayMs int `json:"order_delay_ms"`
}

type faults struct {
	mu    sync.Mutex
	now   Faults
	count int // of requests
	came  []time.Time
}

func (f *faults) get() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.now
}

// next returns the faults of the next request.
func (f *faults) next() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count++
	f.came = append(f.came, time.Now())
	if f.now.EveryNth > 1 && f.count%f.now.EveryNth != 0 {
		return Faults{Draining: f.now.Draining, Limit: f.now.Limit, DrainingHeader: f.now.DrainingHeader}
	}
	return f.now
}

// SetFaults replaces the faults.
func (f *faults) SetFaults(v Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.now = v
}

// ArrivalTimes returns when requests came, orders and readings of its state aside.
func (f *faults) ArrivalTimes() []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]time.Time(nil), f.came...)
}

// speak has an answer say what the server says of itself.
func (f Faults) speak(w http.ResponseWriter) {
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

// refuses reports whether requests are turned away.
func (f Faults) refuses() bool { return f.Refuse || f.RetryAfter != "" }

func (f *faults) handle(w http.ResponseWriter, r *http.Request) {
	var v Faults
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.SetFaults(v)
}

func answerJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// breakOff closes the connection without the end of the answer.
func breakOff() { panic(http.ErrAbortHandler) }

// Main runs one stand-in until it is stopped, and returns the exit status.
func Main() int {
	commander := subcommands.NewCommander(flag.CommandLine, "standin")
	commander.Register(commander.HelpCommand(), "")
	commander.Register(&serveCommand{name: "engine", about: "a model server", make: engineFlags}, "")
	commander.Register(&serveCommand{name: "service", about: "a plain service", make: serviceFlags}, "")
	commander.Register(&serveCommand{name: "store", about: "the weight store", make: storeFlags}, "")
	commander.Register(&verifyCommand{}, "")
	commander.Register(&serveCommand{name: "platform", about: "the platform's list", make: platformFlags}, "")
	flag.Parse()
	return int(commander.Execute(context.Background()))
}

// serveCommand runs one kind of stand-in.
type serveCommand struct {
	name, about string
	make        func(f *flag.FlagSet) func() http.Handler
	build       func() http.Handler
	listen      string
}

func (c *serveCommand) Name() string     { return c.name }
func (c *serveCommand) Synopsis() string { return c.about }
func (c *serveCommand) Usage() string    { return c.name + " -listen ADDRESS …\n" }
func (c *serveCommand) SetFlags(f *flag.FlagSet) {
	f.StringVar(&c.listen, "listen", "127.0.0.1:0", "address to listen on")
	c.build = c.make(f)
}

func (c *serveCommand) Execute(context.Context, *flag.FlagSet, ...any) subcommands.ExitStatus {
	s := &http.Server{Addr: c.listen, Handler: c.build(), ReadHeaderTimeout: 5 * time.Second}
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

// selfFlags tell what a stand-in says of itself.
func selfFlags(f *flag.FlagSet) *Faults {
	said := &Faults{}
	f.StringVar(&said.Limit, "limit", "", "requests a second that answers name as what the server takes from all boxes")
	f.StringVar(&said.RetryAfter, "rest", "", "Retry-After with which requests are turned away")
	f.IntVar(&said.EveryNth, "every", 0, "turn away each n-th request only; 0: all")
	f.BoolVar(&said.DrainingHeader, "drains", false, "say in answers that the server is about to end")
	return said
}

func storeFlags(f *flag.FlagSet) func() http.Handler {
	perSecond := f.Float64("rate", 2, "loads a second")
	atOnce := f.Int("at-once", 8, "loads at once")
	took := f.Duration("time", 200*time.Millisecond, "time of one load")
	return func() http.Handler { return NewStore(*perSecond, *atOnce, *took) }
}

func platformFlags(*flag.FlagSet) func() http.Handler {
	return func() http.Handler { return NewPlatform() }
}
