package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"leverdrum/crasher"
	"leverdrum/dialect"
	"leverdrum/fleet"
	"leverdrum/meter"
	"leverdrum/pushback"
	"leverdrum/rate"
	"leverdrum/reason"
	"leverdrum/workspace"
)

// minLeft is the time below which nothing is sent any more.
const minLeft = 15 * time.Millisecond

// job is one request on its way.
type job struct {
	g        *Gateway
	w        http.ResponseWriter
	r        *http.Request
	route    *fleet.Route
	owner    *workspace.Workspace // whose request it is; nil: nobody's
	refusal  *rate.Refusal        // by the quota; nil: it bore the request
	keyed    bool                 // the fleet has workspaces, so that the caller's key is for the system
	regions  regions              // in which it may be served
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
	runs   int // attempts that may have run
	stream events
	headed bool        // the head of the answer was passed on
	whole  bool        // and all of it, to an end that it told
	begun  atomic.Bool // the same, for other goroutines
	// granted tells that the next attempt was taken off the budget already.
	granted atomic.Bool
	permit  pushback.Permit // of the newest attempt
	after   time.Duration   // until a server takes it, where limits or rests refused it
	breaks  int             // attempts at whose end their servers may have ended
	// waited is the time to the first attempt, sent that to the last one, first that to
	// the first event, and longest the longest pause between two events.
	waited, sent, first, longest time.Duration
	// firstAt is when the first event of the last attempt came; zero: none has.
	firstAt time.Time

	behind   float64 // milliseconds that the best server was behind
	reckoned float64 // milliseconds of reading at the chosen server
	beside   int     // requests of this box that ran there when it was sent
	status   int     // of the answer that was passed on
	last     *failure

	printed crasher.Fingerprint // once asked for
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
	if j.heldEverywhere() {
		j.giveUp(reason.CrashesServers)
		return
	}
	charge, why := j.chargeQuota(ctx)
	if why != nil {
		j.giveUp(why)
		return
	}
	defer j.refundQuota(charge)
	j.g.budgets.first(j.poolName)
	j.noteDemand()
	for {
		c, why := j.find(ctx)
		if why != nil {
			j.giveUp(why)
			return
		}
		if j.attempt(ctx, c) {
			if j.status == http.StatusOK && j.ofModel() {
				j.g.lasting.note(j.prompt.Model, time.Since(j.arrived)-j.sent)
			}
			j.g.opts.Meters.Observe(meter.Duration, j.route.Name).Observe(time.Since(j.arrived).Seconds())
			j.noteServed()
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
	read *= j.g.reading.perToken(j.prompt.Model)
	j.g.demand.note(j.prompt, time.Duration(read*float64(time.Millisecond)))
}

// sharedReadAgain is the part of the shared parts that is reckoned to be read
// again, in the demand for a model.
const sharedReadAgain = 0.3

// ofModel reports whether the request is for a model of the fleet. Callers may name others,
// and as many as they like: nothing is remembered of those.
func (j *job) ofModel() bool {
	f := j.g.dir.table().fleet
	return f != nil && f.Models[j.prompt.Model] != nil
}

// print stands for the request in whatever attempt and at whatever box it comes. It is made once, when it is
// first asked for: at the end of the answer for most.
func (j *job) print() crasher.Fingerprint {
	if j.printed == (crasher.Fingerprint{}) {
		j.printed = crasher.FingerprintOf(crasher.Content{Method: j.r.Method, Host: j.r.Host, Target: j.r.RequestURI, Model: wantedOf(j.prompt), Body: j.body})
	}
	return j.printed
}

// rank is the urgency of the request, 0 the highest.
func (j *job) rank() int { return j.owner.RequestUrgency(j.route.Rank) }

func (j *job) left() time.Duration { return time.Until(j.deadline) }

// attempt sends the request to one server, and reports whether it was answered.
func (j *job) attempt(ctx context.Context, c choice) (answered bool) {
	if j.left() < minLeft {
		j.releasePermit()
		j.giveUp(reason.BackendLate)
		return true
	}
	if j.sends == 0 {
		j.waited = time.Since(j.arrived)
	}
	j.sends++
	j.sent, j.firstAt = time.Since(j.arrived), time.Time{}
	j.reckoned, j.behind = c.work, c.waits
	j.tried = append(j.tried, c.server)
	s := c.server
	began := time.Now()
	j.beside = s.begin(began, c.work)
	unread := true
	defer func() { s.end(began, c.work, unread) }()
	o := j.outgoing(c)
	o.sendable = func() bool { return j.g.opts.Pushback.Sendable(s.id) }
	o.observe = func(resp *http.Response) { j.observe(s, resp) }
	a, f := exchange(ctx, s.conns, o, j.g.opts.Dialect.RequestID, j.mute(), j.silenceMayEnd(s))
	if f != nil {
		if f.unsent() {
			j.releasePermit()
		}
		if errors.Is(f.cause, ErrInBackoff) {
			j.sends--
		}
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
		j.firstAt = time.Now()
		j.first = j.firstAt.Sub(j.arrived)
		if c.from == nil && j.ofModel() {
			j.g.reading.note(j.prompt.Model, c.unread, milliseconds(j.first-j.sent))
		}
		if a.StatusCode < http.StatusMultipleChoices {
			s.noteKept(j.keys)
		}
	}
	if isStream(a) {
		return j.relay(ctx, s, a, first)
	}
	return j.passWhole(ctx, s, a, first)
}

// outgoing is the request as one server gets it (6).
func (j *job) outgoing(c choice) *outgoing {
	d := &j.g.opts.Dialect
	s := c.server
	h := passHeaders(j.r.Header)
	d.DropReserved(h)
	j.tellOwner(h)
	if c.from != nil && d.Fetch != "" {
		setHeader(h, d.Fetch, c.from.address)
	}
	h.Del("Content-Length")
	setHeader(h, d.Deadline, strconv.FormatInt(max(1, j.left().Milliseconds()), 10))
	setHeader(h, d.Instance, s.name)
	if j.prompt.Model != "" {
		setHeader(h, d.Rank, strconv.Itoa(j.rank()))
	}
	if j.stream.any {
		setHeader(h, d.LastEvent, strconv.FormatUint(j.stream.last, 10))
	}
	return &outgoing{method: j.r.Method, target: j.r.RequestURI, host: j.r.Host, header: h, body: j.body, id: j.id}
}

// tellOwner is rule 10. Without workspaces a header of the key's name is the caller's own affair.
func (j *job) tellOwner(h http.Header) {
	d := &j.g.opts.Dialect
	if j.keyed {
		h.Del(d.Key)
	}
	if j.owner != nil && d.Workspace != "" {
		setHeader(h, d.Workspace, j.owner.Name)
	}
}
