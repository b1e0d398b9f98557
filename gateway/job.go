package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"syscall"
	"time"

	"go.uber.org/zap"

	"leverdrum/dialect"
	"leverdrum/event"
	"leverdrum/fleet"
	"leverdrum/meter"
	"leverdrum/reason"
)

const (
	// leastLeft is the time below which nothing is sent any more.
	leastLeft = 15 * time.Millisecond
	// leastForModel is the time that a request for a model needs at least: with
	// less left it is not waited for any longer.
	leastForModel = 150 * time.Millisecond
	// notRunExtra is how many more sendings a request may have that no server ran.
	notRunExtra = 2
	// againPause is the wait before a server is asked again that was full.
	againPause = 40 * time.Millisecond
	// comeBackShare is when a caller is told to come back, as a share of its aim.
	comeBackShare = 0.25
	// comeBackLoad is when it is told to come back for a model that is on its way.
	comeBackLoad = 1500 * time.Millisecond
	// waitLook is the time between two looks for a server while none came.
	waitLook = 250 * time.Millisecond
)

// job is one request on its way.
type job struct {
	g        *Gateway
	w        http.ResponseWriter
	r        *http.Request
	route    *fleet.Route
	poolName string
	number   uint64 // of the configuration that routed it
	id       string
	body     []byte
	arrived  time.Time
	deadline time.Time
	prompt   dialect.Prompt
	keys     []uint64

	tried  []*server
	sends  int
	runs   int // sendings that may have run
	stream events
	headed bool // the head of the answer was passed on
	// waited is the time to the first sending, first that to the first event, and
	// longest the longest pause between two events.
	waited, first, longest time.Duration
	behind                 float64 // milliseconds that the best server was behind
	reckoned               float64 // milliseconds of reading at the chosen server
	last                   *failure
}

func (g *Gateway) newJob(w http.ResponseWriter, r *http.Request, t *table, route *fleet.Route, body []byte, arrived time.Time) *job {
	j := &job{
		g: g, w: w, r: r, route: route, poolName: pick(route.Split), number: t.number, body: body, arrived: arrived,
		id: r.Header.Get(g.opts.Dialect.RequestID), prompt: g.opts.Dialect.Prompt(r.Header),
	}
	j.keys = chain(j.prompt)
	j.deadline = arrived.Add(route.Timeout)
	if ms, err := strconv.ParseFloat(r.Header.Get(g.opts.Dialect.Deadline), 64); err == nil {
		if d := arrived.Add(time.Duration(ms * float64(time.Millisecond))); d.Before(j.deadline) {
			j.deadline = d
		}
	}
	return j
}

// serve sends the request until it has an answer or must be given up.
func (j *job) serve() {
	ctx, cancel := context.WithDeadline(j.r.Context(), j.deadline)
	defer cancel()
	j.g.budgets.first(j.poolName)
	j.noteDemand()
	for {
		c, why := j.find(ctx)
		if why != nil {
			j.giveUp(why)
			return
		}
		if j.attempt(ctx, c) {
			j.g.opts.Meters.Observe(meter.Duration, j.route.Name).Observe(time.Since(j.arrived).Seconds())
			j.noteDone()
			return
		}
	}
}

func (j *job) noteDemand() {
	if j.prompt.Model == "" {
		return
	}
	shared := sharedTokens(j.prompt)
	read := float64(j.prompt.Tokens-min(shared, j.prompt.Tokens)) + sharedReadAgain*float64(shared)
	j.g.demand.note(j.prompt, time.Duration(read/readRate*float64(time.Millisecond)))
}

// sharedReadAgain is the part of the shared parts that is reckoned to be read
// again, in the demand for a model.
const sharedReadAgain = 0.3

func (j *job) left() time.Duration { return time.Until(j.deadline) }

// find returns a server, and waits for one while a model is on its way.
func (j *job) find(ctx context.Context) (choice, *reason.Reason) {
	for {
		news := j.g.dir.news()
		list, why := j.candidates()
		if why != nil {
			return choice{}, why
		}
		if c := j.g.dir.choose(list, j.wish()); c.server != nil {
			if j.tooLate(c) {
				j.behind = c.waits
				return choice{}, reason.Overloaded
			}
			return c, nil
		}
		if why := j.wait(ctx, news, j.g.dir.anyUp(list)); why != nil {
			return choice{}, why
		}
	}
}

// wish is what the choice of a server depends on.
func (j *job) wish() wish {
	w := wish{prompt: j.prompt, keys: j.keys, tried: j.tried}
	if p := j.g.dir.table().pools[j.poolName]; p != nil && p.Kind != nil && j.g.opts.Dialect.Fetch != "" {
		w.fetch = milliseconds(p.Kind.FetchPerToken)
	}
	return w
}

const (
	// lateAims and lateLeft bound the reckoned time to the first event, in aims and as
	// a share of the time left: what would take longer only takes time from others.
	lateAims = 2.0
	lateLeft = 0.5
)

// tooLate reports whether a stream that has not begun would hardly be answered in
// time even at the server that is reckoned best.
func (j *job) tooLate(c choice) bool {
	if j.prompt.Model == "" || j.headed || j.sends > 0 || j.route.Kind != fleet.Streaming {
		return false
	}
	limit := min(lateAims*milliseconds(j.route.Aim), lateLeft*milliseconds(j.left()))
	return c.waits+c.work > limit
}

// candidates lists the servers that could run the request.
func (j *job) candidates() ([]*server, *reason.Reason) {
	t := j.g.dir.table()
	p := t.pools[j.poolName]
	if p == nil {
		return nil, reason.NoServer
	}
	if j.prompt.Model == "" || p.Kind == nil {
		if len(p.servers) == 0 {
			return nil, reason.NoServer
		}
		return p.servers, nil
	}
	if t.fleet.Models[j.prompt.Model] == nil {
		return nil, reason.UnknownModel
	}
	return p.holding[wantedOf(j.prompt)], nil
}

// wait waits for news, or a moment where servers are there that were all tried.
func (j *job) wait(ctx context.Context, news <-chan struct{}, triedAll bool) *reason.Reason {
	if j.prompt.Model == "" && !triedAll {
		return reason.NoServer
	}
	if j.left() < leastForModel {
		return reason.NotResident
	}
	pause, hopeless := j.hopeless(time.Now())
	switch {
	case triedAll:
		pause = againPause
		j.tried = nil
	case hopeless:
		return reason.NotResident
	default:
		j.g.notices.note(Notice{Wanted: wantedOf(j.prompt)})
	}
	timer := time.NewTimer(min(pause, j.left()))
	defer timer.Stop()
	select {
	case <-news:
	case <-timer.C:
	case <-ctx.Done():
	case <-j.g.stopping:
		return reason.Stopping
	}
	if ctx.Err() != nil {
		return reason.NotResident
	}
	return nil
}

// attempt sends the request to one server, and reports whether it was answered.
func (j *job) attempt(ctx context.Context, c choice) (answered bool) {
	if j.left() < leastLeft {
		j.giveUp(reason.BackendLate)
		return true
	}
	if j.sends == 0 {
		j.waited = time.Since(j.arrived)
	}
	j.sends++
	j.reckoned = c.work
	j.tried = append(j.tried, c.server)
	s := c.server
	began := time.Now()
	s.begin(began, c.work)
	unread := true
	defer func() { s.end(began, c.work, unread) }()
	a, f := exchange(ctx, s.conns, j.outgoing(c), j.g.opts.Dialect.RequestID, j.route.Repeatable())
	if f != nil {
		return j.failed(ctx, s, f)
	}
	if f := j.judge(a); f != nil {
		a.discard()
		if a.StatusCode == http.StatusMisdirectedRequest {
			j.misdirected(s, a)
		}
		return j.failed(ctx, s, f)
	}
	if j.askAnother(s, a) {
		a.discard()
		return false
	}
	first := func() {
		s.first(time.Now(), began, c.work)
		unread = false
		j.first = time.Since(j.arrived)
		if a.StatusCode < http.StatusMultipleChoices {
			s.noteKept(j.keys)
		}
	}
	if isStream(a) {
		return j.relay(ctx, s, a, first)
	}
	return j.passWhole(ctx, s, a, first)
}

// judge returns a failure for an answer that is none.
func (j *job) judge(a *answer) *failure {
	d := &j.g.opts.Dialect
	switch {
	case a.Header.Get(d.NotRun) != "", a.StatusCode == http.StatusMisdirectedRequest:
		return notRun(reason.BackendRefused, Error.New("the server answered %d, not run", a.StatusCode))
	case a.Header.Get(d.Stamp) == "" && a.StatusCode < http.StatusMultipleChoices:
		a.spoilt = true
		return unknown(reason.BackendBroke, Error.New("the answer does not bear the server's stamp"))
	}
	return nil
}

// misdirected notes what a server said that did not run a request as not its own:
// it is another than expected, or it lacks the model or the adapter.
func (j *job) misdirected(s *server, a *answer) {
	id := a.Header.Get(j.g.opts.Dialect.ServerID)
	if id != "" && id != s.id || j.prompt.Model == "" {
		s.setGone()
		return
	}
	s.lack(wantedOf(j.prompt), time.Now())
}

// askAnother gives a server's own failure up for another server's answer, where
// the request may be repeated (4).
func (j *job) askAnother(s *server, a *answer) bool {
	if a.StatusCode < http.StatusInternalServerError || j.headed || !j.route.Repeatable() {
		return false
	}
	f := &failure{outcome: reason.Failed, why: reason.BackendFailed, cause: Error.New("the server answered %d", a.StatusCode)}
	j.runs++
	s.failed(time.Now())
	if !j.mayRepeat(f) {
		return false
	}
	j.last = f
	j.noteRetry(f)
	return true
}

// failed decides what follows a failure: another sending, or the end.
func (j *job) failed(ctx context.Context, s *server, f *failure) (answered bool) {
	j.last = f
	if j.r.Context().Err() != nil {
		j.note("caller-gone", f)
		return true
	}
	switch {
	case f.dark, f.dial:
		s.silenced(time.Now())
		if f.dial {
			j.noteDown(s, f)
		}
	case f.outcome != reason.NotRun:
		s.failed(time.Now())
	}
	if f.outcome != reason.NotRun {
		j.runs++
	}
	if ctx.Err() == nil && j.mayRepeat(f) {
		j.noteRetry(f)
		return false
	}
	if ctx.Err() != nil && f.outcome != reason.NotRun {
		j.giveUp(reason.BackendLate)
		return true
	}
	j.giveUp(f.why)
	return true
}

// noteDown tells the leader of a server that no connection can be opened to, unless
// something else speaks for it.
func (j *job) noteDown(s *server, f *failure) {
	now := time.Now()
	switch refused := errors.Is(f.cause, syscall.ECONNREFUSED); {
	case refused && s.setDown(now):
		j.g.notices.note(Notice{Refusing: s.id})
	case !refused && s.setUnreached(now):
		j.g.notices.note(Notice{Unreached: s.id})
	}
}

// mayRepeat is rules 2 and 7.
func (j *job) mayRepeat(f *failure) bool {
	switch {
	case j.left() < leastLeft:
		return false
	case j.prompt.Model != "" && f.unsent():
		return true // the model may soon be elsewhere
	case f.outcome == reason.NotRun:
		if j.sends >= j.route.MaxAttempts+notRunExtra {
			return false
		}
	case !j.route.Repeatable(), j.runs >= j.route.MaxAttempts:
		return false
	}
	if f.unsent() {
		return true
	}
	if j.g.budgets.repeat(j.poolName) {
		return true
	}
	j.g.opts.Meters.Count(meter.RetriesSpent).Inc()
	return false
}

// noteRetry counts that the request is sent again, and writes its line.
func (j *job) noteRetry(f *failure) {
	why := reason.RetryBroke
	switch {
	case j.headed:
		why = reason.RetryStream
	case f.dial:
		why = reason.RetryUnreached
	case f.outcome == reason.NotRun:
		why = reason.RetryRefused
	case f.outcome == reason.Failed:
		why = reason.RetryFailed
	}
	j.g.opts.Meters.Retry(why)
	event.RequestRetried.Log(j.g.opts.Log,
		zap.String("request", j.id), zap.String("route", j.route.Name), zap.String("outcome", f.why.Code), zap.String("why", why.Code),
		zap.Int("sends", j.sends), zap.Int("runs", j.runs), zap.String("server", j.tried[len(j.tried)-1].id), event.Cause(f.cause), zap.Duration("left", j.left()))
}

// giveUp ends the request without a server's answer (3).
func (j *job) giveUp(why *reason.Reason) {
	if j.r.Context().Err() != nil {
		j.note("caller-gone", j.last)
		return
	}
	j.note(why.Code, j.last)
	if j.headed {
		panic(http.ErrAbortHandler) // breaks the caller's connection
	}
	if j.runs > 0 && why.Outcome == reason.NotRun {
		why = reason.BackendBroke
		if j.left() < leastLeft {
			why = reason.BackendLate
		}
	}
	if why.Status == 0 {
		why = reason.BackendBroke
	}
	j.g.refuse(j.w, j.id, why, j.comeBack(why))
}

// comeBack is when the caller had best come back.
func (j *job) comeBack(why *reason.Reason) time.Duration {
	soon := time.Duration(comeBackShare * float64(j.route.Aim))
	switch why {
	case reason.Overloaded:
		return max(soon, time.Duration(j.behind*float64(time.Millisecond)))
	case reason.NotResident, reason.BackendRefused:
		return j.comeBackFor(why, soon)
	}
	return soon
}

// noteDone writes the line of a request that was answered.
func (j *job) noteDone() {
	if !j.headed || !j.g.opts.Log.Core().Enabled(event.RequestDone.Level) {
		return
	}
	s := j.tried[len(j.tried)-1]
	event.RequestDone.Log(j.g.opts.Log,
		zap.String("request", j.id), zap.String("route", j.route.Name), zap.Int("sends", j.sends), zap.String("server", s.id),
		zap.String("model", j.prompt.Model), zap.String("adapter", j.prompt.Adapter), zap.Int("tokens", j.prompt.Tokens),
		zap.Duration("waited", j.waited), zap.Duration("first", j.first), zap.Duration("longest", j.longest),
		zap.Duration("after", time.Since(j.arrived)), zap.Float64("reckoned", j.reckoned))
}

// note writes the line that explains a request that was not answered.
func (j *job) note(outcome string, f *failure) {
	fields := []zap.Field{
		zap.String("request", j.id), zap.String("route", j.route.Name), zap.String("outcome", outcome), zap.Uint64("number", j.number),
		zap.Int("sends", j.sends), zap.Duration("after", time.Since(j.arrived)), zap.Duration("left", j.left()),
	}
	if j.prompt.Model != "" {
		fields = append(fields, zap.String("model", j.prompt.Model), zap.String("adapter", j.prompt.Adapter))
	}
	if n := len(j.tried); n > 0 {
		fields = append(fields, zap.String("server", j.tried[n-1].id))
	}
	if f != nil {
		fields = append(fields, zap.String("last", f.why.Code), event.Cause(f.cause))
	}
	event.RequestFailed.Log(j.g.opts.Log, fields...)
}

// outgoing is the request as one server gets it (6).
func (j *job) outgoing(c choice) *outgoing {
	d := &j.g.opts.Dialect
	s := c.server
	h := passHeaders(j.r.Header)
	if c.from != nil && d.Fetch != "" {
		setHeader(h, d.Fetch, c.from.address)
	}
	h.Del("Content-Length")
	setHeader(h, d.Deadline, strconv.FormatInt(max(1, j.left().Milliseconds()), 10))
	setHeader(h, d.Instance, s.id)
	if j.prompt.Model != "" {
		setHeader(h, d.Rank, strconv.Itoa(min(j.route.Rank, 9)))
	}
	if j.stream.any {
		setHeader(h, d.LastEvent, strconv.FormatUint(j.stream.last, 10))
	}
	return &outgoing{method: j.r.Method, target: j.r.RequestURI, host: j.r.Host, header: h, body: j.body, id: j.id}
}
