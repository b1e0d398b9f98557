package crasher

import (
	"slices"
	"sync"
	"time"

	"leverdrum/wire"
)

// Liveness is what became of a server that broke off.
type Liveness int

// The fates.
const (
	// Unknown: it does not answer.
	Unknown Liveness = iota
	// Running: it goes on.
	Running
	// Terminated: nothing listens at its address any more.
	Terminated
)

const (
	// longRun is how long after its first event a request has run for long (2).
	longRun = time.Second
	// brokenFor is how long a broken sending waits for word of its server: a dark one is counted as
	// silent within some four seconds.
	brokenFor = 10 * time.Second
	// brokenMost bounds the broken sendings that wait, over all servers: 10,000 requests a second
	// that all break are told in part.
	brokenMost = 4096
)

// looks are the times, from the break, at which a server that broke off is looked at. A process that ends
// closes its connections and its port within some ms; one whose port still answers at the last look goes on.
var looks = []time.Duration{5 * time.Millisecond, 100 * time.Millisecond, 400 * time.Millisecond}

// Server is a backend server as boxes tell of it.
type Server struct {
	// ID is its incarnation, Version that of its software.
	ID, Version string
}

// FailedAttempt is a sending that broke before its answer was whole.
type FailedAttempt struct {
	Fingerprint Fingerprint
	// SentAt is when the request went out, FirstEventAt when its first event came (zero: none came) and FailedAt
	// when it broke.
	SentAt, FirstEventAt, FailedAt time.Time
	// Unresponsive tells that nothing broke, but that the server fell silent.
	Unresponsive bool
}

// weak is rule 2.
func (b *FailedAttempt) weak() bool {
	return b.Unresponsive || !b.FirstEventAt.IsZero() && b.FailedAt.Sub(b.FirstEventAt) > longRun
}

// Watcher keeps a box's broken sendings until it is known whether their server ended (1).
type Watcher struct {
	tell   func(*wire.CrashReport)
	start  time.Time // of the clock by which this box's signs are compared
	served *ServedCache

	mu      sync.Mutex
	waiting map[Server]*waiting
	count   int
}

type waiting struct {
	list    []FailedAttempt
	looking bool
}

// NewWatcher returns a Watch that tells of signs; tell must not block.
func NewWatcher(tell func(*wire.CrashReport)) *Watcher {
	return &Watcher{tell: tell, start: time.Now(), served: NewServedCache(), waiting: map[Server]*waiting{}}
}

// RecordFailure takes a broken sending in. look says what became of the server; it is asked on another
// goroutine, a few times at most. Without it only what is agreed of the server counts.
func (w *Watcher) RecordFailure(s Server, b FailedAttempt, look func() Liveness) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dropOld(time.Now())
	if w.count >= brokenMost {
		return
	}
	at := w.waiting[s]
	if at == nil {
		at = &waiting{}
		w.waiting[s] = at
	}
	at.list = append(at.list, b)
	w.count++
	if look != nil && !at.looking {
		at.looking = true
		go w.look(s, look)
	}
}

func (w *Watcher) look(s Server, look func() Liveness) {
	began := time.Now()
	fate := Unknown
	for _, at := range looks {
		time.Sleep(at - time.Since(began))
		if fate = look(); fate == Terminated {
			break
		}
	}
	switch fate {
	case Terminated:
		w.RecordTermination(s)
	case Running:
		w.take(s)
	default:
		w.mu.Lock()
		defer w.mu.Unlock()
		if at := w.waiting[s]; at != nil {
			at.looking = false
		}
	}
}

// take takes out what waits for a server.
func (w *Watcher) take(s Server) []FailedAttempt {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := w.waiting[s]
	if at == nil {
		return nil
	}
	delete(w.waiting, s)
	w.count -= len(at.list)
	return at.list
}

// PendingServers returns the servers that word is waited for.
func (w *Watcher) PendingServers() (list []Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for s := range w.waiting {
		list = append(list, s)
	}
	return list
}

// RecordTermination tells of what broke at a server that has ended.
func (w *Watcher) RecordTermination(s Server) {
	now := time.Now()
	list := slices.DeleteFunc(w.take(s), func(b FailedAttempt) bool { return now.Sub(b.FailedAt) > brokenFor })
	if len(list) == 0 {
		return
	}
	r := &wire.CrashReport{}
	for i := range list {
		b := &list[i]
		r.Signs = append(r.Signs, &wire.CrashSign{
			Print: b.Fingerprint[:], Server: s.ID, Version: s.Version, Weak: b.weak(), SentAgoMs: ms(now.Sub(b.SentAt)), EndedAgoMs: ms(now.Sub(b.FailedAt)),
			SentHereMs: b.SentAt.Sub(w.start).Milliseconds(), EndedHereMs: b.FailedAt.Sub(w.start).Milliseconds(),
		})
	}
	w.tell(r)
}

// RecordDrained drops what broke at a server that had said it leaves (1).
func (w *Watcher) RecordDrained(s Server) { w.take(s) }

// RecordServed takes in that a server answered a request in full, and tells of it where the request is suspected (5).
func (w *Watcher) RecordServed(p Fingerprint, version string, b *Registry) {
	w.served.Record(p, version)
	if b.Suspected(p, version) {
		w.tell(&wire.CrashReport{Served: []*wire.ServedSuspect{{Print: p[:], Version: version}}})
	}
}

// ReportServed looks at what is agreed, and tells of suspects that this box saw answered before.
func (w *Watcher) ReportServed(b *Registry) {
	if r := w.served.ClearReport(b); r != nil {
		w.tell(r)
	}
}

// dropOld forgets what waited in vain. Sendings are listed as they broke.
func (w *Watcher) dropOld(now time.Time) {
	for s, at := range w.waiting {
		old := 0
		for old < len(at.list) && now.Sub(at.list[old].FailedAt) > brokenFor {
			old++
		}
		at.list = at.list[old:]
		w.count -= old
		if len(at.list) == 0 && !at.looking {
			delete(w.waiting, s)
		}
	}
}

func ms(d time.Duration) uint32 { return uint32(max(0, d.Milliseconds())) }
