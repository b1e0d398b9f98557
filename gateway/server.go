package gateway

import (
	"cmp"
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"leverdrum/internal/liveness"
	"leverdrum/wire"
)

// server is one backend server as this box sees it.
type server struct {
	id            string // of its incarnation
	name          string // the name that requests to it carry
	version       string // software version
	address       string
	service       string
	hall          string
	region        string
	slots         int
	hash          uint64
	createdAt     time.Time
	pool          *connPool
	checker       *liveness.Checker
	drainingSince atomic.Int64 // since when it drains, in Unix nanoseconds; 0: it does not
	unresponsive  atomic.Bool
	// probeSkippedAt is when a request that could have probed the server was last not a probe, in Unix nanoseconds.
	probeSkippedAt atomic.Int64
	// evacuated is set while its data hall is evacuated; nothing is sent to it then.
	evacuated atomic.Bool

	mu                       sync.Mutex
	inFlight                 int
	prefillWork              float64         // milliseconds of prefill for requests that wait for their first event
	pending                  []time.Time     // when these requests were sent, oldest first
	delay                    decayingAverage // how much later first events arrived than their prefill takes
	prefixes                 *prefixCache    // nil: none known
	lastUsed                 time.Time       // start of the latest attempt
	stallRate                decayingAverage // share of streams that were stalled
	failures                 int             // consecutive
	ejectedUntil             time.Time
	unreachableAt, lastProbe time.Time            // last failure to open a connection, last probe
	dialFailedAt             time.Time            // set if the ejection is for a failed dial, and ends with one that succeeds
	relayFailedAt            time.Time            // last failure of a box that relays to open one
	replaced                 bool                 // another server has the address
	missingUntil             map[string]time.Time // until when it counts as missing a model or adapter that it reported missing
}

func newServer(a *wire.Announcement) *server {
	return &server{
		id: a.Id, name: cmp.Or(a.Name, a.Id), version: a.Version, address: a.Address, service: a.Service, hall: a.Hall, slots: int(max(1, a.Slots)), hash: xxhash.Sum64String(a.Id),
		pool: newConnPool(a.Address), createdAt: time.Now(),
	}
}

// markDraining marks the server as draining and reports whether it was not marked before.
func (s *server) markDraining(now time.Time) bool {
	return s.drainingSince.CompareAndSwap(0, now.UnixNano())
}

// drainingFor returns for how long the server has been draining; false where it is not.
func (s *server) drainingFor(now time.Time) (time.Duration, bool) {
	since := s.drainingSince.Load()
	return time.Duration(now.UnixNano() - since), since != 0
}

const (
	// ejectAfter is the number of consecutive failures that eject a server; minEjection and
	// maxEjection bound for how long.
	ejectAfter  = 2
	minEjection = 400 * time.Millisecond
	maxEjection = 4 * time.Second
	// unresponsiveEjection is the first ejection time of an unresponsive server.
	unresponsiveEjection = time.Second
	// missingTTL is how long a server is skipped for an item that it reported missing although the
	// committed state has it there: the load may be about to finish, or the state about to be
	// corrected.
	missingTTL = 150 * time.Millisecond
)

// beginAttempt records the start of an attempt and returns the number of this box's requests
// already there.
func (s *server) beginAttempt(now time.Time, work float64) (concurrent int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	concurrent = s.inFlight
	s.inFlight++
	s.lastUsed = now
	s.prefillWork += work
	s.pending = append(s.pending, now)
	return concurrent
}

// addPrefillWork adds milliseconds to the outstanding prefill.
func (s *server) addPrefillWork(work float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prefillWork = max(0, s.prefillWork+work)
}

// waiting returns how many requests of this box wait for their first event.
func (s *server) waiting() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending)
}

// unusedTTL is the time without attempts after which what is known of a server is dropped.
const unusedTTL = time.Minute

// unused reports whether nothing was sent to the server recently, and no recorded failure requires
// it to be kept.
func (s *server) unused(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.inFlight == 0 && now.Sub(s.lastUsed) > unusedTTL && now.Sub(s.createdAt) > unusedTTL && now.Sub(s.unreachableAt) > maxDown && now.After(s.ejectedUntil) && !s.replaced
}

// removePending removes a request that waited for its first event since startedAt.
func (s *server) removePending(startedAt time.Time, work float64) {
	s.prefillWork = max(0, s.prefillWork-work)
	if i := slices.Index(s.pending, startedAt); i >= 0 {
		s.pending = slices.Delete(s.pending, i, i+1)
	}
}

// recordFirstEvent records the arrival of the first event, or of the response, on a connection of this box.
func (s *server) recordFirstEvent(now, startedAt time.Time, work float64) {
	s.recordRelayedFirstEvent(now, startedAt, work)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachableAt = time.Time{}
}

// recordRelayedFirstEvent records the arrival of the first event, or of the response, through another box.
func (s *server) recordRelayedFirstEvent(now, startedAt time.Time, work float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removePending(startedAt, work)
	s.delay.update(now, max(0, milliseconds(now.Sub(startedAt))-work), delayWeight, delayDecay)
	s.failures = 0
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

const (
	// stallPenalty is the cost in milliseconds of a server that stalls all streams, and
	// stallPrefillFactor the additional cost for each millisecond of prefill.
	stallPenalty       = 300.0
	stallPrefillFactor = 2.0
	// stallDecay is the time constant of the stall rate, which falls to about a third in that
	// time; stallWeight is the weight of one stream.
	stallDecay  = 20 * time.Second
	stallWeight = 0.15
)

// recordStream records whether a stream was stalled for too long between two events.
func (s *server) recordStream(now time.Time, stalled bool) {
	v := 0.0
	if stalled {
		v = 1
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stallRate.update(now, v, stallWeight, stallDecay)
}

// stallCost returns the cost in milliseconds of stalled streams (6).
func (s *server) stallCost(now time.Time, work float64) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stallRate.at(now, stallDecay) * (stallPenalty + stallPrefillFactor*work)
}

// endAttempt records the end of an attempt. pending reports whether its first event is still missing.
func (s *server) endAttempt(startedAt time.Time, work float64, pending bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight--
	if pending {
		s.removePending(startedAt, work)
	}
}

// recordFailure counts a failure, and ejects the server for a time after several in a row.
func (s *server) recordFailure(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures++
	s.dialFailedAt = time.Time{}
	if s.failures >= ejectAfter {
		ejection := minEjection << min(s.failures-ejectAfter, 4)
		s.ejectedUntil = now.Add(min(ejection, maxEjection))
	}
}

// ejectUnreachable ejects a server to which no connection could be opened, until one is.
func (s *server) ejectUnreachable(now time.Time) {
	s.eject(now)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dialFailedAt = now
}

// isEjected reports whether the server is ejected. The caller holds the lock.
func (s *server) isEjected(now time.Time) bool {
	return now.Before(s.ejectedUntil) && (s.dialFailedAt.IsZero() || s.pool.lastDial.Load() <= s.dialFailedAt.UnixNano())
}

// eject ejects a server at once that became unresponsive.
func (s *server) eject(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures, s.dialFailedAt = max(s.failures+1, ejectAfter), time.Time{}
	s.ejectedUntil = now.Add(min(unresponsiveEjection<<min(s.failures-ejectAfter, 2), maxEjection))
}

const (
	// maxDown is how long a server to which no connection could be opened counts as down, unless
	// it was heard from since.
	maxDown = 5 * time.Second
	// probeEvery is the interval between requests that probe such a server.
	probeEvery = 500 * time.Millisecond
)

// setDown records that no connection could be opened to the server. It reports whether no other
// connection is open either: then the server has most likely terminated or is unreachable.
func (s *server) setDown(now time.Time) bool {
	if s.pool.any() {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachableAt, s.lastProbe = now, now
	return true
}

// contactTimeout is the silence on all connections after which a server that does not answer a new
// one counts as down.
const contactTimeout = time.Second

// setUnreachable records that the server did not answer when a connection was opened. It reports
// whether no other connection shows that it is up.
func (s *server) setUnreachable(now time.Time) bool {
	if s.pool.any() && s.pool.readSince(now.Add(-contactTimeout)) {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachableAt, s.lastProbe = now, now
	return true
}

// down reports whether the server counts as down.
func (s *server) down(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.unreachableAt) < maxDown && !s.pool.readSince(s.unreachableAt) && s.pool.lastDial.Load() <= s.unreachableAt.UnixNano()
}

// forgetFailures forgets failures that were failures of this box's links.
func (s *server) forgetFailures() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failures, s.ejectedUntil, s.unreachableAt = 0, time.Time{}, time.Time{}
}

// setUnverified records that the box reaches servers again, but not whether it reaches this one, after it reached none for a
// time: requests go on through other boxes until a dial has succeeded, as it may reach only some servers.
func (s *server) setUnverified(now time.Time, lostFor time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.pool.lastDial.Load() < now.Add(-lostFor).UnixNano() {
		s.unreachableAt, s.lastProbe = now, time.Time{}
	}
}

// dialAgain dials a server that is down. Its pool observes a dial that succeeds.
func (s *server) dialAgain() {
	err := s.pool.probe(context.Background())
	if err == nil || errors.Is(err, ErrConnectionLimit) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.unreachableAt = time.Now()
}

// setRelayFailed records that a box that relays did not reach the server either.
func (s *server) setRelayFailed(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.relayFailedAt = now
}

// relayable reports whether a relayed attempt at the server may succeed, as far as is known.
func (s *server) relayable(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now.Sub(s.relayFailedAt) >= probeEvery
}

// probe reports whether a request may probe a server that is down, one request at a time.
func (s *server) probe(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if now.Sub(s.lastProbe) < probeEvery {
		return false
	}
	s.lastProbe = now
	return true
}

// setReplaced records that another server has the address, so that this one never returns.
func (s *server) setReplaced() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replaced = true
}

func (s *server) isReplaced() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replaced
}

// recordMissing records that the server reported a model or adapter as missing.
func (s *server) recordMissing(name string, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.missingUntil == nil {
		s.missingUntil = map[string]time.Time{}
	}
	s.missingUntil[name] = now.Add(missingTTL)
}

// isMissing reports whether the server recently reported a model or adapter as missing.
func (s *server) isMissing(name string, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	until, ok := s.missingUntil[name]
	if ok && now.After(until) {
		delete(s.missingUntil, name)
		return false
	}
	return ok
}

func (s *server) ejected(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isEjected(now)
}

// faultless reports whether nothing that happened at the server speaks against using it.
func (s *server) faultless(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.replaced && !s.unresponsive.Load() && now.Sub(s.unreachableAt) >= maxDown && len(s.missingUntil) == 0 && !s.isEjected(now)
}

// load returns the queue delay in milliseconds and the share of slots taken.
func (s *server) load(now time.Time) (queueDelay, slotShare float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delay := s.delay.at(now, delayDecay)
	if len(s.pending) > 0 {
		delay = max(delay, milliseconds(now.Sub(s.pending[0]))-s.prefillWork)
	}
	return s.prefillWork + delay, float64(s.inFlight) / float64(s.slots)
}

// decayingAverage is a weighted average that decays while no value is added.
type decayingAverage struct {
	value      float64
	recordedAt time.Time
}

const (
	// delayDecay is the time constant of the delay, which falls to about a third in that time.
	delayDecay = 1500 * time.Millisecond
	// delayWeight is the weight of a new delay.
	delayWeight = 0.3
)

func (d *decayingAverage) at(now time.Time, timeConstant time.Duration) float64 {
	return d.value * math.Exp(-float64(now.Sub(d.recordedAt))/float64(timeConstant))
}

func (d *decayingAverage) update(now time.Time, v, weight float64, timeConstant time.Duration) {
	d.value = (1-weight)*d.at(now, timeConstant) + weight*v
	d.recordedAt = now
}
