// Package entry is the HTTP interface for callers. It selects a backend server for each request and
// answers with the complete response, or with a reason and an outcome.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"leverdrum/admit"
	"leverdrum/crasher"
	"leverdrum/internal/membudget"
	"leverdrum/internal/reply"
	"leverdrum/meter"
	"leverdrum/proxy"
	"leverdrum/pushback"
	"leverdrum/rate"
	"leverdrum/reason"
	"leverdrum/record"
	"leverdrum/route"
	"leverdrum/shutdown"
	"leverdrum/state"
	"leverdrum/wire"
)

// Request and response headers.
const (
	// HeaderOutcome carries the outcome of the request.
	HeaderOutcome = "X-Leverdrum-Outcome"
	// HeaderReason carries the reason code of a refusal.
	HeaderReason = "X-Leverdrum-Reason"
	// HeaderRequestID carries the request ID; a caller may send its own.
	HeaderRequestID = "X-Request-Id"
	// HeaderReplayed marks a stored response to an earlier call with the same key.
	HeaderReplayed = "X-Leverdrum-Replayed"
	// HeaderSession carries the name of the session that a chat request belongs to.
	HeaderSession = "X-Session"
	// HeaderCaller carries the caller's name for fair sharing.
	HeaderCaller = "X-Caller"
)

// Options configures an Entry.
type Options struct {
	Directory *route.Directory
	View      func() *state.State
	// Current reports whether the box may act on its copy of the configuration.
	Current func() bool
	Sender  *proxy.Sender
	Meters  *meter.Meters
	Records *record.History
	MaxBody int64
	// Responses bounds the bytes of responses that the box holds in memory; nil means no limit.
	Responses *membudget.Budget
	// BodyTimeout bounds the time to read a request body; 0 means no limit.
	BodyTimeout time.Duration
	// ReportCrash reports requests during which servers terminated. It must not block. nil discards
	// the reports.
	ReportCrash func(*wire.CrashReport)
	// Claims stores the keys of calls that may run at most once.
	Claims ClaimStore
	// Quotas enforces the workspaces' quotas; nil means no quotas.
	Quotas *rate.Limiter
	// Pushback applies the limits, backoffs and draining notices that backend servers report; nil
	// ignores them.
	Pushback *pushback.Registry
	// Shutdown is the planned stop of the box; nil: it never begins.
	Shutdown *shutdown.Plan
}

// Entry is the HTTP handler of a box for callers.
type Entry struct {
	opts         Options
	admission    *admit.Controller
	budget       *retryBudget
	latencies    *latencyTracker
	demand       *demand
	crashWatcher *crasher.Watcher
	inFlight     atomic.Int64
	draining     atomic.Bool
	stopped      context.Context // ends when all further requests are refused
	stop         context.CancelFunc
	router       chi.Router
}

// New returns an Entry with the given options.
func New(opts Options) *Entry {
	if opts.ReportCrash == nil {
		opts.ReportCrash = func(*wire.CrashReport) {}
	}
	e := &Entry{crashWatcher: crasher.NewWatcher(opts.ReportCrash, nil), opts: opts, admission: admit.NewController(opts.Directory), budget: newRetryBudget(), latencies: newLatencyTracker(), demand: newDemand()}
	e.stopped, e.stop = context.WithCancel(context.Background())
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", e.chat)
	r.Get("/v1/models", e.models)
	r.HandleFunc("/services/{service}/*", e.service)
	r.NotFound(func(w http.ResponseWriter, r *http.Request) { e.refuse(w, requestID(r), reason.UnknownPath, "") })
	r.MethodNotAllowed(func(w http.ResponseWriter, r *http.Request) { e.refuse(w, requestID(r), reason.UnknownPath, "") })
	e.router = r
	return e
}

// ServeHTTP routes the request and counts it as in flight meanwhile. The connection of a request that ends without a response
// is aborted.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) { reply.Serve(w, r, e.route) }

func (e *Entry) route(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	if e.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if e.stopped.Err() != nil {
		e.refuse(w, requestID(r), reason.Stopping, "")
		return
	}
	e.router.ServeHTTP(w, r)
}

// InFlight returns the number of requests being served.
func (e *Entry) InFlight() int64 { return e.inFlight.Load() }

// Refresh dispatches queued requests after a change of the routes, and reports crashes that the new
// state reveals.
func (e *Entry) Refresh() {
	e.admission.Dispatch()
	e.reportTerminated(e.opts.View())
}

// Drain closes each connection after its next response.
func (e *Entry) Drain() { e.draining.Store(true) }

// Stop refuses all further requests, and those that no server has been chosen for.
func (e *Entry) Stop() { e.stop() }

const maxRequestID = 128

// requestID returns the caller's request ID, or a random one if it is missing or too long.
func requestID(r *http.Request) string {
	id := r.Header.Get(HeaderRequestID)
	if id == "" || len(id) > maxRequestID {
		return rand.Text()
	}
	return id
}

// ErrorBody is the response body of every refusal.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes what was refused and why.
type ErrorDetail struct {
	// Code is the stable reason code, see docs/REASONS.md.
	Code string `json:"code"`
	// Type is the outcome: not-run, failed or unknown.
	Type string `json:"type"`
	// Message is human-readable.
	Message   string `json:"message"`
	RequestID string `json:"request_id"`
	// RetryAfter is in seconds; 0 means that the request should not be retried unchanged.
	RetryAfter int `json:"retry_after,omitempty"`
}

func errorBody(id string, why *reason.Reason, detail string, after int) ErrorBody {
	message := why.Title + " " + why.Remedy
	if detail != "" {
		message += " (" + detail + ")"
	}
	return ErrorBody{ErrorDetail{why.Code, string(why.Outcome), message, id, after}}
}

// refuse answers immediately with a reason and the reason's own retry delay.
func (e *Entry) refuse(w http.ResponseWriter, id string, why *reason.Reason, detail string) {
	e.refuseFor(w, id, why, detail, why.RetryAfter)
}

// refuseFor answers immediately with a reason and a Retry-After header; 0 omits the header.
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
	// The error is ignored: a caller that hung up needs no answer.
	_ = json.NewEncoder(w).Encode(errorBody(id, why, detail, seconds))
}

// routingTable returns the routing table, or the reason why this box must not serve at present.
func (e *Entry) routingTable() (*route.Table, *reason.Reason) {
	if e.opts.View().Fleet == nil {
		return nil, reason.NoFleetFile
	}
	if !e.opts.Current() {
		return nil, reason.NotCurrent
	}
	table := e.opts.Directory.Table()
	if table.Models == nil { // the routes are built shortly after the state arrives
		return nil, reason.NoFleetFile
	}
	return table, nil
}
