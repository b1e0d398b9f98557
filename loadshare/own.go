package loadshare

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxRows is the maximum number of rows in a frame.
	maxRows = 64
	// maxPrefillMS and maxRunning are the highest valid figures of one row: 10 minutes of prefill, and requests.
	maxPrefillMS = 600_000
	maxRunning   = 100_000
	// runningWeight is the change in prefill, in milliseconds, that one request more or less compares to when the
	// largest changes are chosen.
	runningWeight = 20
)

// gauge is what is outstanding at one server, in the units of messages.
type gauge struct{ prefillMS, running int64 }

func (g gauge) plus(o gauge) gauge  { return gauge{g.prefillMS + o.prefillMS, g.running + o.running} }
func (g gauge) minus(o gauge) gauge { return gauge{g.prefillMS - o.prefillMS, g.running - o.running} }

// size is the size of a change.
func (g gauge) size() int64 {
	return max(g.prefillMS, -g.prefillMS) + runningWeight*max(g.running, -g.running)
}

// clamped returns the gauge within the bounds of a valid row.
func (g gauge) clamped() gauge {
	return gauge{min(max(g.prefillMS, 0), maxPrefillMS), min(max(g.running, 0), maxRunning)}
}

func (g gauge) outstanding() Outstanding {
	return Outstanding{Prefill: time.Duration(g.prefillMS) * time.Millisecond, Running: int(g.running)}
}

// serverGauge is a row of a frame.
type serverGauge struct {
	server uint32
	gauge
}

// ownRows are what this box has outstanding, and what of it the hub has been told.
type ownRows struct {
	rows    map[uint32]*ownRow
	pending []uint32 // servers whose row may differ from what was sent
}

type ownRow struct {
	prefill time.Duration
	running int
	sent    gauge
	queued  bool // in pending
}

func newOwnRows() *ownRows { return &ownRows{rows: map[uint32]*ownRow{}} }

func (r *ownRow) gauge() gauge {
	return gauge{int64((r.prefill + time.Millisecond/2) / time.Millisecond), int64(r.running)}.clamped()
}

// add changes a row. Figures cannot become negative: an attempt may have begun before the load was recorded. A server
// without requests has no prefill, so that errors of rounding do not accumulate.
func (o *ownRows) add(server uint32, prefill time.Duration, running int) {
	r := o.rows[server]
	if r == nil {
		r = &ownRow{}
		o.rows[server] = r
	}
	r.prefill, r.running = max(0, r.prefill+prefill), max(0, r.running+running)
	if r.running == 0 {
		r.prefill = 0
	}
	o.queue(server, r)
}

func (o *ownRows) queue(server uint32, r *ownRow) {
	if !r.queued {
		r.queued = true
		o.pending = append(o.pending, server)
	}
}

// restart makes the next calls of take return all rows that are not zero, for a new stream.
func (o *ownRows) restart() {
	for server, r := range o.rows {
		r.sent = gauge{}
		o.queue(server, r)
	}
}

// take appends at most maxRows changed rows to a list, the largest changes first. more reports whether others are left.
func (o *ownRows) take(list []serverGauge) (_ []serverGauge, more bool) {
	o.discardUnchanged()
	if len(o.pending) > maxRows {
		slices.SortFunc(o.pending, func(a, b uint32) int { return cmp.Compare(o.change(b), o.change(a)) })
	}
	n := min(len(o.pending), maxRows)
	for _, server := range o.pending[:n] {
		r := o.rows[server]
		r.sent, r.queued = r.gauge(), false
		list = append(list, serverGauge{server, r.sent})
		if r.sent == (gauge{}) {
			delete(o.rows, server)
		}
	}
	o.pending = append(o.pending[:0], o.pending[n:]...)
	return list, len(o.pending) > 0
}

func (o *ownRows) change(server uint32) int64 {
	r := o.rows[server]
	return r.gauge().minus(r.sent).size()
}

func (o *ownRows) discardUnchanged() {
	o.pending = slices.DeleteFunc(o.pending, func(server uint32) bool {
		r := o.rows[server]
		if r.gauge() != r.sent {
			return false
		}
		r.queued = false
		if r.running == 0 {
			delete(o.rows, server)
		}
		return true
	})
}
