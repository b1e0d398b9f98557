package crasher

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"leverdrum/wire"
)

const (
	// strongWeight and weakWeight are what signs weigh (2), and holdWeight what holds a suspect (4): three
	// servers that ended at the request's first step, or five at which it had run for long. Two would
	// save a server in three, but refuse innocent requests that are sent again to the same few servers with
	// their model as the guilty ones.
	strongWeight = 2
	weakWeight   = 1
	holdWeight   = 5
	// serversKept is how many of the servers that ended are named for operators.
	serversKept = 5
	// suspectsMost bounds the table, which each box holds. It has room for what was at 60 servers of 64
	// places that ended one after another within suspectFor.
	suspectsMost = 4096
	// heldMost bounds those of the table that are held.
	heldMost = 1024
)

const (
	// suspectFor is how long a suspect is remembered after its last sign (7).
	suspectFor = 10 * time.Minute
	// probationFor is the same for one that was held before.
	probationFor = 24 * time.Hour
	// holdFirst is how long a suspect is held the first time (7), holdMost the longest time.
	holdFirst = 10 * time.Minute
	holdMost  = 8 * time.Hour
)

// Key names a suspect: the request and the version of the servers' software (6).
type Key struct {
	Fingerprint Fingerprint
	Version     string
}

func keyOf(s *wire.Suspect) Key { return Key{Fingerprint(s.Print), s.Version} }

// Registry is the agreed table of suspects. It changes only by Take and Release, which are the same on all
// boxes. These replace the map, so that a copy of a Registry stays as it is: the agreed state is copied far more
// often than it changes here.
type Registry struct {
	Suspects map[Key]*wire.Suspect
	held     int
	changed  uint64
}

// NewRegistry returns an empty table.
func NewRegistry() Registry { return Registry{Suspects: map[Key]*wire.Suspect{}} }

// CommitPosition says when a report is agreed.
type CommitPosition struct {
	Index, Term uint64
	UnixMs      int64
}

// Apply takes a report over and returns who is held by it.
func (b *Registry) Apply(r *wire.CrashReport, at CommitPosition) (held []*wire.Suspect) {
	b.Suspects, b.changed = maps.Clone(b.Suspects), at.Index
	for _, s := range r.Served {
		b.clear(s, at)
	}
	for _, sign := range r.Signs {
		if s := b.count(r.Box, sign, at); s != nil && s.Held {
			held = append(held, s)
		}
	}
	return held
}

// clear is rule 5.
func (b *Registry) clear(served *wire.ServedSuspect, at CommitPosition) {
	p, ok := ParseFingerprint(served.Print)
	key := Key{p, served.Version}
	if !ok || b.Suspects[key] == nil {
		return
	}
	b.put(key, &wire.Suspect{Print: served.Print, Version: served.Version, Served: true, Index: at.Index, UnixMs: at.UnixMs})
}

// count counts a sign, and returns the suspect if it changed.
func (b *Registry) count(box string, sign *wire.CrashSign, at CommitPosition) *wire.Suspect {
	p, ok := ParseFingerprint(sign.Print)
	if !ok {
		return nil
	}
	key := Key{p, sign.Version}
	old := b.Suspects[key]
	if old.GetHeld() || old.GetServed() || old != nil && !follows(box, sign, old, at.Term) {
		return nil
	}
	next := &wire.Suspect{Print: sign.Print, Version: sign.Version, Weight: b.startOf(key)}
	if old != nil {
		next = proto.CloneOf(old)
	}
	next.Weight += weightOf(sign)
	next.Servers = append(next.Servers, sign.Server)
	if more := len(next.Servers) - serversKept; more > 0 {
		next.Servers = next.Servers[more:]
	}
	next.Term, next.EndedMs, next.Index, next.UnixMs = at.Term, sign.EndedMs, at.Index, at.UnixMs
	next.Box, next.EndedHereMs = box, sign.EndedHereMs
	if next.Weight >= holdWeight { // (4)
		next.Held = true
		next.Holds++
	}
	b.put(key, next)
	b.makeRoom()
	return next
}

// follows is rule 3. Two signs of one box are compared by its own clock: an attempt goes to the next server within a
// millisecond of the end of the one before, while their reports take some ms each. Those of two boxes are compared by
// the leader's clock: there a caller came back meanwhile. Clocks of two leaders are not compared: a leader is lost for longer
// than a server's end takes to be told, and a sign told to both counts once by the server's name.
func follows(box string, sign *wire.CrashSign, old *wire.Suspect, term uint64) bool {
	switch {
	case box != "" && box == old.Box:
		return sign.SentHereMs >= old.EndedHereMs
	case old.Term == term:
		return sign.SentMs >= old.EndedMs
	}
	return !slices.Contains(old.Servers, sign.Server)
}

func weightOf(sign *wire.CrashSign) uint32 {
	if sign.Weak {
		return weakWeight
	}
	return strongWeight
}

// startOf is rule 6.
func (b *Registry) startOf(key Key) uint32 {
	for other, s := range b.Suspects {
		if other.Fingerprint == key.Fingerprint && s.Holds > 0 {
			return holdWeight - weakWeight
		}
	}
	return 0
}

// put replaces or, with nil, drops a suspect.
func (b *Registry) put(key Key, s *wire.Suspect) {
	if b.Suspects[key].GetHeld() {
		b.held--
	}
	if s == nil {
		delete(b.Suspects, key)
		return
	}
	if s.Held {
		b.held++
	}
	b.Suspects[key] = s
}

// makeRoom is rule 8.
func (b *Registry) makeRoom() {
	if b.held > heldMost {
		b.put(b.least(func(s *wire.Suspect) bool { return s.Held }), nil)
	}
	if len(b.Suspects) > suspectsMost {
		b.put(b.least(func(s *wire.Suspect) bool { return !s.Held }), nil)
	}
}

func (b *Registry) least(of func(*wire.Suspect) bool) (key Key) {
	var least *wire.Suspect
	for k, s := range b.Suspects {
		if of(s) && (least == nil || compare(s, least) < 0) {
			key, least = k, s
		}
	}
	return key
}

// compare orders suspects by weight, then by age, the oldest first.
func compare(a, b *wire.Suspect) int {
	return cmp.Or(cmp.Compare(a.Weight, b.Weight), cmp.Compare(a.Index, b.Index), slices.Compare(a.Print, b.Print), cmp.Compare(a.Version, b.Version))
}

// Release lets suspects go that are as they were when this was asked for (7), and returns those that were held.
func (b *Registry) Release(r *wire.ReleaseSuspects, at CommitPosition) (released []*wire.Suspect) {
	b.Suspects, b.changed = maps.Clone(b.Suspects), at.Index
	for _, s := range r.Suspects {
		p, ok := ParseFingerprint(s.Print)
		key := Key{p, s.Version}
		old := b.Suspects[key]
		if !ok || old == nil || old.Index != s.Index {
			continue
		}
		if !old.Held {
			b.put(key, nil)
			continue
		}
		next := proto.CloneOf(old)
		next.Held, next.Weight, next.Index, next.UnixMs = false, holdWeight-weakWeight, at.Index, at.UnixMs
		b.put(key, next)
		released = append(released, next)
	}
	return released
}

// TTL is how long a suspect stays as it is without a further sign (7).
func TTL(s *wire.Suspect) time.Duration {
	switch {
	case s.Held:
		return min(holdMost, holdFirst<<min(s.Holds-1, 16))
	case s.Holds > 0:
		return probationFor
	}
	return suspectFor
}

// LastChanged returns the index of the entry that changed the table last, 0 where none has been seen.
func (b *Registry) LastChanged() uint64 { return b.changed }

// HasBlocked reports whether some request is held: if not, no print need be made.
func (b *Registry) HasBlocked() bool { return b.held > 0 }

// BlockedCount returns how many requests are held.
func (b *Registry) BlockedCount() int { return b.held }

// Blocks reports whether a request is kept from servers of a software version.
func (b *Registry) Blocks(p Fingerprint, version string) bool {
	return b.Suspects[Key{p, version}].GetHeld()
}

// NextReportBlocks reports whether one more strong sign holds a request, given its signs or, where they are more, as
// many of which nothing is agreed yet.
func (b *Registry) NextReportBlocks(p Fingerprint, version string, untold int) bool {
	weight := max(b.Suspects[Key{p, version}].GetWeight(), uint32(max(0, untold))*strongWeight)
	return weight+strongWeight >= holdWeight
}

// Suspected reports whether a request is suspected at servers of a software version, held or not.
func (b *Registry) Suspected(p Fingerprint, version string) bool {
	s := b.Suspects[Key{p, version}]
	return s != nil && !s.Served
}

// Encode returns the suspects in a fixed order.
func (b *Registry) Encode() []*wire.Suspect {
	return slices.SortedFunc(maps.Values(b.Suspects), func(x, y *wire.Suspect) int {
		return cmp.Or(slices.Compare(x.Print, y.Print), cmp.Compare(x.Version, y.Version))
	})
}

// Decode returns the table that a snapshot holds.
func Decode(list []*wire.Suspect) Registry {
	b := NewRegistry()
	for _, s := range list {
		if _, ok := ParseFingerprint(s.Print); ok {
			b.put(keyOf(s), s)
		}
	}
	return b
}
