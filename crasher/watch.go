package crasher

import (
	"slices"
	"sync"
	"time"

	"leverdrum/wire"
)

// Fate is what became of a server that broke off.
type Fate int

// The fates.
const (
	// Unclear: it does not answer.
	Unclear Fate = iota
	// Lives: it goes on.
	Lives
	// Ended: nothing listens at its address any more.
	Ended
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

// Broken is a sending that broke before its answer was whole.
type Broken struct {
	Print Print
	// Sent is when the request went out, Begun when its first event came (zero: none came) and At
	// when it broke.
	Sent, Begun, At time.Time
	// Silent tells that nothing broke, but that the server fell silent.
	Silent bool
}

// weak is rule 2.
func (b *Broken) weak() bool {
	return b.Silent || !b.Begun.IsZero() && b.At.Sub(b.Begun) > longRun
}

// Watch keeps a box's broken sendings until it is known whether their server ended (1).
type Watch struct {
	tell   func(*wire.CrashReport)
	start  time.Time // of the clock by which this box's signs are compared
	served *Served

	mu      sync.Mutex
	waiting map[Server]*waiting
	count   int
}

type waiting struct {
	list    []Broken
	looking bool
}

// NewWatch returns a Watch that tells of signs; tell must not block.
func NewWatch(tell func(*wire.CrashReport)) *Watch {
	return &Watch{tell: tell, start: time.Now(), served: NewServed(), waiting: map[Server]*waiting{}}
}

// Break takes a broken sending in. look says what became of the server; it is asked on another
// goroutine, a few times at most. Without it only what is agreed of the server counts.
func (w *Watch) Break(s Server, b Broken, look func() Fate) {
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

func (w *Watch) look(s Server, look func() Fate) {
	began := time.Now()
	fate := Unclear
	for _, at := range looks {
		time.Sleep(at - time.Since(began))
		if fate = look(); fate == Ended {
			break
		}
	}
	switch fate {
	case Ended:
		w.Ended(s)
	case Lives:
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
func (w *Watch) take(s Server) []Broken {
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

// Waiting returns the servers that word is waited for.
func (w *Watch) Waiting() (list []Server) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for s := range w.waiting {
		list = append(list, s)
	}
	return list
}

// Ended tells of what broke at a server that has ended.
func (w *Watch) Ended(s Server) {
	now := time.Now()
	list := slices.DeleteFunc(w.take(s), func(b Broken) bool { return now.Sub(b.At) > brokenFor })
	if len(list) == 0 {
		return
	}
	r := &wire.CrashReport{}
	for i := range list {
		b := &list[i]
		r.Signs = append(r.Signs, &wire.CrashSign{
			Print: b.Print[:], Server: s.ID, Version: s.Version, Weak: b.weak(), SentAgoMs: ms(now.Sub(b.Sent)), EndedAgoMs: ms(now.Sub(b.At)),
			SentHereMs: b.Sent.Sub(w.start).Milliseconds(), EndedHereMs: b.At.Sub(w.start).Milliseconds(),
		})
	}
	w.tell(r)
}

// Left drops what broke at a server that had said it leaves (1).
func (w *Watch) Left(s Server) { w.take(s) }

// Done takes in that a server answered a request in full, and tells of it where the request is suspected (5).
func (w *Watch) Done(p Print, version string, b *Book) {
	w.served.Note(p, version)
	if b.Suspected(p, version) {
		w.tell(&wire.CrashReport{Served: []*wire.ServedSuspect{{Print: p[:], Version: version}}})
	}
}

// Agreed looks at what is agreed, and tells of suspects that this box saw answered before.
func (w *Watch) Agreed(b *Book) {
	if r := w.served.Clears(b); r != nil {
		w.tell(r)
	}
}

// dropOld forgets what waited in vain. Sendings are listed as they broke.
func (w *Watch) dropOld(now time.Time) {
	for s, at := range w.waiting {
		old := 0
		for old < len(at.list) && now.Sub(at.list[old].At) > brokenFor {
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
