// Package origin remembers at which software version of its service a stream began, so that a caller whose stream broke off
// can resume it at any box.
//
// Rules:
//
//  1. A record has the service and the software version of the server that sent the first event of a stream. Its key is
//     the ID of the request that began the stream. It is kept for recordTTL, in memory.
//  2. The box that forwarded the first event keeps the record. While the service is mixed, the box also sends the record
//     to the record's keepers, beside the first event. It sends what it has kept when the service becomes mixed.
//  3. A service is mixed for a box that knows of servers or streams of two of its versions within recordTTL. Each answer of a box
//     includes what it knows of this, and for how long it knows it; a box that has started asks for it. So what a box knows
//     outlasts a restart as long as one keeper runs. Nothing is concluded from a state that may lack what was committed before
//     the box started.
//     3.1 The replicated state has the versions that had servers until lately (package state, versions.go). If it is complete, a
//     box knows the versions of all services once a leader has confirmed its state, also when all boxes were killed.
//     3.2 While a box does not know the versions, it sends records as if all services were mixed.
//  4. The keepers of a record are the keepersPerRecord boxes with the highest hash of the key and their own ID, among at most
//     maxKeepers boxes that are the same for all records: boxes with a disk come first.
//  5. A box that does not have a record asks its keepers. One that has it is enough. A second round asks all keepers: the
//     record may still be on its way, or have been sent before the keepers changed.
//  6. Where no keeper has the record, the stream began at the only version of its service, if the service is not mixed for the
//     box, the box knows this for as long as the stream can have lasted, some box answered, and rule 8 holds. Otherwise the
//     version is unknown.
//  7. A box that stops hands the records that it keeps to the other keepers.
//  8. "There is no other version" counts only from a state that a leader has confirmed after the lookup began: a box that is cut
//     off or stands still keeps servers that have been replaced, and its own keepers may be cut off with it. Streams begin at
//     servers of the replicated state, so a state that is confirmed later includes the version of the stream.
//     8.1 The state is that of this box, of the leader, or of a keeper that has asked the leader. Lookups that begin while such
//     a question is under way share the next one. A box that has just started needs a confirmed state of its own.
//     8.2 Until then a lookup waits, for a part of the time that its caller has. It asks the keepers again afterwards, since a
//     record may be kept by boxes that could not be reached before.
package origin

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"leverdrum/wire"
)

// Error is the class of this package's errors.
var Error = errs.Class("origin")

const (
	// recordTTL is how long a record is kept. It exceeds the time within which callers resume a stream.
	recordTTL = 2 * time.Minute
	// HistoryTTL is how long a software version may have streams that callers resume after its last server was removed.
	HistoryTTL = recordTTL
	// maxRecords bounds the records of a box; the oldest are dropped first.
	maxRecords = 1 << 15
	// maxIDBytes bounds the length of a key. A stream with a longer one has no record.
	maxIDBytes = 128
	// askTimeout bounds one round of questions, roundPause is the time between the two rounds (5).
	askTimeout = 250 * time.Millisecond
	// laggardTimeout is how long a round lasts once a box has answered.
	laggardTimeout = 80 * time.Millisecond
	roundPause     = 40 * time.Millisecond
	// lateRounds is the number of further rounds where a keeper did not answer or the state was confirmed late, with retryDelay
	// before each: boxes that could not reach each other send the records again that they could not deliver.
	lateRounds = 2
	// maxConfirmWait bounds the time that a lookup waits for a confirmed state. It exceeds the time in which a leader is elected
	// after the loss of all boxes. undatedConfirmWait is the bound for callers without a deadline.
	maxConfirmWait     = 3 * time.Second
	undatedConfirmWait = 500 * time.Millisecond
	// confirmWaitDivisor bounds the same time by a fraction of what the caller has left: the rest is for the stream, or for a new
	// one.
	confirmWaitDivisor = 2
)

// Source is how the version at which a stream began is known.
type Source string

// The sources. SourceUnknown is none of them.
const (
	SourceRecord  Source = "record"         // this box has the record
	SourceKeeper  Source = "keeper"         // another box has it
	SourceSingle  Source = "single-version" // the service had no other version
	SourceUnknown Source = "unknown"
)

// Origin is where a stream began.
type Origin struct {
	Service string
	Version string // of the server's software
	Source  Source // set by Lookup
}

// Options configures a Registry.
type Options struct {
	// Self is the name of this box.
	Self string
	// Call sends a call to a box.
	Call func(ctx context.Context, box string, c *wire.OriginCall) (*wire.OriginAnswer, error)
	// Confirm returns a topology from a state that a leader has confirmed after the call, as soon as this box has one: on the
	// leader at once, elsewhere with the next update. It sends no message. It fails when the context ends.
	Confirm func(ctx context.Context) (Topology, error)
	// Leader returns the name of the box that leads, "" if it is not known.
	Leader func() string
	// Now returns the time since a fixed point; it does not jump.
	Now func() time.Duration
	// Lost is called with the number of records that were not delivered to a keeper; may be nil.
	Lost func(records int)
}

// Registry is the part of one box. All methods may be called concurrently.
type Registry struct {
	opts Options

	mu       sync.Mutex
	topology Topology
	keepers  []string // the boxes of rule 4
	records  records
	services map[string]*service
	outboxes map[string]*outbox
	// knownSince is the time from which the box knows the versions of services (3), once it is configured. askedHistory is set
	// once it has asked the others for theirs.
	configured, askedHistory bool
	knownSince               time.Duration
	complete                 bool // a topology was complete
	// ready is closed once the box knows the others.
	ready       chan struct{}
	becomeReady sync.Once
	// own waits for a confirmed state of this box, leader asks the leader for one (8.1).
	own, leader *batch
}

// service is what a box knows of the versions of a service.
type service struct {
	lastSeen map[string]time.Duration // by version: when a server or stream of it was last seen
	current  []string                 // versions of the servers now
	departed []string                 // versions that had servers until lately
}

// Topology is what a Registry takes from the replicated state.
type Topology struct {
	// Enabled is set if all boxes exchange records.
	Enabled bool
	// Confirming is set if all boxes answer whether a leader has confirmed their state.
	Confirming bool
	// Confirmed is set if the state includes everything that was committed before this process started. Before that, the state
	// may lack servers of any version.
	Confirmed bool
	// Complete is set if Versions and Departed include all versions at which streams began that callers may still resume. It has no
	// effect unless Confirmed is set.
	Complete bool
	Boxes    []Box
	// Versions are the software versions of the servers of each service.
	Versions map[string][]string
	// Departed are the versions of each service that had servers until lately.
	Departed map[string][]string
}

// Box is a box of the cluster.
type Box struct {
	ID      string
	Disk    bool
	Leaving bool
}

// New returns a Registry that exchanges nothing until it is configured.
func New(opts Options) *Registry {
	r := &Registry{opts: opts, services: map[string]*service{}, outboxes: map[string]*outbox{}, records: newRecords(), ready: make(chan struct{})}
	r.own = &batch{run: r.confirmOwn}
	r.leader = &batch{run: r.askLeader}
	return r
}

// Configure sets the topology.
func (r *Registry) Configure(t Topology) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	if len(t.Boxes) > 0 {
		r.becomeReady.Do(func() { close(r.ready) })
	}
	t.Confirmed = t.Confirmed || r.topology.Confirmed
	r.topology, r.keepers = t, keepersOf(t.Boxes)
	for name, versions := range t.Versions {
		r.observe(now, name, versions...)
	}
	for name := range t.Departed {
		r.service(name)
	}
	for name, s := range r.services {
		s.current, s.departed = t.Versions[name], t.Departed[name]
	}
	switch {
	case t.Complete && t.Confirmed && !r.complete: // (3.1)
		r.configured, r.complete, r.knownSince = true, true, now-recordTTL
	case !r.configured && len(t.Boxes) > 0 && t.Confirmed:
		r.configured, r.knownSince = true, now
	}
	if t.Enabled && r.configured && !r.complete && !r.askedHistory {
		r.askedHistory = true
		go r.ask(context.Background(), r.others(r.keepers), &wire.OriginCall{})
	}
}

// observe records that versions of a service were seen now (3). The caller holds the lock.
func (r *Registry) observe(now time.Duration, name string, versions ...string) {
	for _, v := range versions {
		r.observeAt(now, now, name, v)
	}
}

// service returns what is known of a service. The caller holds the lock.
func (r *Registry) service(name string) *service {
	s := r.services[name]
	if s == nil {
		s = &service{lastSeen: map[string]time.Duration{}}
		r.services[name] = s
	}
	return s
}

// observeAt records that a version of a service was seen at a time. If the service becomes mixed, what was kept of it is sent (2).
// The caller holds the lock.
func (r *Registry) observeAt(now, at time.Duration, name, version string) {
	s := r.service(name)
	wasMixed := s.mixed(now)
	if last, ok := s.lastSeen[version]; !ok || at > last {
		s.lastSeen[version] = at
	}
	if !wasMixed && s.mixed(now) {
		for _, kept := range r.records.of(name, now) {
			r.send(kept)
		}
	}
}

// mixed reports whether servers or streams of two versions were seen lately (3).
func (s *service) mixed(now time.Duration) bool { return s != nil && len(s.versions(now)) > 1 }

// versions returns the versions that the service lately had.
func (s *service) versions(now time.Duration) []string {
	for _, v := range s.current {
		s.lastSeen[v] = now
	}
	for v, at := range s.lastSeen {
		if now-at > recordTTL {
			delete(s.lastSeen, v)
		}
	}
	list := slices.Clone(s.departed)
	for v := range s.lastSeen {
		if !slices.Contains(list, v) {
			list = append(list, v)
		}
	}
	return list
}

// Begin records that a stream began (1, 2).
func (r *Registry) Begin(id string, o Origin) {
	if id == "" || len(id) > maxIDBytes {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	r.observe(now, o.Service, o.Version)
	kept := record{id: id, origin: o, at: now}
	r.records.add(kept, now)
	if r.services[o.Service].mixed(now) || !r.knowsVersions(now) { // (3.2)
		r.send(kept)
	}
}

// knowsVersions reports whether the box knows the versions of services for as long as a record is kept. The caller holds the lock.
func (r *Registry) knowsVersions(now time.Duration) bool {
	return r.configured && now-r.knownSince >= recordTTL
}

// only returns the only software version that a service had within maxAge, given a confirmed state (6). Where boxes exchange no
// records, it is the version of the servers that the box knows. answered is whether another box has answered.
func (r *Registry) only(name string, maxAge time.Duration, c *confirmation, answered bool) (version string, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, s := r.opts.Now(), r.services[name]
	if s == nil || !r.topology.Confirmed {
		return "", false
	}
	versions := s.versions(now)
	if len(versions) != 1 || slices.ContainsFunc(c.departed[name], func(v string) bool { return v != versions[0] }) {
		return "", false
	}
	if r.topology.Enabled && (now-r.knownSince < min(maxAge, recordTTL) || !answered && !r.complete && len(r.others(r.keepers)) > 0) {
		return "", false
	}
	return versions[0], true
}

// Lookup returns where the stream of a request began. id may be empty if the request is not known. name is the service that it
// began at if no box has a record, and maxAge how long ago it can have begun. ok is false if the version is unknown (6).
func (r *Registry) Lookup(ctx context.Context, id, name string, maxAge time.Duration) (o Origin, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, confirmWait(ctx))
	defer cancel()
	waitUntil(ctx, r.ready, askTimeout)
	if o, ok = r.ownRecord(id); ok {
		return o, true
	}
	l := &lookup{Registry: r, id: id, service: name, maxAge: maxAge, confirmed: r.confirm(ctx)}
	if o, ok = l.round(ctx, false); ok {
		return o, true
	}
	if o, ok = l.single(ctx, laggardTimeout); ok {
		return o, true
	}
	_ = waitFor(ctx, roundPause)
	had := l.confirmation != nil
	if o, ok = l.round(ctx, true); ok || had && !l.unanswered {
		return o, ok
	}
	if o, ok = l.single(ctx, maxConfirmWait); ok {
		return o, true
	}
	for range lateRounds { // (8.2)
		if waitFor(ctx, retryDelay) != nil {
			break
		}
		if o, ok = l.round(ctx, true); ok {
			return o, true
		}
	}
	return Origin{}, false
}

// lookup is one call of Lookup.
type lookup struct {
	*Registry
	id, service  string
	maxAge       time.Duration
	answered     bool // by another box
	confirmed    <-chan *confirmation
	confirmation *confirmation // nil until a state is confirmed (8)
	unanswered   bool          // a keeper did not answer
}

// round asks keepers for the record: those of the record, or all (5).
func (l *lookup) round(ctx context.Context, all bool) (o Origin, ok bool) {
	boxes, confirming := l.boxesToAsk(l.id, l.service, all)
	call := &wire.OriginCall{Id: l.id}
	if all && confirming && l.confirmation == nil {
		call.Confirm = wire.OriginConfirm_ORIGIN_CONFIRM_RELAY
	}
	a := l.ask(ctx, boxes, call)
	l.answered = l.answered || a.count > 0
	if a.confirmation != nil && l.confirmation == nil && l.suffices(a.confirmation) {
		l.confirmation = a.confirmation
	}
	l.unanswered = l.unanswered || a.count < len(boxes)
	if a.record == nil {
		return Origin{}, false
	}
	return Origin{a.record.Service, a.record.Version, SourceKeeper}, true
}

// single returns the only version of the service, once a state is confirmed (6). It waits for that for the given time at most.
func (l *lookup) single(ctx context.Context, most time.Duration) (o Origin, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	if l.confirmation == nil {
		select {
		case l.confirmation = <-l.confirmed:
		case <-ctx.Done():
			return Origin{}, false
		}
	}
	version, ok := l.only(l.service, l.maxAge, l.confirmation, l.answered || l.confirmation.fromOther)
	return Origin{l.service, version, SourceSingle}, ok
}

// confirmWait returns how long a lookup waits for a confirmed state.
func confirmWait(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return undatedConfirmWait
	}
	return min(maxConfirmWait, time.Until(deadline)/confirmWaitDivisor)
}

// ownRecord returns the record that this box has of a stream.
func (r *Registry) ownRecord(id string) (o Origin, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept, ok := r.records.get(id, r.opts.Now())
	if !ok {
		return Origin{}, false
	}
	o = kept.origin
	o.Source = SourceRecord
	return o, true
}

// boxesToAsk returns the boxes of one round: the other keepers of a record, or all. Where this box knows a single version, the
// leader is asked in place of one of them. confirming is set if they answer whether their state is confirmed.
func (r *Registry) boxesToAsk(id, name string, all bool) (boxes []string, confirming bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case !r.topology.Enabled || id == "":
		return nil, false
	case all:
		return r.others(r.keepers), r.topology.Confirming
	}
	boxes = r.keepersOf(id)
	if s := r.services[name]; r.topology.Confirming && len(boxes) == keepersPerRecord && !s.mixed(r.opts.Now()) {
		boxes = boxes[:keepersPerRecord-1]
	}
	return boxes, r.topology.Confirming
}

// answers is what boxes answered in one round.
type answers struct {
	record       *wire.OriginRecord // nil if none has it
	count        int
	confirmation *confirmation // the first one, nil if there is none
}

// ask sends a call to boxes. It returns once one has the record, all have answered or the round is over.
func (r *Registry) ask(ctx context.Context, boxes []string, c *wire.OriginCall) (all answers) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	over := time.AfterFunc(askTimeout, cancel)
	defer over.Stop()
	received := make(chan *wire.OriginAnswer, len(boxes))
	for _, box := range boxes {
		go func() {
			a, err := r.opts.Call(ctx, box, c)
			if err != nil {
				a = nil // an unreachable keeper; the others may answer
			}
			received <- a
		}()
	}
	for range boxes {
		a := <-received
		if a == nil {
			continue
		}
		if all.count++; all.count == 1 {
			over.Reset(laggardTimeout)
		}
		r.learn(a.History)
		if a.Confirmed && all.confirmation == nil {
			all.confirmation = confirmationOf(a)
		}
		if a.Record != nil {
			all.record = a.Record
			return all
		}
	}
	return all
}

// learn adds what another box knows of versions (3).
func (r *Registry) learn(h *wire.OriginHistory) {
	if h == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	for _, w := range h.Seen {
		r.observeAt(now, now-milliseconds(w.AgeMs), w.Service, w.Version)
	}
	if since := now - milliseconds(h.KnownMs); r.configured && since < r.knownSince {
		r.knownSince = since
	}
}

// history returns what this box knows of versions. The caller holds the lock.
func (r *Registry) history(now time.Duration) *wire.OriginHistory {
	h := &wire.OriginHistory{}
	if r.configured {
		h.KnownMs = uint32(min(now-r.knownSince, recordTTL).Milliseconds())
	}
	for name, s := range r.services {
		for _, v := range s.departed {
			h.Departed = append(h.Departed, &wire.OriginRecord{Service: name, Version: v})
		}
		s.mixed(now) // updates lastSeen
		for v, at := range s.lastSeen {
			h.Seen = append(h.Seen, record{origin: Origin{Service: name, Version: v}, at: at}.wire(now))
		}
	}
	return h
}

func milliseconds(ms uint32) time.Duration { return time.Duration(ms) * time.Millisecond }

// Serve answers the call of another box. It returns soon, also if the call asks for a confirmed state and there is none.
func (r *Registry) Serve(ctx context.Context, c *wire.OriginCall) *wire.OriginAnswer {
	a := r.answer(c)
	if a.Record != nil || c.Confirm == wire.OriginConfirm_ORIGIN_CONFIRM_NONE {
		return a
	}
	if confirmed := r.confirmFor(ctx, c.Confirm); confirmed != nil {
		a = r.answer(&wire.OriginCall{Id: c.Id}) // with what the confirmed state has
		a.Confirmed = true
		for service, versions := range confirmed.departed {
			for _, v := range versions {
				a.History.Departed = append(a.History.Departed, &wire.OriginRecord{Service: service, Version: v})
			}
		}
	}
	return a
}

// answer keeps the records of a call and returns what this box has.
func (r *Registry) answer(c *wire.OriginCall) *wire.OriginAnswer {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	for _, w := range c.Records {
		if len(w.Id) > maxIDBytes || w.Id == "" {
			continue
		}
		at := now - milliseconds(w.AgeMs)
		r.records.add(record{id: w.Id, origin: Origin{Service: w.Service, Version: w.Version}, at: at}, now)
		r.observeAt(now, at, w.Service, w.Version)
	}
	a := &wire.OriginAnswer{History: r.history(now)}
	if kept, ok := r.records.get(c.Id, now); ok {
		a.Record = kept.wire(now)
	}
	return a
}

// waitUntil waits until a channel is closed, for a time at most, and reports whether it is.
func waitUntil(ctx context.Context, done <-chan struct{}, most time.Duration) bool {
	t := time.NewTimer(most)
	defer t.Stop()
	select {
	case <-done:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

func waitFor(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
