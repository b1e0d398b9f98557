// Package gateway routes requests by host and path and forwards each one, unchanged, to a backend
// server that announced itself.
//
// Rules:
//
//  1. A request is read completely before anything is sent. A request that its caller broke off
//     then never reaches a server, and a repeatable one can be retried.
//  2. It is sent to one server at a time, to at most as many as its route allows. A request that
//     may not be repeated is retried only where the previous server reported that it did not run
//     it, or no byte can have reached that server.
//  3. A request that must be given up is answered at once: as not run (503, with a Retry-After)
//     where nothing ran, otherwise as unknown (502, 504).
//  4. A server's own response is forwarded with its status and headers, also an error.
//  5. A plain response is forwarded once it is complete. A stream is forwarded event by event. A
//     resumable stream that breaks resumes at another server after the last event forwarded; any
//     other is visibly aborted.
//  6. The caller's remaining time and the route's timeout bound each attempt, and the server
//     receives the time that remains. A caller that disconnects ends the attempt.
//  7. Headers that are reserved for the system are removed from every attempt of a caller's
//     request, on all routes and for resumed streams, too.
//  8. Retries are limited to a share of first attempts, summed over all boxes: each box keeps its
//     own share of the budget.
//  9. A request under which servers crashed one after another is sent to no server of their
//     version (package crasher), and is refused at once.
//  10. Where the fleet has workspaces (package workspace), a request without a workspace key is
//     refused before its body is read. Servers receive the name of the workspace and never a key.
//     A request that its workspace's quota does not admit is refused before a server is chosen.
//  11. A server gets no more than it reports that it takes (package pushback): its limit over all
//     boxes, nothing during its backoff. Where no other server is left the request is refused at
//     once, with the time at which a server takes it. Reports are read from every response that
//     comes from the server, whatever request it is for.
//  12. Nothing is sent to a server in an evacuated data hall, nor to one outside of the regions
//     in which the request's route and its workspace allow it to be served. Where no server is in
//     such a region the request is refused at once.
//  13. A box holds no more bytes of request bodies than its share of its memory. What exceeds it
//     is refused while it is read, however slowly it arrives. Of each response the box holds one
//     buffer: it reads on when the caller has taken what has arrived. All responses share a bound
//     (package membudget): beyond it, plain ones are forwarded as they arrive, and a stream with an
//     incomplete event that finds no room is treated as broken.
//  14. Where boxes share the load of a pool, package overload decides which requests are sent when
//     the pool is short of capacity. The others wait in the box, or are refused. Where the load is
//     not known, a stream that would miss its target at every server is refused.
//  15. A request that this box cannot send to its server, because of the box's own links (package reach), is relayed by
//     another box (relays.go). Where none relays it, it is rejected at once.
//  16. A stream continues only at a server of the software version that sent its first event: what two versions
//     write does not fit together. Where no such server is left, it is aborted, or rejected at once.
package gateway

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"leverdrum/crasher"
	"leverdrum/dialect"
	"leverdrum/event"
	"leverdrum/fleet"
	"leverdrum/internal/attest"
	"leverdrum/internal/membudget"
	"leverdrum/internal/reply"
	"leverdrum/internal/wait"
	"leverdrum/loadshare"
	"leverdrum/meter"
	"leverdrum/pushback"
	"leverdrum/rate"
	"leverdrum/reason"
	"leverdrum/shutdown"
	"leverdrum/state"
	"leverdrum/wire"
)

// Options configures a Gateway.
type Options struct {
	Dialect dialect.Dialect
	View    func() *state.State
	// Current reports whether the box may act on its configuration.
	Current func() bool
	// Notify reports events seen while serving to the leader. It must not block.
	Notify func(Notice)
	// ReportCrash reports requests under which servers crashed; may be nil. It must not block.
	ReportCrash func(*wire.CrashReport)
	// RecordExposures records how long requests with prompt parts ran at a terminated server and at others; may be nil. It must not block.
	RecordExposures func(crasher.Server, []crasher.Exposure)
	// Quotas limits what workspaces are served; nil: no limits.
	Quotas *rate.Limiter
	// Load shares load and speed of servers with the other boxes; nil: they are not shared.
	Load LoadSource
	// Origins knows at which software version streams began; nil: only streams of services with a single version are resumed
	// for callers.
	Origins Origins
	// SharesLoad reports whether the boxes share the load of a pool as the box's settings and state have
	// it, also before the exchange has begun; nil: of none.
	SharesLoad func(pool string) bool
	// Pushback applies the limits and backoff that servers report; nil: none are reported.
	Pushback *pushback.Registry
	Hall     string
	// RegionOf returns the region of a data hall, "" where it is not known; nil: no region is
	// known.
	RegionOf func(hall string) string
	// DrainingDuration is how long a draining server is used as a last resort.
	DrainingDuration time.Duration
	// ConfirmedAge returns how long ago a leader confirmed that there was nothing newer than an index of the state, false if that
	// is not known. Nil: a server counts as draining from when this box learns of it.
	ConfirmedAge func(index uint64) (time.Duration, bool)
	// MaxBodies bounds the bytes of request bodies that the box holds in memory; 0: no limit.
	MaxBodies int64
	// Responses bounds the bytes of responses that the box holds in memory; nil: no limit.
	Responses *membudget.Budget
	Budget    Budget
	// Dial opens connections to backend servers; nil: over TCP.
	Dial Dialer
	// Shutdown is the planned stop of the box; nil: it never begins.
	Shutdown *shutdown.Plan
	// OpenRelay asks other boxes to relay requests; nil: none does. Self is the name of this box.
	OpenRelay OpenRelay
	Self      string
	Meters    *meter.Meters
	Log       *zap.Logger
}

// Gateway serves callers' requests at a box whose routes match by host and path.
type Gateway struct {
	opts            Options
	dir             *directory
	budgets         *budgets
	demand          *demand
	prefillRates    *prefillRates
	cachedShares    *cachedShares
	slotTimes       *slotTimes
	notices         *notices
	bodies          *bodies
	crashWatch      *crasher.Watcher
	late            lineSampler
	resumed         lineSampler // of streams
	undelimitedEnds lineSampler // of responses without a length or chunks
	malformed       lineSampler // of malformed responses
	unproven        lineSampler // of responses that prove nothing
	headers         attest.Headers
	admission       *admission
	startHold       *startHold
	links           *links
	relays          *relays
	relayed         atomic.Int64 // requests of other boxes that this one relays
	noPathLogged    atomic.Int64 // when it was last logged that no box relays, in Unix nanoseconds
	draining        atomic.Bool
	// stopping is closed when no further request is accepted and waiting ones are refused.
	stopping chan struct{}
	stopOnce sync.Once
	inFlight atomic.Int64
}

// drainingShare is the percentage of DrainingDuration that is used. Other boxes may have
// acknowledged the draining before this one saw it, so the server may exit earlier.
const drainingShare = 50

// New returns a Gateway.
func New(opts Options) *Gateway {
	if opts.ReportCrash == nil {
		opts.ReportCrash = func(*wire.CrashReport) {}
	}
	if opts.Load == nil {
		opts.Load = (*loadshare.Sharer)(nil)
	}
	g := &Gateway{opts: opts, dir: newDirectory(opts.Hall, opts.DrainingDuration*drainingShare/100, opts.Pushback), demand: newDemand(), prefillRates: newPrefillRates(), cachedShares: newCachedShares(), slotTimes: newSlotTimes(), notices: newNotices(opts.Notify), bodies: &bodies{limit: opts.MaxBodies}, stopping: make(chan struct{})}
	g.dir.confirmedAge = opts.ConfirmedAge
	if opts.RegionOf != nil {
		g.dir.regionOf = opts.RegionOf
	}
	if opts.Dial != nil {
		g.dir.dialer = opts.Dial
	}
	d := &opts.Dialect
	g.headers = attest.Headers{RequestID: d.RequestID, NotRun: d.NotRun, Stamp: d.Stamp}
	g.dir.dialect, g.dir.headers = &g.opts.Dialect, &g.headers
	g.budgets = newBudgets(opts.Budget, g.dir.boxes)
	g.admission = newAdmission(opts.Load, opts.MaxBodies)
	g.startHold = &startHold{began: time.Now(), current: opts.Current, maxBytes: opts.MaxBodies / waitingBodiesDivisor, meters: opts.Meters}
	g.crashWatch = crasher.NewWatcher(opts.ReportCrash, opts.RecordExposures)
	g.relays = newRelays(opts.OpenRelay, opts.Self, opts.View)
	g.links = newLinks(g)
	g.dir.links, g.dir.relays = g.links, g.relays
	return g
}

// Refresh applies the newest committed state.
func (g *Gateway) Refresh() {
	view := g.opts.View()
	g.dir.update(view)
	g.reportEnded(view)
}

// RecordDraining records that a server reported in a response that it is draining.
func (g *Gateway) RecordDraining(server string) { g.dir.recordDraining(server) }

// Drain closes each connection after its next response.
func (g *Gateway) Drain() { g.draining.Store(true) }

// Stop refuses all further requests, and those that wait for a server.
func (g *Gateway) Stop() { g.stopOnce.Do(func() { close(g.stopping) }) }

func (g *Gateway) stopped() bool {
	select {
	case <-g.stopping:
		return true
	default:
		return false
	}
}

// AwaitRelayed waits until no request of another box is being relayed, or the context ends.
func (g *Gateway) AwaitRelayed(ctx context.Context) {
	const poll = 10 * time.Millisecond
	for g.relayed.Load() > 0 && wait.For(ctx, poll) {
	}
}

// InFlight returns the number of requests being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Ready reports whether there is a configuration to serve.
func (g *Gateway) Ready() bool { return g.dir.table().routes != nil }

// HasRoutes reports whether the active configuration has routes.
func (g *Gateway) HasRoutes() bool {
	t := g.dir.table()
	return t.fleet != nil && len(t.fleet.Routes) > 0
}

// ServeHTTP serves one request. The connection of a request that ends without a response is aborted.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) { reply.Serve(w, r, g.serve) }

func (g *Gateway) serve(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	t, refusal, route := g.currentRoute(r)
	if refusal == reason.NotCurrent && g.holdAtStart(r, t) {
		t, refusal, route = g.currentRoute(r)
	}
	if refusal != nil {
		g.refuseUnsent(w, r, t, refusal)
		return
	}
	owner, ok := t.fleet.Workspaces.Authorize(r.Header.Values(g.opts.Dialect.Key), route.Public)
	if !ok {
		g.refuseUnsent(w, r, t, reason.NoAccess)
		return
	}
	reservation := g.bodies.reserve()
	defer reservation.release()
	stopWatching := g.opts.Shutdown.InterruptReads(w)
	body, refusal := readBody(r, t.limits, reservation)
	stopWatching()
	if refusal == reason.BadRequest && g.opts.Shutdown.Ended() {
		refusal = reason.Stopping
	}
	if refusal != nil {
		g.refuseUnsent(w, r, t, refusal)
		return
	}
	j := g.newJob(w, r, t, route, body, arrived)
	switch { // also while the body was read
	case g.stopped():
		g.refuseUnsent(w, r, t, reason.Stopping)
		return
	case j.outlastsStop():
		g.refuseUnsent(w, r, t, reason.OutlastsStop)
		return
	}
	j.memory = g.opts.Responses.Hold(holdResponse)
	defer j.memory.Release()
	j.owner, j.hasWorkspaces = owner, t.fleet.Workspaces != nil
	j.regions = regionsOf(route, owner)
	j.serve()
}

// holdResponse is the kind of the memory that responses of backend servers take.
const holdResponse = "response"

// currentRoute returns the route of a request and the table that has it, or why there is none.
func (g *Gateway) currentRoute(r *http.Request) (*table, *reason.Reason, *fleet.Route) {
	current := g.opts.Current() // before the table, which is then at least as new
	t := g.dir.table()
	refusal, route := g.routeOf(t, r, current)
	return t, refusal, route
}

func (g *Gateway) routeOf(t *table, r *http.Request, current bool) (*reason.Reason, *fleet.Route) {
	switch {
	case g.stopped():
		return reason.Stopping, nil
	case t.routes == nil:
		return reason.NoFleetFile, nil
	case !current:
		return reason.NotCurrent, nil
	}
	route := t.routes.Find(r.Host, requestPath(r))
	if route == nil {
		return reason.UnknownRoute, nil
	}
	return nil, route
}

func requestPath(r *http.Request) string {
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// refuseUnsent refuses a request for which no server was looked up.
func (g *Gateway) refuseUnsent(w http.ResponseWriter, r *http.Request, t *table, refusal *reason.Reason) {
	id := r.Header.Get(g.opts.Dialect.RequestID)
	event.RequestRefused.Log(g.opts.Log,
		zap.String("request", id), zap.String("outcome", refusal.Code), zap.String("host", r.Host), zap.String("path", r.URL.Path),
		zap.Uint64("number", t.number), zap.Uint64("index", t.index))
	g.refuse(w, id, refusal, 0)
}

// refuse answers a request with a refusal. after sets the Retry-After; 0 selects the default of
// the reason.
func (g *Gateway) refuse(w http.ResponseWriter, id string, refusal *reason.Reason, after time.Duration) {
	g.opts.Meters.CountRefusal(refusal)
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set(headerReason, refusal.Code)
	if id != "" {
		h.Set(g.opts.Dialect.RequestID, id)
	}
	if after == 0 {
		after = refusal.RetryAfter
	}
	hasRetryAfter := refusal.Status == http.StatusServiceUnavailable || refusal.Status == http.StatusTooManyRequests
	if hasRetryAfter && after > 0 && refusal != reason.ExceedsQuota {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	body := refusal.Code + ": " + refusal.Title + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(refusal.Status)
	// A caller that has disconnected does not read its response; nothing is left to do then.
	_, _ = io.WriteString(w, body)
}

// headerReason carries the code of a refusal.
const headerReason = "X-Leverdrum-Reason"
