package pushback

import (
	"time"

	"go.uber.org/zap"

	"leverdrum/dialect"
	"leverdrum/event"
	"leverdrum/reason"
)

// Rules for brittle servers, which fall over if they have to reject more than a number of requests in a second, from all boxes
// together, for want of room:
//
//  1. A server is brittle while its responses say so. The number is that of its newest response.
//  2. A box has at most window requests in progress at a brittle server. The window begins with what is in progress, and at
//     least initialWindow, and grows by one with each response that is no rejection and finds it used.
//  3. The first rejection sets the window to what is then in progress, and each further one lowers it by one: the box sends the
//     next request when one of these has ended, so that it takes no more room than it had. The window grows again only after growInterval, and then by one in each such
//     interval until settled intervals passed without a rejection. Each rejection follows from a box that grew, so that this
//     bounds the rejections of all boxes.
//  4. growInterval is proportional to the number of boxes, and inversely to the rejections that the server tolerates.
//  5. Where boxes share their load (package loadshare), a box also counts what the others have in progress. Since the figures
//     lag, a share of the slots is kept free, and while few slots are free, only as many boxes as there are may use them, which
//     are drawn again in each drawInterval.
//  6. A window that was not used for unusedWindow falls to what is in progress and initialWindow: other boxes have taken the room.

const (
	initialWindow = 2
	unusedWindow  = 2 * time.Second
	// freeShare is the share of a brittle server's slots that boxes which share their load keep free, and fewShare the share of
	// free slots below which few are free (5).
	freeShare = 0.1
	fewShare  = 0.4
	// drawInterval is the age that shared figures have at most, usually.
	drawInterval = 100 * time.Millisecond
	// growthShare is the mean share of the rejections that a server tolerates which the growth of all windows may cause.
	growthShare = 0.2
	// settled is the number of intervals without a rejection after which the window grows with each response again.
	settled = 2
	// minGrowInterval bounds growInterval for few boxes and robust servers.
	minGrowInterval = 200 * time.Millisecond
	// FullRetryAfter is when a request is to be retried that no server has room for.
	FullRetryAfter = 100 * time.Millisecond
)

// brittle is what this box knows of a brittle server.
type brittle struct {
	tolerates  dialect.Brittle // rejections in a second; 0: the server is no longer brittle
	window     int
	running    int           // requests of this box in progress
	usedAt     time.Duration // when the window was last used up
	rejectedAt time.Duration // 0: never
	growAt     time.Duration // the window does not grow before
	rejections int
	interval   time.Duration // the number of the drawInterval in which started requests were sent (5)
	started    int
}

// use is a request in progress at a brittle server.
type use struct {
	brittle *brittle
	ended   bool
}

// full reports whether the window is used up.
func (b *brittle) full(now time.Duration) bool {
	if b == nil || b.tolerates == 0 {
		return false
	}
	b.decay(now)
	if b.running >= b.window && now >= b.growAt && b.rejectedAt != 0 { // (3)
		return b.running > b.window
	}
	return b.running >= b.window
}

// decay implements rule 6.
func (b *brittle) decay(now time.Duration) {
	if b.running >= b.window {
		b.usedAt = now
	}
	if now-b.usedAt > unusedWindow {
		b.window = min(b.window, max(b.running+1, initialWindow))
	}
}

// growInterval returns the mean time between two growths of the window after a rejection (4).
func (b *brittle) growInterval(boxes int) time.Duration {
	interval := time.Duration(float64(max(boxes, 1)) / (growthShare * float64(b.tolerates)) * float64(time.Second))
	return max(interval, minGrowInterval)
}

// observe records a response; random is from [0, 1).
func (b *brittle) observe(now time.Duration, rejected bool, boxes int, random float64) {
	interval := b.growInterval(boxes)
	next := now + interval/2 + time.Duration(random*float64(interval))
	switch {
	case rejected: // its request is still counted as running
		b.rejections++
		if b.rejectedAt == 0 {
			b.window = min(b.window, b.running)
		}
		b.window = max(0, b.window-1)
		b.rejectedAt, b.growAt = now, next
	case b.running < b.window:
	case b.rejectedAt == 0, now-b.rejectedAt > settled*interval: // (2)
		b.window = b.running + 1
	case now >= b.growAt: // (3)
		b.window = b.running
		b.growAt = next
	}
}

// observeBrittle records what a response says of how brittle its server is.
func (r *Registry) observeBrittle(rec *record, server string, report dialect.Report, now time.Duration) {
	switch {
	case report.Brittle > 0:
		if rec.brittle == nil {
			rec.brittle = &brittle{usedAt: now}
		}
		if rec.brittle.tolerates == 0 {
			rec.brittle.window = max(rec.brittle.running, initialWindow)
			rec.brittle.rejectedAt = 0
			event.ServerBrittle.Log(r.opts.Log, zap.String("server", server), zap.Uint32("rejections", uint32(report.Brittle)))
		}
		rec.brittle.tolerates = report.Brittle
		rec.brittle.observe(now, report.Rejected, r.opts.Boxes(), r.opts.Random())
	case rec.brittle != nil && rec.brittle.tolerates > 0 && report.FromServer:
		event.ServerNotBrittle.Log(r.opts.Log, zap.String("server", server), zap.Int("rejected", rec.brittle.rejections))
		rec.brittle.tolerates, rec.brittle.rejections = 0, 0
	}
}

// enterBrittle counts a request that is about to be sent to a brittle server, or returns why it must not be. The caller holds
// the lock.
func (rec *record) enterBrittle(now time.Duration) (*use, *Block) {
	if rec == nil || rec.brittle == nil || rec.brittle.tolerates == 0 {
		return nil, nil
	}
	if rec.brittle.full(now) {
		return nil, &Block{reason.ServersFull, FullRetryAfter}
	}
	rec.brittle.start(now)
	return &use{brittle: rec.brittle}, nil
}

// sharedRoomTaken reports whether this box must not send a request to a server at which the boxes together have running requests
// in progress, of slots (5). seed is specific to the box and the server.
func (b *brittle) sharedRoomTaken(now time.Duration, running, slots, boxes int, seed uint64) bool {
	free := (1-freeShare)*float64(slots) - float64(running)
	if free >= fewShare*float64(slots) {
		return false
	}
	interval := now / drawInterval
	if free < 1 || b.interval == interval && b.started > 0 {
		return true
	}
	return draw(seed^uint64(interval)) >= free/float64(max(boxes, 1))
}

// draw returns a pseudorandom number in [0, 1) that depends only on the seed (splitmix64).
func draw(seed uint64) float64 {
	seed += 0x9e3779b97f4a7c15
	seed = (seed ^ seed>>30) * 0xbf58476d1ce4e5b9
	seed = (seed ^ seed>>27) * 0x94d049bb133111eb
	return float64((seed^seed>>31)>>11) / (1 << 53)
}

// start counts a request that is about to be sent.
func (b *brittle) start(now time.Duration) {
	b.running++
	if interval := now / drawInterval; b.interval != interval {
		b.interval, b.started = interval, 0
	}
	b.started++
}

// SharedRoomTaken reports whether a server is brittle and the requests of all boxes, of which running are in progress there, take
// its room. seed is specific to the box and the server.
func (r *Registry) SharedRoomTaken(server string, running, slots int, seed uint64) bool {
	if r == nil || !r.nonEmpty.Load() {
		return false
	}
	now, boxes := r.opts.Now(), r.opts.Boxes()
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.records[server]
	return rec != nil && rec.brittle != nil && rec.brittle.tolerates > 0 && rec.brittle.sharedRoomTaken(now, running, slots, boxes, seed)
}

// Done records that a request that was sent has ended.
func (p Permit) Done() { p.endUse() }

func (p Permit) endUse() {
	if p.use == nil {
		return
	}
	p.registry.mu.Lock()
	defer p.registry.mu.Unlock()
	if !p.use.ended {
		p.use.ended = true
		p.use.brittle.running--
	}
}
