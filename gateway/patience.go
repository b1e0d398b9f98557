package gateway

import (
	"time"

	"leverdrum/fleet"
	"leverdrum/reason"
)

// Rules for a request whose model, or adapter, is nowhere:
//
//  1. It waits as long as the model is on its way and is to come while the caller waits.
//  2. Else it waits only as long as the leader takes to hear of it and to decide
//     (decideWithin), and for waitShare of the time that it has at most, and is then given
//     up: what the leader has not ordered by then it does not mean to load, and with the
//     rest of its time the caller can come back.
//  3. It is given up with the time at which the model is to come, where that is known.

const (
	// waitShare is the part of its time that a request waits for a model that is not
	// known to come (2).
	waitShare = 0.45
	// decideWithin is the time in which a leader that is told of a want has given an order
	// for it, if it means to, and all boxes know.
	decideWithin = time.Second
)

// has is the time that the caller gives the request until its first event.
func (j *job) has() time.Duration {
	has := j.deadline.Sub(j.arrived)
	if j.route.Kind == fleet.Streaming && j.route.Patience > 0 && !j.headed {
		has = min(has, j.route.Patience)
	}
	return has
}

// muteShare is the part of a caller's patience that a server which takes connections may be
// silent for: the rest is for another server.
const muteShare = 0.5

// mute is the silence after which a server that takes connections is given up.
func (j *job) mute() time.Duration {
	patience := j.route.Patience
	if patience == 0 {
		patience = j.deadline.Sub(j.arrived)
	}
	return max(darkAfter, time.Duration(muteShare*float64(patience)))
}

// comesAt returns when what the request needs is to be ready somewhere; false where it
// is on its way nowhere.
func (j *job) comesAt() (time.Time, bool) {
	p := j.g.dir.table().pools[j.poolName]
	if p == nil {
		return time.Time{}, false
	}
	at, ok := p.coming[wantedOf(j.prompt)]
	return at, ok
}

// hopeless reports whether the request is to be given up rather than wait on, and else
// for how long at most it waits before that is looked at again.
func (j *job) hopeless(now time.Time) (time.Duration, bool) {
	has := j.has()
	if at, coming := j.comesAt(); coming && at.Before(j.arrived.Add(has)) { // (1)
		return waitLook, false
	}
	left := min(decideWithin, time.Duration(waitShare*float64(has))) - now.Sub(j.arrived)
	return min(waitLook, left), left <= 0 // (2)
}

// comesWithin reports whether what the request needs is to be ready somewhere within a time, and while the caller waits.
func (j *job) comesWithin(d time.Duration) bool {
	at, coming := j.comesAt()
	return coming && time.Until(at) < d && at.Before(j.arrived.Add(j.has()))
}

// comeBackFor is rule 3.
func (j *job) comeBackFor(why *reason.Reason, soon time.Duration) time.Duration {
	if at, coming := j.comesAt(); coming && why == reason.NotResident {
		return max(soon, time.Until(at))
	}
	return max(soon, comeBackLoad)
}
