package loadshare

import "time"

// serverSpeed is a hub's estimate of a server.
type serverSpeed struct{ slowness, stalledShare, failingShare float64 }

// keptSpeeds is how long the speeds of a hub are used after its stream ended. The next hub learns the speeds of servers in
// use in that time. It knows nothing of a server that nobody uses, which would otherwise count as slow for ever.
const keptSpeeds = 10 * time.Second

// heldSpeed is a speed, and when it expires; 0: while its stream lasts.
type heldSpeed struct {
	serverSpeed
	expiresAt time.Duration
	// failingSince is since when the server is judged failing, if it is.
	failingSince time.Duration
}

// view is what this box has received from its hub.
type view struct {
	others map[uint32]gauge
	speeds map[uint32]heldSpeed
	times  map[uint32]heldTime // by hash of the model
	// prefixes expire by themselves: they are kept when a stream ends.
	prefixes *knownPrefixes
	demand   map[string]poolDemand // by pool
	// demandAt is when demand was received, or the stream began.
	demandAt time.Duration
	heard    bool
	heardAt  time.Duration // of the last frame
}

func newView() *view {
	return &view{others: map[uint32]gauge{}, speeds: map[uint32]heldSpeed{}, times: map[uint32]heldTime{}, prefixes: newKnownPrefixes(), demand: map[string]poolDemand{}}
}

// restart forgets the rows of the previous stream; the next one begins with all. Speeds and prefill times expire later: a
// new hub has no samples at first. Shares of failures begin at 0.
func (v *view) restart(now time.Duration) {
	clear(v.others)
	clear(v.demand)
	v.heard = false
	v.keepTimes(now)
	for server, held := range v.speeds {
		held.failingShare = 0
		if held.expiresAt == 0 {
			held.expiresAt = now + keptSpeeds
		}
		v.speeds[server] = held
		if now > held.expiresAt {
			delete(v.speeds, server)
		}
	}
}

// speed returns the speed of a server; false if it is not known.
func (v *view) speed(server uint32, now time.Duration) (serverSpeed, bool) {
	held, known := v.speeds[server]
	if !known || held.expiresAt != 0 && now > held.expiresAt || now-v.heardAt > keptSpeeds {
		return serverSpeed{}, false
	}
	return held.serverSpeed, true
}

// setSpeed replaces the speed of a server and reports whether its share of failures changed.
func (v *view) setSpeed(server uint32, speed serverSpeed, now time.Duration) (failingChanged bool) {
	old := v.speeds[server]
	next := heldSpeed{serverSpeed: speed, failingSince: now}
	if old.failingShare >= FailingFrom {
		next.failingSince = old.failingSince
	}
	v.speeds[server] = next
	return old.failingShare != speed.failingShare
}

func (v *view) set(server uint32, g gauge) {
	if g == (gauge{}) {
		delete(v.others, server)
		return
	}
	v.others[server] = g
}

// fresh reports whether a frame was received within maxAge.
func (v *view) fresh(now time.Duration) bool { return v.heard && now-v.heardAt <= maxAge }

// demandFor returns the demand for a pool. A hub sends no report while there is no demand.
func (v *view) demandFor(pool string, now time.Duration) (poolDemand, bool) {
	if !v.fresh(now) {
		return poolDemand{}, false
	}
	old := now-v.demandAt > demandTTL
	d, known := v.demand[pool]
	switch {
	case old:
		return poolDemand{}, true
	case known:
		return d, true
	}
	return poolDemand{}, len(v.demand) > 0
}

// forget drops the speeds and prefixes of servers that are not in the catalog.
func (v *view) forget(c *catalog) {
	v.prefixes.forget(c)
	for server := range v.speeds {
		if !c.has(server) {
			delete(v.speeds, server)
		}
	}
}
