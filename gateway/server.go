package gateway

import (
	"cmp"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"leverdrum/wire"
)

// server is one backend server as this box sees it.
type server struct {
	id      string // of its life
	name    string // by which it is called
	version string // of its software
	address string
	hall    string
	region  string
	slots   int
	hash    uint64
	made    time.Time
	conns   *conns
	leaving atomic.Int64 // since when, in unix nanoseconds; 0: it stays
	silent  atomic.Bool
	// evacuated tells that nothing goes to its data hall.
	evacuated atomic.Bool

	mu               sync.Mutex
	inFlight         int
	reading          float64     // milliseconds of prompts that wait for their first event
	pending          []time.Time // when those were sent, the oldest first
	delay            decayed     // by how much first events came later than their reading takes
	kept             *kept       // nil: nothing
	used             time.Time   // when an attempt was begun here last
	heldUp           decayed     // share of streams that were held up for too long
	failures         int         // in a row
	outUntil         time.Time
	failedAt, probed time.Time            // when no connection could be opened last, and when one was tried
	replaced         bool                 // another server has the address
	lacks            map[string]time.Time // models and adapters that it lately said it lacks
}

func newServer(a *wire.Announcement) *server {
	return &server{
		id: a.Id, name: cmp.Or(a.Name, a.Id), version: a.Version, address: a.Address, hall: a.Hall, slots: int(max(1, a.Slots)), hash: xxhash.Sum64String(a.Id),
		conns: newConns(a.Address), made: time.Now(),
	}
}

// part notes that the server leaves, and reports whether that is news.
func (s *server) part(now time.Time) bool { return s.leaving.CompareAndSwap(0, now.UnixNano()) }

// parted reports for how long the server has been leaving; false when it stays.
func (s *server) parted(now time.Time) (time.Duration, bool) {
	since := s.leaving.Load()
	return time.Duration(now.UnixNano() - since), since != 0
}

const (
	// outAfter is how many failures in a row take a server out, outFirst and
	// maxOut for how long.
	outAfter = 2
	outFirst = 400 * time.Millisecond
	maxOut   = 4 * time.Second
	// outSilent is how long a silent server is out the first time.
	outSilent = time.Second
	// lackFor is how long a server is skipped for a model that it said it lacks,
	// though it is agreed that it has it: it may be about to have it, or the word of
	// that is about to be corrected.
	lackFor = 150 * time.Millisecond
)

// begin records an attempt, and returns how many of this box were there before.
func (s *server) begin(now time.Time, work float64) (beside int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	beside = s.inFlight
	s.inFlight++
	s.used = now
	s.reading += work
	s.pending = append(s.pending, now)
	return beside
}

// unusedFor is how long nothing was sent to a server until what is known of it is dropped.
const unusedFor = time.Minute

// unused reports whether nothing was sent to the server lately, and nothing is known of it that it should be spared for.
func (s *server) unused(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight == 0 && now.Sub(s.used) > unusedFor && now.Sub(s.made) > unusedFor && now.Sub(s.failedAt) > maxDown && now.After(s.outUntil) && !s.replaced
}

// settle forgets one that waited for its first event since a time.
func (s *server) settle(began time.Time, work float64) {
	s.reading = max(0, s.reading-work)
	if i := slices.Index(s.pending, began); i >= 0 {
		s.pending = slices.Delete(s.pending, i, i+1)
	}
}

// first notes that the first event, or the answer, came after a time.
func (s *server) first(now, began time.Time, work float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.settle(began, work)
	s.failedAt = time.Time{}
	s.delay.toward(now, max(0, milliseconds(now.Sub(began))-work), delayNewest, delayFades)
	s.failures = 0
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

const (
	// heldCost is the cost in milliseconds of a server that holds up all streams, and
	// heldRead what it costs more for each millisecond of reading.
	heldCost = 300.0
	heldRead = 2.0
	// heldFades is the time in which what is known of that falls to about a third;
	// heldNewest is the weight of one stream.
	heldFades  = 20 * time.Second
	heldNewest = 0.15
)

// streamed notes whether a stream was held up for too long between two events.
func (s *server) streamed(now time.Time, heldUp bool) {
	v := 0.0
	if heldUp {
		v = 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heldUp.toward(now, v, heldNewest, heldFades)
}

// holdsUp is the cost in milliseconds of holding up streams (6).
func (s *server) holdsUp(now time.Time, work float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.heldUp.at(now, heldFades) * (heldCost + heldRead*work)
}

// end notes the end of a request. unread tells that its first event has not come.
func (s *server) end(began time.Time, work float64, unread bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if unread {
		s.settle(began, work)
	}
}

// failed notes a failure, and takes the server out for a time after some.
func (s *server) failed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures++
	if s.failures >= outAfter {
		out := outFirst << min(s.failures-outAfter, 4)
		s.outUntil = now.Add(min(out, maxOut))
	}
}

// silenced notes that a server could not be reached or fell silent; it is taken out
// at once.
func (s *server) silenced(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures = max(s.failures+1, outAfter)
	s.outUntil = now.Add(min(outSilent<<min(s.failures-outAfter, 2), maxOut))
}

const (
	// maxDown is how long a server that no connection could be opened to is taken to
	// be down, unless one was opened since.
	maxDown = 5 * time.Second
	// probeEvery is the time between two requests that try such a server.
	probeEvery = 500 * time.Millisecond
)

// setDown notes that no connection could be opened to the server. It reports whether
// none is open either: then it has most likely ended, or is cut off.
func (s *server) setDown(now time.Time) bool {
	if s.conns.any() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedAt, s.probed = now, now
	return true
}

// unheard is the silence on all its connections after which a server that does not answer
// when another is opened counts as down.
const unheard = time.Second

// setUnreached notes that the server did not answer when a connection was opened. It
// reports whether nothing else speaks for it either.
func (s *server) setUnreached(now time.Time) bool {
	if s.conns.any() && s.conns.heardSince(now.Add(-unheard)) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedAt, s.probed = now, now
	return true
}

// down reports whether the server is taken to be down.
func (s *server) down(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.failedAt) < maxDown && !s.conns.heardSince(s.failedAt)
}

// probe reports whether a request may try a server that is down: one at a time.
func (s *server) probe(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.probed) < probeEvery {
		return false
	}
	s.probed = now
	return true
}

// setGone notes that another server has the address: this one never comes back.
func (s *server) setGone() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaced = true
}

func (s *server) gone() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replaced
}

// lack notes that the server said that it lacks a model or adapter.
func (s *server) lack(name string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.lacks == nil {
		s.lacks = map[string]time.Time{}
	}
	s.lacks[name] = now.Add(lackFor)
}

// lacking reports whether the server said lately that it lacks a model or adapter.
func (s *server) lacking(name string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.lacks[name]
	if ok && now.After(until) {
		delete(s.lacks, name)
		return false
	}
	return ok
}

func (s *server) out(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Before(s.outUntil)
}

// load is the work that waits, in milliseconds, and the share of slots taken.
func (s *server) load(now time.Time) (waits, taken float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	late := s.delay.at(now, delayFades)
	if len(s.pending) > 0 {
		late = max(late, milliseconds(now.Sub(s.pending[0]))-s.reading)
	}
	return s.reading + late, float64(s.inFlight) / float64(s.slots)
}

// decayed is a value that fades when nothing new is noted.
type decayed struct {
	value float64
	noted time.Time
}

const (
	// delayFades is the time in which a noted delay falls to about a third.
	delayFades = 1500 * time.Millisecond
	// delayNewest is the weight of a new delay.
	delayNewest = 0.3
)

func (d *decayed) at(now time.Time, fades time.Duration) float64 {
	return d.value * math.Exp(-float64(now.Sub(d.noted))/float64(fades))
}

func (d *decayed) toward(now time.Time, v, newest float64, fades time.Duration) {
	d.value = (1-newest)*d.at(now, fades) + newest*v
	d.noted = now
}
