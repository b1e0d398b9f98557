package placement

import "math"

// load is the work of one server.
type load struct {
	work     float64 // places taken on average
	size     float64 // places that it has
	reading  float64 // share of its time in which it reads prompts
	requests float64 // a second
	good     float64 // share of the places up to which answers come in time
	limit    float64 // requests a second that its server says it takes; 0: it says none
}

// readingFull is the share of a server's time in which it reads prompts at which about all
// its answers come late. Reading holds up each stream that runs beside it: the share of
// streams that are late is about the square of the share of reading over this.
const readingFull = 0.8

// add books a part of a model's demand.
func (l *load) add(d Demand, part float64) {
	l.work += part * d.BusySlots
	l.reading += part * d.PrefillLoad
	l.requests += part * d.Requests
}

// use is the part of the server that is taken: of its places or of its time, whichever is
// scarcer, or of the requests that it takes.
func (l *load) use() float64 { return max(l.work/l.size, l.reading, l.ofLimit()) }

// ofLimit is the share of the server's limit that is asked for, 0 where it has none.
func (l *load) ofLimit() float64 {
	if l.limit == 0 {
		return 0
	}
	return l.requests / l.limit
}

// room is the use that is left up to good use.
func (l *load) room() float64 { return l.good - l.use() }

// late is how many requests a second come too late.
func (l *load) late() float64 {
	return max(l.lateByPlaces(), l.lateByReading(), l.refusedByLimit()) * l.requests
}

// lateByPlaces is the share that is late for want of places: none up to good use, and from
// there it grows with the square, since queues form only now and then. fullLate is the
// share at a full server; beyond that as many are in time as there.
func (l *load) lateByPlaces() float64 {
	use, full := l.work/l.size, fullLate(l.good)
	switch {
	case use <= l.good:
		return 0
	case use < 1:
		step := (use - l.good) / (1 - l.good)
		return full * step * step
	}
	return 1 - (1-full)/use
}

// fullLate is the most that may be late at a full server without one more request ever
// lowering how many are in time: u(1-f((u-good)/(1-good))²) has its maximum at u = 1 then.
func fullLate(good float64) float64 { return (1 - good) / (3 - good) }

// refusedByLimit is the share that the server's limit does not bear.
func (l *load) refusedByLimit() float64 {
	if of := l.ofLimit(); of > 1 {
		return 1 - 1/of
	}
	return 0
}

// knee is the share of reading up to which more requests are in time the more come, and
// lateAtKnee the share that is late there: x(1-x²) has its maximum at 1/√3.
var knee, lateAtKnee = readingFull / math.Sqrt(3), 1.0 / 3

// lateByReading is the share that is held up by the reading of prompts. Beyond the knee
// requests are turned away, and as many are in time as at the knee.
func (l *load) lateByReading() float64 {
	if l.reading > knee {
		return 1 - (1-lateAtKnee)*knee/l.reading
	}
	step := max(0, l.reading) / readingFull
	return step * step
}
