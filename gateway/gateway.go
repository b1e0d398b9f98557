// Package gateway takes requests by host and path and passes each one, unchanged,
// to a backend server that announced itself.
//
// Rules:
//
//  1. A request is read whole before anything is sent, so that what a caller
//     broke off never reaches a server, and what may be repeated can be.
//  2. It is sent to one server at a time, to as many as its route allows. What
//     may not be repeated is sent once more only when the server before said that
//     it did not run, or no byte can have reached it.
//  3. What must be given up is answered at once: as not run (503, with a time to
//     come back) where nothing ran, else as unknown (502, 504).
//  4. A server's own answer passes with its status and headers, a failure too.
//  5. A plain answer is passed on when it is whole. A stream is passed on event
//     by event; one that may be resumed goes on at another server behind the last
//     event that was passed; any other is broken off visibly.
//  6. What is left of the caller's time, and of the route's time-out, bounds each
//     attempt and is told to the server. A caller that leaves ends it.
//  7. Headers by which only the system speaks to a server are taken off every attempt
//     of a caller's request, on whatever route, resumed streams included.
//  8. Repeats are kept to a share of first attempts, summed over all boxes, since
//     each keeps its own part of the budget.
//  9. A request under which servers ended, one after another, goes to none of their
//     version any more (package crasher), and is refused at once.
//  10. Where the fleet has workspaces (package workspace), a request without a key of one is
//     refused before its body is read. No server sees a key; it is told whose the request is. A
//     request that its workspace's quota does not bear is refused before a server is looked for.
//  11. A server gets no more than it says that it takes (package pushback): its limit over all boxes, nothing while it rests.
//     Where no other server is left the request is refused at once, with the time at which one takes it. What it says is
//     read from every answer that comes from it, whatever request that is for.
//  12. Nothing goes to a server of an evacuated data hall, nor to one outside of the regions in which the request's route and
//     its workspace allow it to be served. Where no server stands in such a region the request is refused at once.
//  13. A box holds no more bytes of bodies than its part of its memory. What comes beyond is refused while it is read, however
//     slowly it comes. Of answers it holds a buffer each: it reads on when the caller has taken what came.
package gateway

import (
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
	"leverdrum/meter"
	"leverdrum/pushback"
	"leverdrum/rate"
	"leverdrum/reason"
	"leverdrum/state"
	"leverdrum/wire"
)

// Options make a Gateway.
type Options struct {
	Dialect dialect.Dialect
	View    func() *state.State
	// Current reports whether the box may act on its configuration.
	Current func() bool
	// Notify tells the leader of what this box met while it served. It must
	// not block.
	Notify func(Notice)
	// ReportCrash tells of requests under which servers ended; nil where nobody is to hear. It must not block.
	ReportCrash func(*wire.CrashReport)
	// Quotas bounds what workspaces are served; nil where nothing does.
	Quotas *rate.Limiter
	// Pushback keeps to what servers say of themselves; nil where none does.
	Pushback *pushback.Registry
	Hall     string
	// RegionOf tells the region of a data hall, "" where that is not known; nil: of none.
	RegionOf func(hall string) string
	// DrainingDuration is how long a server that leaves is a last resort.
	DrainingDuration time.Duration
	// MaxBodies bounds the bytes of requests' bodies that the box holds at once; 0: no bound.
	MaxBodies int64
	Budget    Budget
	Meters    *meter.Meters
	Log       *zap.Logger
}

// Gateway is the callers' side of a box whose routes go by host and path.
type Gateway struct {
	opts     Options
	dir      *directory
	budgets  *budgets
	demand   *demand
	reading  *reading
	lasting  *lasting
	notices  *notices
	bodies   *bodies
	broken   *crasher.Watcher
	draining atomic.Bool
	// stopping is closed when no further request is taken and none waits any more.
	stopping chan struct{}
	stopOnce sync.Once
	inFlight atomic.Int64
}

// partingShare is the part, in hundredths, of the parting time that is used: other
// boxes told the server that it may go before this one knew.
const partingShare = 50

// New returns a Gateway.
func New(opts Options) *Gateway {
	if opts.ReportCrash == nil {
		opts.ReportCrash = func(*wire.CrashReport) {}
	}
	g := &Gateway{opts: opts, dir: newDirectory(opts.Hall, opts.DrainingDuration*partingShare/100, opts.Pushback), demand: newDemand(), reading: newReading(), lasting: newLasting(), notices: newNotices(opts.Notify), bodies: &bodies{most: opts.MaxBodies}, stopping: make(chan struct{})}
	if opts.RegionOf != nil {
		g.dir.regionOf = opts.RegionOf
	}
	g.budgets = newBudgets(opts.Budget, g.dir.boxes)
	g.broken = crasher.NewWatcher(opts.ReportCrash)
	return g
}

// Refresh takes over the newest agreed state.
func (g *Gateway) Refresh() {
	view := g.opts.View()
	g.dir.update(view)
	g.noteEnded(view)
}

// RecordDraining takes in that a server said in an answer that it drains.
func (g *Gateway) RecordDraining(server string) { g.dir.drains(server) }

// Drain closes each connection after its next answer.
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

// InFlight returns the count of requests being served.
func (g *Gateway) InFlight() int64 { return g.inFlight.Load() }

// Ready reports whether there is a configuration to serve.
func (g *Gateway) Ready() bool { return g.dir.table().routes != nil }

// HasRoutes reports whether the configuration in force has routes.
func (g *Gateway) HasRoutes() bool {
	t := g.dir.table()
	return t.fleet != nil && len(t.fleet.Routes) > 0
}

// ServeHTTP serves one request.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	g.inFlight.Add(1)
	defer g.inFlight.Add(-1)
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	current := g.opts.Current() // before the table, which is at least as new then
	t := g.dir.table()
	why, route := g.routeOf(t, r, current)
	if why != nil {
		g.refuseUnsent(w, r, t, why)
		return
	}
	owner, ok := t.fleet.Workspaces.Authorize(r.Header.Values(g.opts.Dialect.Key), route.Public)
	if !ok {
		g.refuseUnsent(w, r, t, reason.NoAccess)
		return
	}
	hold := g.bodies.hold()
	defer hold.release()
	body, why := readBody(r, t.limits, hold)
	if why != nil {
		g.refuseUnsent(w, r, t, why)
		return
	}
	j := g.newJob(w, r, t, route, body, arrived)
	j.owner, j.keyed = owner, t.fleet.Workspaces != nil
	j.regions = regionsOf(route, owner)
	j.serve()
}

func (g *Gateway) routeOf(t *table, r *http.Request, current bool) (*reason.Reason, *fleet.Route) {
	switch {
	case g.stopped():
		return reason.Stopping, nil
	case t.routes == nil:
		return reason.NoFleet, nil
	case !current:
		return reason.NotCurrent, nil
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	route := t.routes.Find(r.Host, path)
	if route == nil {
		return reason.UnknownRoute, nil
	}
	return nil, route
}

// refuseUnsent refuses a request that no server was looked for.
func (g *Gateway) refuseUnsent(w http.ResponseWriter, r *http.Request, t *table, why *reason.Reason) {
	id := r.Header.Get(g.opts.Dialect.RequestID)
	event.RequestRefused.Log(g.opts.Log,
		zap.String("request", id), zap.String("outcome", why.Code), zap.String("host", r.Host), zap.String("path", r.URL.Path),
		zap.Uint64("number", t.number), zap.Uint64("index", t.index))
	g.refuse(w, id, why, 0)
}

// refuse answers with a reason. after is when to come back; 0 takes the reason's
// own time.
func (g *Gateway) refuse(w http.ResponseWriter, id string, why *reason.Reason, after time.Duration) {
	g.opts.Meters.Refuse(why)
	h := w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set(headerReason, why.Code)
	if id != "" {
		h.Set(g.opts.Dialect.RequestID, id)
	}
	if after == 0 {
		after = why.RetryAfter
	}
	comeBack := why.Status == http.StatusServiceUnavailable || why.Status == http.StatusTooManyRequests
	if comeBack && after > 0 && why != reason.BeyondQuota {
		h.Set("Retry-After", strconv.FormatFloat(after.Seconds(), 'f', 3, 64))
	}
	body := why.Code + ": " + why.Title + "\n"
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(why.Status)
	// A caller that has gone does not read its answer; nothing is left to do then.
	_, _ = io.WriteString(w, body)
}

// headerReason carries the code of a refusal.
const headerReason = "X-Leverdrum-Reason"
