package crasher

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"leverdrum/wire"
)

// Liveness is the state of a server at which an attempt failed.
type Liveness int

// Values of Liveness.
const (
	// Unknown means that the server does not answer.
	Unknown Liveness = iota
	// Running means that the server is still running.
	Running
	// Terminated means that nothing listens at the server's address any more.
	Terminated
)

const (
	// longRunThreshold is how long after its first event a request has run for long (2).
	longRunThreshold = time.Second
	// pendingTTL is how long a failed attempt waits for the state of its server: an unreachable server is
	// counted as unresponsive within about four seconds.
	pendingTTL = 10 * time.Second
	// maxPending bounds the pending attempts of all servers. If 10,000 requests a second all fail, only a part
	// is reported.
	maxPending = 4096
)

// probeDelays are the times after a failure at which the server is probed. A process that terminates closes its
// connections and its port within some milliseconds; a server whose port still answers at the last probe keeps
// running.
var probeDelays = []time.Duration{5 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond}

// Server identifies a backend server in crash reports.
type Server struct {
	// ID is the server's incarnation, Version that of its software.
	ID, Version string
}

// FailedAttempt is an attempt that failed before its answer was complete.
type FailedAttempt struct {
	Fingerprint Fingerprint
	// Service is the service that the server belongs to, Parts the IDs of the parts of the request's prompt without the last
	// one, which is the request's own.
	Service string
	Parts   []uint64
	// SentAt is when the request was sent, FirstEventAt when its first event came (zero if none came), and
	// FailedAt when the attempt failed.
	SentAt, FirstEventAt, FailedAt time.Time
	// Unresponsive reports that the connection did not fail, but the server became unresponsive.
	Unresponsive bool
}

// weak reports whether the attempt is weak evidence (2).
func (b *FailedAttempt) weak() bool {
	return b.Unresponsive || !b.FirstEventAt.IsZero() && b.FailedAt.Sub(b.FirstEventAt) > longRunThreshold
}

// Watcher keeps a box's failed attempts until it is known whether their server terminated (1).
type Watcher struct {
	report func(*wire.CrashReport)
	// recordExposures is told of exposures, see NewWatcher.
	recordExposures func(Server, []Exposure)
	clockStart      time.Time // origin of the clock by which this box's evidence is compared
	served          *ServedCache
	// servedParts is the same for prompt parts.
	servedParts *ServedCache
	own         ownEvidence
	runs        runs
	sharesRuns  atomic.Bool // whether all boxes know reports of runs (17)
	runCheckDue atomic.Bool // whether a check of runs is scheduled
	// exposureTable returns the replicated table, see CheckRuns; nil before its first call.
	exposureTable atomic.Pointer[func() *Registry]

	mu      sync.Mutex
	pending map[Server]*pendingAttempts
	count   int
}

type pendingAttempts struct {
	attempts []FailedAttempt
	probing  bool
}

// NewWatcher returns a Watcher that passes its reports to report, and to recordExposures (nil: to none) the exposures of the prompt
// parts at each terminated server with which requests run at other servers (15). Neither function may block.
func NewWatcher(report func(*wire.CrashReport), recordExposures func(Server, []Exposure)) *Watcher {
	if recordExposures == nil {
		recordExposures = func(Server, []Exposure) {}
	}
	w := &Watcher{
		recordExposures: recordExposures,
		clockStart:      time.Now(), served: NewServedCache(maxServed), servedParts: NewServedCache(maxServedParts), pending: map[Server]*pendingAttempts{},
	}
	w.report = func(r *wire.CrashReport) {
		w.own.apply(r, w.servedParts)
		report(r)
	}
	return w
}

// RecordFailure records a failed attempt. probe returns the state of the server; it is called on another goroutine,
// at most once for each of probeDelays. If it is nil, only the replicated state of the server counts.
func (w *Watcher) RecordFailure(s Server, attempt FailedAttempt, probe func() Liveness) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropExpired(time.Now())
	if w.count >= maxPending {
		return
	}
	waiting := w.pending[s]
	if waiting == nil {
		waiting = &pendingAttempts{}
		w.pending[s] = waiting
	}
	waiting.attempts = append(waiting.attempts, attempt)
	w.count++
	if probe != nil && !waiting.probing {
		waiting.probing = true
		go w.probeServer(s, probe)
	}
}

func (w *Watcher) probeServer(s Server, probe func() Liveness) {
	startedAt := time.Now()
	liveness := Unknown
	for _, delay := range probeDelays {
		time.Sleep(delay - time.Since(startedAt))
		if liveness = probe(); liveness == Terminated {
			break
		}
	}
	switch liveness {
	case Terminated:
		w.RecordTermination(s)
	case Running:
		w.removePending(s)
	default:
		w.mu.Lock()
		defer w.mu.Unlock()
		if waiting := w.pending[s]; waiting != nil {
			waiting.probing = false
		}
	}
}

// removePending removes and returns the pending attempts of a server.
func (w *Watcher) removePending(s Server) []FailedAttempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	waiting := w.pending[s]
	if waiting == nil {
		return nil
	}
	delete(w.pending, s)
	w.count -= len(waiting.attempts)
	return waiting.attempts
}

// PendingServers returns the servers with pending attempts.
func (w *Watcher) PendingServers() (list []Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for s := range w.pending {
		list = append(list, s)
	}
	return list
}

// RecordTermination reports the attempts that failed at a terminated server.
func (w *Watcher) RecordTermination(s Server) {
	now := time.Now()
	list := slices.DeleteFunc(w.removePending(s), func(b FailedAttempt) bool { return now.Sub(b.FailedAt) > pendingTTL })
	if len(list) == 0 {
		return
	}
	exposed := w.runs.longest(partsOfAttempts(list), s)
	w.reportEvidence(s, withoutExposed(list, exposed))
	if len(exposed) == 0 {
		return
	}
	list = onlyExposed(list, exposed)
	compare := func() []Exposure { return exposures(list, w.runs.longest(partsOfAttempts(list), s)) }
	time.AfterFunc(exposureReportDelay, func() { w.reportExposures(compare()) })
	time.AfterFunc(exposureDelay, func() {
		compared := compare()
		w.recordExposures(s, compared)
		w.reportEvidence(s, withoutRefuted(list, compared))
	})
}

// reportEvidence reports attempts that failed at a terminated server.
func (w *Watcher) reportEvidence(s Server, list []FailedAttempt) {
	if len(list) == 0 {
		return
	}
	now := time.Now()
	r := &wire.CrashReport{Served: w.servedPartsOf(list)}
	for i := range list {
		b := &list[i]
		r.Signs = append(r.Signs, &wire.CrashSign{
			Print: b.Fingerprint[:], Server: s.ID, Version: s.Version, Weak: b.weak(), SentAgoMs: ms(now.Sub(b.SentAt)), EndedAgoMs: ms(now.Sub(b.FailedAt)),
			SentHereMs: b.SentAt.Sub(w.clockStart).Milliseconds(), EndedHereMs: b.FailedAt.Sub(w.clockStart).Milliseconds(),
			Service: b.Service, Parts: b.Parts, RanMs: ms(b.ranFor()),
		})
	}
	w.report(r)
	w.checkRunsAgain()
}

// servedPartsOf lists those prompt parts of failed attempts that this box saw answered before. The leader learns this with the
// evidence: parts that all requests share are at each server that terminates.
func (w *Watcher) servedPartsOf(attempts []FailedAttempt) (list []*wire.ServedSuspect) {
	seen := map[Fingerprint]bool{}
	for i := range attempts {
		for _, id := range attempts[i].Parts {
			p := PartFingerprint(attempts[i].Service, id)
			if !seen[p] && w.servedParts.contains(p) {
				list = append(list, &wire.ServedSuspect{Print: p[:], Before: true})
			}
			seen[p] = true
		}
	}
	return list
}

// DropPending drops the attempts whose servers' state is not known yet, of all servers: the box found that its own links failed.
func (w *Watcher) DropPending() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, waiting := range w.pending {
		w.count -= len(waiting.attempts)
		waiting.attempts = nil
	}
}

// RecordDrained drops the attempts that failed at a server that had reported that it is draining (1).
func (w *Watcher) RecordDrained(s Server) { w.removePending(s) }

// RecordServed records that a server answered a request in full, and reports it if the request is suspected (5).
func (w *Watcher) RecordServed(p Fingerprint, version string, registry *Registry) {
	w.served.Record(p, version)
	w.reportIfSuspected([]Fingerprint{p}, version, registry)
}

// RecordServedParts is RecordServed for the parts of the request's prompt (10).
func (w *Watcher) RecordServedParts(parts []Fingerprint, registry *Registry) {
	for _, p := range parts {
		w.servedParts.Record(p, "")
	}
	w.reportIfSuspected(parts, "", registry)
}

func (w *Watcher) reportIfSuspected(prints []Fingerprint, version string, registry *Registry) {
	r := &wire.CrashReport{}
	for _, p := range prints {
		if registry.Suspected(p, version) || w.own.suspected(p, version) {
			r.Served = append(r.Served, &wire.ServedSuspect{Print: p[:], Version: version})
		}
	}
	if len(r.Served) > 0 {
		w.report(r)
	}
}

// ReportServed reports the committed suspects that this box saw answered before.
func (w *Watcher) ReportServed(registry *Registry) {
	for _, cache := range []*ServedCache{w.served, w.servedParts} {
		if r := cache.ClearReport(registry); r != nil {
			w.report(r)
		}
	}
}

// RecordCommitted records that this box's reports so far were committed. The replicated table includes them, unless it has no prompt
// parts (12).
func (w *Watcher) RecordCommitted(promptParts bool) {
	w.own.committed(promptParts)
}

// Blocks reports whether a request is blocked from servers of a software version: by the replicated table, or by the evidence of
// this box alone, which may not reach a leader (12).
func (w *Watcher) Blocks(registry *Registry, p Fingerprint, version string) bool {
	s := registry.Suspects[Key{p, version}]
	if s.GetHeld() {
		return !w.exempts(s)
	}
	return !s.GetServed() && !hasRuling(s) && w.own.blocks(p, version)
}

// exempts reports whether a blocked suspect is a prompt part that this box has seen answered, while the table does not include that
// yet: the leader is about to learn that it needs more evidence (10).
func (w *Watcher) exempts(s *wire.Suspect) bool {
	return isPart(s) && !hasRuling(s) && !s.Served && s.Weight < servedBlockWeight && w.servedParts.contains(Fingerprint(s.Print))
}

// BlocksAny reports whether one of the parts of a prompt is blocked.
func (w *Watcher) BlocksAny(registry *Registry, parts []Fingerprint) bool {
	return slices.ContainsFunc(parts, func(p Fingerprint) bool { return w.Blocks(registry, p, "") })
}

// HasBlocked reports whether any request or prompt part is blocked. If not, no fingerprint needs to be computed.
func (w *Watcher) HasBlocked(registry *Registry) bool {
	return registry.HasBlocked() || w.own.hasBlocked()
}

// dropExpired drops attempts older than pendingTTL. Attempts are listed in the order in which they failed.
func (w *Watcher) dropExpired(now time.Time) {
	for s, waiting := range w.pending {
		expired := 0
		for expired < len(waiting.attempts) && now.Sub(waiting.attempts[expired].FailedAt) > pendingTTL {
			expired++
		}
		waiting.attempts = waiting.attempts[expired:]
		w.count -= expired
		if len(waiting.attempts) == 0 && !waiting.probing {
			delete(w.pending, s)
		}
	}
}

func ms(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }
