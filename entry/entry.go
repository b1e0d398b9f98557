// Package entry takes callers' requests, chooses a backend server for each, and
// answers with the whole answer or with a reason and an outcome.
package entry

import (
	"crypto/rand"
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"leverdrum/admit"
	"leverdrum/crasher"
	"leverdrum/meter"
	"leverdrum/proxy"
	"leverdrum/pushback"
	"leverdrum/rate"
	"leverdrum/reason"
	"leverdrum/record"
	"leverdrum/route"
	"leverdrum/state"
	"leverdrum/wire"
)

// Headers of answers.
const (
	// HeaderOutcome carries the outcome of the request.
	HeaderOutcome = "X-Leverdrum-Outcome"
	// HeaderReason carries the code of a refusal.
	HeaderReason = "X-Leverdrum-Reason"
	// HeaderRequestID names the request; a caller may send its own.
	HeaderRequestID = "X-Request-Id"
	// HeaderReplayed marks the answer of an earlier call with the same key.
	HeaderReplayed = "X-Leverdrum-Replayed"
	// HeaderSession names the session that a chat request belongs to.
	HeaderSession = "X-Session"
	// HeaderCaller names the caller, for fair shares.
	HeaderCaller = "X-Caller"
)

// Options make an Entry.
type Options struct {
	Directory *route.Directory
	View      func() *state.State
	// Current reports whether the box may act on its configuration.
	Current func() bool
	Sender  *proxy.Sender
	Meters  *meter.Meters
	Records *record.History
	MaxBody int64
	// BodyTimeout bounds the reading of a body; 0: no bound.
	BodyTimeout time.Duration
	// ReportCrash tells of requests under which servers ended; nil where nobody is to hear. It must not block.
	ReportCrash func(*wire.CrashReport)
	// Claims guards the keys of calls that may run at most once.
	Claims ClaimStore
	// Quotas bounds what workspaces are served; nil where nothing does.
	Quotas *rate.Limiter
	// Pushback keeps to what backends say of themselves; nil where none does.
	Pushback *pushback.Registry
}

// Entry is the callers' side of a box.
type Entry struct {
	opts     Options
	gate     *admit.Controller
	budget   *budget
	patience *patience
	demand   *demand
	broken   *crasher.Watcher
	inFlight atomic.Int64
	draining atomic.Bool
	stopping atomic.Bool
	router   chi.Router
}

// New returns an Entry.
func New(opts Options) *Entry {
	if opts.ReportCrash == nil {
		opts.ReportCrash = func(*wire.CrashReport) {}
	}
	e := &Entry{broken: crasher.NewWatcher(opts.ReportCrash), opts: opts, gate: admit.NewController(opts.Directory), budget: newBudget(), patience: newPatience(), demand: newDemand()}
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", e.chat)
	r.Get("/v1/models", e.models)
	r.HandleFunc("/services/{service}/*", e.service)
	r.NotFound(func(w http.ResponseWriter, r *http.Request) { e.refuse(w, requestID(r), reason.UnknownPath, "") })
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) { e.refuse(w, requestID(r), reason.UnknownPath, "") })
	e.router = r
	return e
}

// ServeHTTP counts the request in and routes it.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	if e.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if e.stopping.Load() {
		e.refuse(w, requestID(r), reason.Stopping, "")
		return
	}
	e.router.ServeHTTP(w, r)
}

// InFlight returns the count of requests being served.
func (e *Entry) InFlight() int64 { return e.inFlight.Load() }

// Refresh starts requests that can start after the routes changed.
func (e *Entry) Refresh() {
	e.gate.Dispatch()
	e.noteEnded(e.opts.View())
}

// Drain closes each connection after its next answer.
func (e *Entry) Drain() { e.draining.Store(true) }

// Stop refuses all further requests.
func (e *Entry) Stop() { e.stopping.Store(true) }

const maxRequestID = 128

// requestID takes over the caller's id or draws one.
func requestID(r *http.Request) string {
	id := r.Header.Get(HeaderRequestID)
	if id == "" || len(id) > maxRequestID {
		return rand.Text()
	}
	return id
}

// ErrorBody is the body of every refusal.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail says what was refused and why.
type ErrorDetail struct {
	// Code is stable, see docs/REASONS.md.
	Code string `json:"code"`
	// Type is the outcome: not-run, failed or unknown.
	Type string `json:"type"`
	// Message is for people.
	Message   string `json:"message"`
	RequestID string `json:"request_id"`
	// RetryAfter is in seconds, 0 when the request should not be repeated as it is.
	RetryAfter int `json:"retry_after,omitempty"`
}

func errorBody(id string, why *reason.Reason, detail string, after int) ErrorBody {
	message := why.Title + " " + why.Remedy
	if detail != "" {
		message += " (" + detail + ")"
	}
	return ErrorBody{ErrorDetail{why.Code, string(why.Outcome), message, id, after}}
}

// refuse answers at once with a reason.
func (e *Entry) refuse(w http.ResponseWriter, id string, why *reason.Reason, detail string) {
	e.refuseFor(w, id, why, detail, why.RetryAfter)
}

// refuseFor answers at once with a reason, and has the caller come back after a time; 0: not.
func (e *Entry) refuseFor(w http.ResponseWriter, id string, why *reason.Reason, detail string, after time.Duration) {
	e.opts.Meters.CountRefusal(why)
	e.opts.Records.Add(record.Request, id, "refused: "+why.Code, why.Title+" "+detail)
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderRequestID, id)
	h.Set(HeaderOutcome, string(why.Outcome))
	h.Set(HeaderReason, why.Code)
	seconds := int((after + time.Second - 1) / time.Second)
	if seconds > 0 {
		h.Set("Retry-After", strconv.Itoa(seconds))
	}
	w.WriteHeader(why.Status)
	// A caller that has gone does not read its answer; nothing is left to do then.
	_ = json.NewEncoder(w).Encode(errorBody(id, why, detail, seconds))
}

// usable refuses what this box must not serve now, and returns the table.
func (e *Entry) usable() (*route.Table, *reason.Reason) {
	if e.opts.View().Fleet == nil {
		return nil, reason.NoFleetFile
	}
	if !e.opts.Current() {
		return nil, reason.NotCurrent
	}
	table := e.opts.Directory.Table()
	if table.Models == nil { // the routes follow the state a moment later
		return nil, reason.NoFleetFile
	}
	return table, nil
}
