package loadshare

import (
	"sync"
	"time"

	"leverdrum/speed"
	"leverdrum/wire"
)

const (
	// publishInterval is the minimum time between two frames of a hub to one receiver.
	publishInterval = 20 * time.Millisecond
	// maxFramesPerSecond bounds the frames of a hub to all its boxes. Each takes two system calls, together some 15 µs.
	// It lengthens the interval from 80 boxes in a hall on.
	maxFramesPerSecond = 4000
	// aliveInterval is the time without a frame after which a hub sends an empty one.
	aliveInterval = 100 * time.Millisecond
	// senderTTL is how long a sender may be silent before its rows are dropped.
	senderTTL = 1500 * time.Millisecond
	// maxSamplesPerSecond bounds the samples of each kind that a hub sends to another.
	maxSamplesPerSecond = 400
	// lateTick is the delay of a hub's step after which the hub itself was frozen, so that silence proves nothing.
	lateTick = 500 * time.Millisecond
)

// hub is what a box does as the hub of its hall: it adds up the rows of its senders and sends the sums to each receiver.
// Locked by mu. link.go has its streams.
type hub struct {
	sharer *Sharer
	wake   chan struct{} // holds an item after a change

	mu     sync.Mutex
	sums   *sums
	links  map[string]*link        // by key
	demand map[string]senderDemand // by key
	report demandReport
	learned
	tickAt    time.Duration
	tidyAt    time.Duration
	idleSince time.Duration // no box has a stream here since
	serving   bool          // boxes have streams here, or had until idleTimeout ago
	// observed are the speeds that the observer knows, by hash.
	observed   map[uint32]speedEstimate
	observedAt time.Duration
	// counted is the last number of prefixes that Options.KnownPrefixes was told.
	counted   int
	countedAt time.Duration
	missing   map[string]time.Duration
	dialing   map[string]bool
	dialledAt map[string]time.Duration
}

// learned is what a hub learns from samples and uses, and those of its boxes that it passes on to other hubs.
type learned struct {
	speeds   *speedTable
	samples  queue[*wire.SpeedSample]
	prefill  *prefillTable
	prefills queue[*wire.PrefillSample]
	prefixes *prefixTable
	uses     queue[*wire.CachedPrefixes]
}

func newLearned() learned {
	return learned{
		speeds: newSpeedTable(speed.New()), samples: queue[*wire.SpeedSample]{perSecond: maxSamplesPerSecond, length: maxQueuedSamples},
		prefill: newPrefillTable(), prefills: queue[*wire.PrefillSample]{perSecond: maxSamplesPerSecond, length: maxQueuedSamples},
		prefixes: newPrefixTable(), uses: queue[*wire.CachedPrefixes]{perSecond: maxUsesPerSecond, length: maxUsesPerSecond},
	}
}

// senderDemand is the last report of a sender.
type senderDemand struct {
	pools map[string]poolDemand
	at    time.Duration
}

// demandReport is the encoded demand of all boxes, and of those at this hub.
type demandReport struct {
	number    uint64 // of the report
	at        time.Duration
	all, hall []*wire.PoolDemand
}

func newHub(s *Sharer) *hub {
	return &hub{
		sharer: s, wake: make(chan struct{}, 1), sums: newSums(), links: map[string]*link{}, demand: map[string]senderDemand{},
		learned: newLearned(), missing: map[string]time.Duration{}, dialing: map[string]bool{}, dialledAt: map[string]time.Duration{},
		observed: map[uint32]speedEstimate{},
	}
}

func linkKey(member string, hub bool) string {
	if hub {
		return "hub " + member
	}
	return member
}

// open adds a stream. It replaces the member's previous stream of the kind, except that of two streams which two hubs
// opened to each other at one moment the one of the lower member ID stays: then open returns nil.
func (h *hub) open(member string, isHub bool, opener string, stream Stream) *link {
	h.mu.Lock()
	defer h.mu.Unlock()
	key := linkKey(member, isHub)
	if old := h.links[key]; old != nil {
		if isHub && opener > old.opener {
			return nil
		}
		h.drop(old)
	}
	l := &link{
		key: key, member: member, hub: isHub, opener: opener, stream: stream, signal: make(chan struct{}, 1), ended: make(chan struct{}), heardAt: h.sharer.options.Now(), outcomes: newOutcomeQueue(),
	}
	l.samples, l.prefills, l.uses, l.prefixes = h.samples.end(), h.prefills.end(), h.uses.end(), h.prefixes.published.end()
	h.links[key] = l
	h.sums.open(key, isHub)
	notify(l.signal)
	notify(h.wake)
	return l
}

// drop removes a link and the rows of its sender at once.
func (h *hub) drop(l *link) {
	if h.links[l.key] != l {
		return
	}
	delete(h.links, l.key)
	delete(h.demand, l.key)
	h.sums.drop(l.key)
	close(l.ended)
	notify(h.wake)
}

// close removes a link if it was not replaced.
func (h *hub) close(l *link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.drop(l)
}

// receive applies a frame of a sender.
func (h *hub) receive(l *link, u *wire.LoadUpdate) {
	s := h.sharer
	now := s.options.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.links[l.key] != l {
		return
	}
	servers := s.servers.Load() // under the lock: forget runs after a change of the servers
	l.heardAt = now
	for _, r := range limited(s, u.Rows, maxRows) {
		g, valid := gaugeOf(r)
		switch {
		case !valid:
			s.options.Ignored(IgnoredRange)
		case g != (gauge{}) && !servers.has(r.Server):
			s.options.Ignored(IgnoredServer)
		default:
			h.sums.set(l.key, r.Server, g)
		}
	}
	h.receiveSamples(l, u, servers, now)
	h.receivePrefills(l, u, servers, now)
	h.receiveUses(l, u, servers, now)
	h.receiveOutcomes(l, u, servers, now)
	if len(u.Demand) > 0 {
		h.demand[l.key] = senderDemand{s.activeDemand(u.Demand), now}
	}
	if len(h.sums.all.moved)+len(u.Samples)+len(u.Prefills)+len(u.Cached)+len(u.Outcomes) > 0 {
		notify(h.wake)
	}
}

func (h *hub) receiveSamples(l *link, u *wire.LoadUpdate, servers *catalog, now time.Duration) {
	for _, x := range limited(h.sharer, u.Samples, maxSamplesInFrame) {
		if !servers.has(x.Server) {
			h.sharer.options.Ignored(IgnoredServer)
			continue
		}
		h.speeds.add(now, x)
		if !l.hub && !h.samples.add(now, x) {
			h.sharer.options.Ignored(IgnoredSamples)
		}
	}
}

// forget drops what is known of servers that are not in the catalog.
func (h *hub) forget(c *catalog) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.speeds.forget(c)
	h.prefixes.forget(c)
}

// tick is one step: it publishes what changed, drops silent senders and signals the streams that need a frame. It
// returns the time until the next step if something changes.
func (h *hub) tick(now time.Duration) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now-h.tickAt > lateTick {
		for _, l := range h.links {
			l.heardAt = now
		}
	}
	h.tickAt = now
	for _, l := range h.links {
		if now-l.heardAt > senderTTL {
			h.drop(l)
			if l.hub {
				h.sharer.fail(l.member)
			}
		}
	}
	interval, rows := h.pace()
	h.sums.all.publish(rows)
	h.sums.hall.publish(maxRows)
	h.speeds.publish(now)
	h.prefill.publish(now)
	h.prefixes.publish(now)
	h.reportDemand(now)
	h.tidy(now)
	for _, l := range h.links {
		if h.needsFrame(l, now) {
			notify(l.signal)
		}
	}
	if len(h.sums.all.moved)+len(h.sums.hall.moved) > 0 || h.prefixes.waiting() {
		notify(h.wake)
	}
	return interval
}

// pace returns the time between two publications, and the number of rows in one. Both are the same for all boxes, so
// that each frame has the rows of one publication.
func (h *hub) pace() (time.Duration, int) {
	boxes := 0
	for _, l := range h.links {
		if !l.hub {
			boxes++
		}
	}
	interval := max(publishInterval, time.Duration(boxes)*time.Second/maxFramesPerSecond)
	rows := int((rowBytesPerSecond*interval.Seconds() - frameOverhead) / typicalRowBytes)
	return interval, min(rows, maxFrameBytes/maxRowBytes)
}

// reportDemand makes a new report of demand every demandInterval.
func (h *hub) reportDemand(now time.Duration) {
	if now-h.report.at < demandInterval {
		return
	}
	var all, hall []map[string]poolDemand
	for key, d := range h.demand {
		if now-d.at > demandTTL {
			delete(h.demand, key)
			continue
		}
		all = append(all, d.pools)
		if !h.links[key].hub {
			hall = append(hall, d.pools)
		}
	}
	h.report.at = now
	if len(all) == 0 && len(h.report.all) == 0 {
		return
	}
	h.report.number++
	h.report.all, h.report.hall = encodeDemand(sumDemand(values(all))), encodeDemand(sumDemand(values(hall)))
}

// tidyInterval is the time between two removals of rows that are zero.
const tidyInterval = time.Second

func (h *hub) tidy(now time.Duration) {
	if now-h.tidyAt < tidyInterval {
		return
	}
	h.tidyAt = now
	boxes, hubs := h.sums.all.published.last, h.sums.hall.published.last
	for _, l := range h.links {
		if l.hub {
			hubs = min(hubs, l.rows)
		} else {
			boxes = min(boxes, l.rows)
		}
	}
	h.sums.all.forgetZeros(boxes)
	h.sums.hall.forgetZeros(hubs)
}

func values[T any](list []T) func(func(T) bool) {
	return func(yield func(T) bool) {
		for _, v := range list {
			if !yield(v) {
				return
			}
		}
	}
}
