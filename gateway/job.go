package gateway

import (
	"context"
	"crypto/rand"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"leverdrum/crasher"
	"leverdrum/dialect"
	"leverdrum/fleet"
	"leverdrum/internal/attest"
	"leverdrum/internal/framing"
	"leverdrum/internal/membudget"
	"leverdrum/meter"
	"leverdrum/origin"
	"leverdrum/pushback"
	"leverdrum/rate"
	"leverdrum/reason"
	"leverdrum/workspace"
)

// minRemaining is the least remaining time with which an attempt is sent.
const minRemaining = 15 * time.Millisecond

// job is one request being served.
type job struct {
	g             *Gateway
	w             http.ResponseWriter
	r             *http.Request
	route         *fleet.Route
	owner         *workspace.Workspace // the request's workspace; nil: none
	refusal       *rate.Refusal        // by the quota; nil: the quota admitted the request
	hasWorkspaces bool                 // the fleet has workspaces, so the caller's key is meant for this system
	regions       regions              // in which the request may be served
	poolName      string
	number        uint64 // configuration that routed the request
	id            string
	body          []byte
	memory        *membudget.Hold // of its responses
	arrived       time.Time
	deadline      time.Time
	prompt        dialect.Prompt
	keys          []uint64

	tried               []*server // not chosen again while others are left
	current             *server   // of the latest attempt
	attempts            int       // attempts sent
	possibleRuns        int       // attempts that may have run
	stream              events
	firstServer         *server      // that sent the first event of the response; nil: none yet
	run                 *crasher.Run // the stream in progress; nil: none
	pinned              bool         // only servers of pinnedVersion may continue the stream
	pinnedVersion       string
	originSource        origin.Source        // how pinnedVersion is known, if this request resumes a stream
	versionAwaitedUntil time.Time            // when the request stops waiting for servers of pinnedVersion; zero: it has not begun to
	resumes             string               // the request that began the stream, if this one resumes it and names it
	headSent            bool                 // the head of the response was forwarded
	end                 framing.End          // how the response ended at its server
	undelimited         *framing.Undelimited // of the forwarded head; nil: it determines where the response ends
	responseStarted     atomic.Bool          // same as headSent, for other goroutines
	// retryGranted is set if the next attempt was already charged to the retry budget.
	retryGranted   atomic.Bool
	permit         pushback.Permit // of the latest attempt
	load           *attemptLoad    // the latest attempt in a pool that shares its load, else nil
	retryAfter     time.Duration   // time until a server takes the request, where limits or backoff refused it
	brokenAttempts int             // attempts in which the server may have crashed
	relayedBy      string          // the box that relayed the latest attempt; "": this box sent it
	// queueTime is the time from arrival to the first attempt, sentAfter to the latest attempt,
	// firstEventAfter to the first event. longestPause is the longest pause between two events.
	queueTime, sentAfter, firstEventAfter, longestPause time.Duration
	// firstEventAt is when the first event of the latest attempt arrived; zero: none has.
	firstEventAt time.Time

	queueDelay       float64 // milliseconds until the best server, or the quota, is expected to take the request
	estimatedPrefill float64 // estimated prefill time at the chosen server in milliseconds
	concurrent       int     // requests of this box that the server was running when this one was sent
	status           int     // status code forwarded to the caller
	lastFailure      *failure

	cachedFingerprint crasher.Fingerprint   // computed on first use
	cachedPartPrints  []crasher.Fingerprint // of partPrints, computed on first use

	admission jobAdmission
}

func (g *Gateway) newJob(w http.ResponseWriter, r *http.Request, t *table, route *fleet.Route, body []byte, arrived time.Time) *job {
	j := &job{
		g: g, w: w, r: r, route: route, poolName: pickPool(route.Split), number: t.number, body: body, arrived: arrived,
		id: r.Header.Get(g.opts.Dialect.RequestID), prompt: g.opts.Dialect.Prompt(r.Header),
	}
	if j.id == "" && g.opts.Dialect.DrawsRequestID {
		j.id = rand.Text()
	}
	j.keys = prefixKeys(j.prompt)
	j.deadline = arrived.Add(route.Timeout)
	if ms, err := strconv.ParseFloat(r.Header.Get(g.opts.Dialect.Deadline), 64); err == nil {
		if d := arrived.Add(time.Duration(ms * float64(time.Millisecond))); d.Before(j.deadline) {
			j.deadline = d
		}
	}
	return j
}

// serve sends the request until it is answered or must be given up.
func (j *job) serve() {
	ctx, cancel := context.WithDeadline(j.r.Context(), j.deadline)
	defer cancel()
	defer j.g.opts.Shutdown.OnEnd(cancel)()
	if j.blockedEverywhere() {
		j.giveUp(j.blockReason())
		return
	}
	if refusal := j.pinResumedStream(ctx); refusal != nil {
		j.giveUp(refusal)
		return
	}
	charge, refusal := j.chargeQuota(ctx)
	if refusal != nil {
		j.giveUp(refusal)
		return
	}
	defer j.refundQuota(charge)
	j.g.budgets.recordFirst(j.poolName)
	j.recordDemand()
	defer j.recordOutcome()
	for {
		c, refusal := j.findServer(ctx)
		if refusal != nil {
			j.giveUp(refusal)
			return
		}
		if j.attempt(ctx, c) {
			if j.status == http.StatusOK && j.forKnownModel() {
				j.g.slotTimes.record(j.prompt.Model, time.Since(j.arrived)-j.sentAfter)
			}
			j.g.opts.Shutdown.Record(j.route.Name, time.Since(j.arrived))
			j.g.opts.Meters.Observer(meter.RequestDuration, j.route.Name).Observe(time.Since(j.arrived).Seconds())
			j.recordServed()
			j.logDone()
			j.recordLate()
			return
		}
	}
}

func (j *job) recordDemand() {
	if j.prompt.Model == "" {
		return
	}
	prefill := duration(j.expectedPrefill())
	j.g.demand.record(j.prompt, prefill)
	j.admission.prefill = prefill
}

// forKnownModel reports whether the request is for a model of the fleet. Callers may name any
// number of other models: nothing is remembered of those.
func (j *job) forKnownModel() bool {
	f := j.g.dir.table().fleet
	return f != nil && f.Models[j.prompt.Model] != nil
}

// print identifies the request across attempts and boxes. It is computed on first use, for
// most requests at the end of the response.
func (j *job) print() crasher.Fingerprint {
	if j.cachedFingerprint == (crasher.Fingerprint{}) {
		j.cachedFingerprint = crasher.FingerprintOf(crasher.Content{Method: j.r.Method, Host: j.r.Host, Target: j.r.RequestURI, Model: itemOf(j.prompt), Body: j.body})
	}
	return j.cachedFingerprint
}

// rank is the urgency of the request, 0 is the highest.
func (j *job) rank() int { return j.owner.RequestUrgency(j.route.Rank) }

func (j *job) remaining() time.Duration { return time.Until(j.deadline) }

// attempt sends the request to one server and reports whether it was answered.
func (j *job) attempt(ctx context.Context, c choice) (answered bool) {
	if j.remaining() < minRemaining {
		j.releasePermit()
		j.giveUp(reason.BackendTimeout)
		return true
	}
	if !j.headSent && j.outlastsStop() {
		j.releasePermit()
		j.giveUp(reason.OutlastsStop)
		return true
	}
	if j.attempts == 0 {
		j.queueTime = time.Since(j.arrived)
		j.recordAdmitted()
	}
	j.attempts++
	j.sentAfter, j.firstEventAt = time.Since(j.arrived), time.Time{}
	j.estimatedPrefill, j.queueDelay = c.duration(), c.queueDelay
	j.tried = append(j.tried, c.server)
	s := c.server
	j.current = s
	startedAt := time.Now()
	j.concurrent = s.beginAttempt(startedAt, c.work)
	pending := true
	j.load = j.beginLoad(c, startedAt)
	if j.attempts == 1 {
		j.recordCachedShare(c)
	}
	defer j.permit.Done()
	defer func() {
		j.g.crashWatch.EndRun(j.run)
		j.run = nil
		s.endAttempt(startedAt, c.work, pending)
		j.load.end()
	}()
	o := j.outgoing(c)
	o.refusal = func() *failure { return j.g.refusal(s, j.blockedAt(s)) }
	o.observe = func(resp *http.Response, r attest.Ruling) { j.g.observe(s, j.id, resp, r) }
	o.watching = j.load.setWatch
	a, f := j.exchange(ctx, s, o)
	if f != nil {
		j.g.recordMalformed(s, j.id, f)
		if f.unsent() {
			j.releasePermit()
		}
		if errors.Is(f.cause, ErrInBackoff) || errors.Is(f.cause, ErrBlocked) {
			j.attempts--
		}
		return j.handleFailure(ctx, s, f)
	}
	if f := j.checkResponse(a); f != nil {
		a.discard()
		if a.StatusCode == http.StatusMisdirectedRequest {
			j.recordMisdirected(s, a)
		}
		return j.handleFailure(ctx, s, f)
	}
	j.recordResponse(a, false)
	if j.retryServerError(s, a) {
		a.discard()
		return false
	}
	onFirstEvent := func() {
		j.firstEventAt = time.Now()
		if isStream(a) && j.relayedBy == "" {
			j.load.samplePrefill(j.firstEventAt.Sub(startedAt))
		}
		if j.relayedBy == "" {
			s.recordFirstEvent(j.firstEventAt, startedAt, c.work)
		} else {
			s.recordRelayedFirstEvent(j.firstEventAt, startedAt, c.work)
		}
		pending = false
		if isStream(a) {
			j.run = j.g.crashWatch.BeginRun(s.crasherID(), j.print(), j.partPrints(), j.firstEventAt)
		}
		j.recordResponse(a, true)
		j.load.firstEvent()
		if isStream(a) {
			j.recordResumed(s)
		}
		firstEventAfter := j.firstEventAt.Sub(j.arrived)
		if !j.headSent { // a resumed stream keeps the time of the first event that reached its caller
			j.firstEventAfter = firstEventAfter
		}
		if j.relayedBy == "" {
			j.recordPrefillTime(c, firstEventAfter-j.sentAfter)
		}
		if a.StatusCode < http.StatusMultipleChoices {
			j.recordPrefixes(c)
		}
	}
	if isStream(a) {
		return j.relayStream(ctx, s, a, onFirstEvent)
	}
	return j.relayWhole(ctx, s, a, onFirstEvent)
}

// exchange sends the request once, through another box where this one does not reach the server, and reads the head of the
// response.
func (j *job) exchange(ctx context.Context, s *server, o *outgoing) (*response, *failure) {
	j.relayedBy = ""
	if !j.g.relaysTo(s, j.id) {
		return exchange(ctx, s.pool, o, &j.g.headers, j.silenceTimeout(), j.abortCheck(s))
	}
	silence := time.Duration(0)
	if j.route.Repeatable() {
		silence = j.silenceTimeout()
	}
	return j.relayedExchange(ctx, s, o, silence)
}

// outgoing returns the request as it is sent to a server (6).
func (j *job) outgoing(c choice) *outgoing {
	d := &j.g.opts.Dialect
	s := c.server
	h := passHeaders(j.r.Header)
	d.DropReserved(h)
	j.setWorkspace(h)
	if c.prefixSource != nil && d.Fetch != "" {
		setHeader(h, d.Fetch, c.prefixSource.address)
	}
	h.Del("Content-Length")
	if j.id != "" {
		setHeader(h, d.RequestID, j.id)
	}
	setHeader(h, d.Deadline, strconv.FormatInt(max(1, j.remaining().Milliseconds()), 10))
	setHeader(h, d.Instance, s.name)
	if j.prompt.Model != "" {
		setHeader(h, d.Rank, strconv.Itoa(j.rank()))
	}
	if j.stream.any {
		setHeader(h, d.LastEvent, strconv.FormatUint(j.stream.last, 10))
	}
	return &outgoing{method: j.r.Method, target: j.r.RequestURI, host: j.r.Host, header: h, body: j.body, id: j.id}
}

// setWorkspace removes the workspace key from the headers of an attempt and adds the name of the
// workspace (10). Without workspaces, a header with the name of the key belongs to the caller and is
// forwarded.
func (j *job) setWorkspace(h http.Header) {
	d := &j.g.opts.Dialect
	if j.hasWorkspaces {
		h.Del(d.Key)
	}
	if j.owner != nil && d.Workspace != "" {
		setHeader(h, d.Workspace, j.owner.Name)
	}
}
