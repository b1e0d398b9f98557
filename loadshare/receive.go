package loadshare

import (
	"time"

	"leverdrum/wire"
)

// gaugeOf returns the gauge of a row; false if a figure is above its limit.
func gaugeOf(r *wire.LoadRow) (gauge, bool) {
	g := gauge{int64(r.PrefillMs), int64(r.Running)}
	return g, g == g.clamped()
}

// bounds of valid speeds.
const (
	perMille       = 1000
	maxSlowness    = 100 * perMille
	maxStalled     = perMille
	minValidSpeeds = 1
)

// limited returns the first entries of one kind in a frame, at most limit. It counts a frame that has more.
func limited[T any](s *Sharer, list []T, limit int) []T {
	if len(list) <= limit {
		return list
	}
	s.options.Ignored(IgnoredRowCount)
	return list[:limit]
}

// receive applies a frame of the hub to the view. first marks the first frame of a stream, which replaces all rows.
func (s *Sharer) receive(u *wire.LoadUpdate, first bool) {
	now := s.options.Now()
	s.viewMu.Lock()
	defer s.viewMu.Unlock()
	v := s.view
	if first {
		v.restart(now)
		v.demandAt = now
	}
	v.heard, v.heardAt = true, now
	for _, r := range u.Rows {
		g, valid := gaugeOf(r)
		switch {
		case !valid:
			s.options.Ignored(IgnoredRange)
		case len(v.others) >= maxServers && g != (gauge{}):
			s.options.Ignored(IgnoredRowCount)
		default:
			v.set(r.Server, g)
		}
	}
	servers, failingChanged := s.servers.Load(), first
	for _, r := range u.Speeds {
		switch {
		case r.SlownessPermille < minValidSpeeds || r.SlownessPermille > maxSlowness || r.StalledPermille > maxStalled || r.FailingPermille > perMille:
			s.options.Ignored(IgnoredRange)
		case !servers.has(r.Server):
			s.options.Ignored(IgnoredServer)
		default:
			speed := serverSpeed{float64(r.SlownessPermille) / perMille, float64(r.StalledPermille) / perMille, float64(r.FailingPermille) / perMille}
			failingChanged = v.setSpeed(r.Server, speed, now) || failingChanged
		}
	}
	if failingChanged {
		s.publishFailing()
	}
	s.receiveTimes(v, u, now)
	s.receivePrefixes(v, u, now)
	if len(u.Demand) > 0 {
		v.demand, v.demandAt = decodeDemand(u.Demand, s.options.Ignored), now
	}
	if s.changed != nil && (first || len(u.Rows)+len(u.Speeds)+len(u.Demand)+len(u.Models)+len(u.Cached) > 0) {
		close(s.changed)
		s.changed = nil
	}
}

// frameBuffer is a frame whose rows are reused.
type frameBuffer struct {
	update wire.LoadUpdate
	rows   []*wire.LoadRow
	list   []serverGauge
	keys   []uint32
}

// reset empties the frame.
func (f *frameBuffer) reset() *wire.LoadUpdate {
	f.update.Reset()
	f.list, f.keys = f.list[:0], f.keys[:0]
	return &f.update
}

// fill puts the listed rows into the frame.
func (f *frameBuffer) fill() {
	for len(f.rows) < len(f.list) {
		f.rows = append(f.rows, &wire.LoadRow{})
	}
	for i, r := range f.list {
		f.rows[i].Server, f.rows[i].PrefillMs, f.rows[i].Running = r.server, uint32(r.prefillMS), uint32(r.running)
	}
	f.update.Rows = f.rows[:len(f.list)]
}

func empty(u *wire.LoadUpdate) bool {
	return len(u.Rows)+len(u.Samples)+len(u.Speeds)+len(u.Demand)+len(u.Prefills)+len(u.Models)+len(u.Cached)+len(u.Outcomes) == 0
}

// ownFrame puts what the hub does not know yet of this box into a frame. more reports whether rows are left.
func (s *Sharer) ownFrame(f *frameBuffer, withDemand bool) (u *wire.LoadUpdate, more bool) {
	u = f.reset()
	s.ownMu.Lock()
	defer s.ownMu.Unlock()
	f.list, more = s.own.take(f.list)
	f.fill()
	u.Samples, s.samples = takeFirst(s.samples, maxSamplesInFrame)
	u.Prefills, s.prefills = takeFirst(s.prefills, maxSamplesInFrame)
	u.Cached, s.uses = takeFirst(s.uses, maxUsesInFrame)
	u.Outcomes = s.outcomes.take()
	more = more || len(s.uses) > 0 || s.outcomes.failed > 0
	if withDemand {
		u.Demand = encodeDemand(s.demand.advance())
	}
	return u, more
}

// takeFirst returns a copy of the first items of a list, at most limit, and the list without them.
func takeFirst[T any](list []T, limit int) (taken, rest []T) {
	n := min(len(list), limit)
	if n > 0 {
		taken = append(taken, list[:n]...)
	}
	return taken, append(list[:0], list[n:]...)
}

// budget bounds the bytes to one box: over any second at most maxBytesPerSecond.
type budget struct {
	left float64
	at   time.Duration
}

const (
	// maxBytesPerSecond bounds the frames that one box receives from its hub over any second. Of it, budgetBurst and one
	// full frame may be sent beyond the steady rate.
	maxBytesPerSecond    = 12 << 10
	budgetBurst          = 150
	maxFrameBytes        = 800
	budgetBytesPerSecond = maxBytesPerSecond - budgetBurst - maxFrameBytes
	// rowBytesPerSecond is the part of the steady rate for rows; the rest is for prefixes (prefixesPerSecond), demand, speeds
	// and prefill times.
	rowBytesPerSecond = 6800
	// frameOverhead is the size of the length prefix of a frame.
	frameOverhead = 2
	// typicalRowBytes and maxRowBytes are sizes of a row.
	typicalRowBytes = 12.5
	maxRowBytes     = 14
)

// admits reports whether a frame may be sent now.
func (b *budget) admits(now time.Duration) bool {
	b.left = min(budgetBurst, b.left+budgetBytesPerSecond*(now-b.at).Seconds())
	b.at = now
	return b.left > 0
}

func (b *budget) spend(bytes int) { b.left -= float64(bytes) }
