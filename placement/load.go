package placement

import "math"

// load is the load of one server.
type load struct {
	busySlots float64 // slots in use on average
	slots     float64 // slots that it has
	prefill   float64 // share of its time spent on prefill
	requests  float64 // per second
	goodUse   float64 // utilization up to which answers come in time
	limit     float64 // requests per second that its server reports to admit; 0: no limit
	slowness  float64 // factor by which its work takes longer than on an average server; 0: 1
}

// prefillSaturation is the share of a server's time spent on prefill at which almost all its
// answers are late. Prefill delays each stream that runs beside it: the share of late streams is
// about the square of the prefill share divided by this.
const prefillSaturation = 0.8

// slowdown is the factor by which work takes longer here than on an average server.
func (l *load) slowdown() float64 {
	if l.slowness == 0 {
		return 1
	}
	return l.slowness
}

// add adds a share of a model's demand. A slow server needs its slots and its time for longer (18).
func (l *load) add(d Demand, share float64) {
	work := share * l.slowdown()
	l.busySlots += work * d.BusySlots
	l.prefill += work * d.PrefillLoad
	l.requests += share * d.Requests
}

// utilization is the used part of the server: of its slots, its time or its limit, whichever is
// scarcest.
func (l *load) utilization() float64 {
	return max(l.busySlots/l.slots, l.prefill, l.limitUtilization())
}

// limitUtilization is the share of the server's limit that demand takes, or 0 if it has none.
func (l *load) limitUtilization() float64 {
	if l.limit == 0 {
		return 0
	}
	return l.requests / l.limit
}

// headroom is the utilization left up to goodUse.
func (l *load) headroom() float64 { return l.goodUse - l.utilization() }

// late returns how many requests per second are late.
func (l *load) late() float64 {
	return max(l.lateBySlots(), l.lateByPrefill(), l.refusedByLimit()) * l.requests
}

// lateBySlots is the share of requests that are late for lack of slots. It is zero up to goodUse
// and then grows quadratically, since queues form only now and then, to lateWhenFull at a full
// server. Beyond that, as many requests are in time as at a full server.
func (l *load) lateBySlots() float64 {
	utilization, lateFull := l.busySlots/l.slots, lateWhenFull(l.goodUse)
	switch {
	case utilization <= l.goodUse:
		return 0
	case utilization < 1:
		step := (utilization - l.goodUse) / (1 - l.goodUse)
		return lateFull * step * step
	}
	return 1 - (1-lateFull)/utilization
}

// lateWhenFull is the largest share that may be late at a full server such that one more request
// never lowers the number in time: u(1-f((u-good)/(1-good))²) then has its maximum at u = 1.
func lateWhenFull(goodUse float64) float64 { return (1 - goodUse) / (3 - goodUse) }

// refusedByLimit is the share of requests that exceeds the server's limit.
func (l *load) refusedByLimit() float64 {
	if utilization := l.limitUtilization(); utilization > 1 {
		return 1 - 1/utilization
	}
	return 0
}

// knee is the prefill share up to which more requests mean more requests in time, and lateAtKnee
// the share that is late there: x(1-x²) has its maximum at 1/√3.
var knee, lateAtKnee = prefillSaturation / math.Sqrt(3), 1.0 / 3

// lateByPrefill is the share of requests that are delayed by prefill. Beyond the knee requests are
// rejected, and as many are in time as at the knee.
func (l *load) lateByPrefill() float64 {
	if l.prefill > knee {
		return 1 - (1-lateAtKnee)*knee/l.prefill
	}
	step := max(0, l.prefill) / prefillSaturation
	return step * step
}
