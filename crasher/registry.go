package crasher

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"leverdrum/wire"
)

const (
	// strongWeight and weakWeight are the weights of strong and weak evidence (2). A suspect of weight blockWeight
	// is blocked (4): after three servers that terminated at the request's start, or five at which it had run for
	// long. Blocking after two would save one server in three, but would refuse innocent requests that are
	// retried, together with the crashers, at the few servers with their model.
	strongWeight = 2
	weakWeight   = 1
	blockWeight  = 5
	// maxServers is the number of terminated servers that are kept per suspect, for operators.
	maxServers = 5
	// maxSuspects bounds the table, which each box stores. It holds the requests of 60 servers of 64 slots that
	// terminate one after another within suspectTTL.
	maxSuspects = 4096
	// maxBlocked bounds the number of blocked suspects in the table.
	maxBlocked = 1024
)

const (
	// suspectTTL is how long a suspect is remembered after its last evidence (7).
	suspectTTL = 10 * time.Minute
	// probationTTL is the same for a suspect that was blocked before.
	probationTTL = 24 * time.Hour
	// unlimitedTTL is the same for a suspect that operators ruled on (13).
	unlimitedTTL time.Duration = math.MaxInt64
	// firstBlockDuration is the duration of a suspect's first block, maxBlockDuration the maximum (7).
	firstBlockDuration = 10 * time.Minute
	maxBlockDuration   = 8 * time.Hour
)

// Key identifies a suspect: the request and the version of the servers' software (6).
type Key struct {
	Fingerprint Fingerprint
	Version     string
}

func keyOf(s *wire.Suspect) Key { return Key{Fingerprint(s.Print), s.Version} }

// Registry is the replicated table of suspects. It changes only by Apply and Release, which have the same effect
// on all boxes. Both replace the map, so that a copy of a Registry remains unchanged: the replicated state is
// copied far more often than the table changes.
type Registry struct {
	Suspects    map[Key]*wire.Suspect
	blocked     int
	lastChanged uint64
}

// NewRegistry returns an empty table.
func NewRegistry() Registry { return Registry{Suspects: map[Key]*wire.Suspect{}} }

// CommitPosition is the log position and time at which a report was committed.
type CommitPosition struct {
	Index, Term uint64
	UnixMs      int64
	// PromptParts reports whether prompt parts are suspects (9).
	PromptParts bool
	// ProvisionalBlocks reports whether blocks may be provisional (16).
	ProvisionalBlocks bool
	// SharedExposure reports whether boxes report which requests run on (17).
	SharedExposure bool
}

// Apply records a crash report and returns the suspects that it blocks.
func (reg *Registry) Apply(r *wire.CrashReport, at CommitPosition) (blocked []*wire.Suspect) {
	reg.Suspects, reg.lastChanged = maps.Clone(reg.Suspects), at.Index
	for _, s := range r.Served {
		switch {
		case s.RunsMs > 0:
			reg.recordRun(s, at)
		case !s.Before:
			reg.clear(s, at)
		}
	}
	var keys []Key
	for _, evidence := range r.Signs {
		if s := reg.addEvidence(r.Box, evidence, at); s != nil && s.Held {
			keys = append(keys, keyOf(s))
		}
	}
	if at.PromptParts {
		keys = append(keys, reg.applyParts(r, at)...)
	}
	for _, s := range r.Served { // these may be about evidence of the same report
		if s.Before {
			reg.clear(s, at)
		}
	}
	if at.ProvisionalBlocks && at.SharedExposure && len(r.Signs) > 0 {
		reg.reviewBlocks(at)
	}
	for _, key := range keys {
		if s := reg.Suspects[key]; s.GetHeld() {
			blocked = append(blocked, s)
		}
	}
	return blocked
}

// applyParts records a crash report's evidence against prompt parts and returns those that it blocks (9).
func (reg *Registry) applyParts(r *wire.CrashReport, at CommitPosition) (blocked []Key) {
	changed := false
	for _, e := range partsOf(r.Signs) {
		key := partKey(PartFingerprint(e.service, e.id))
		before := reg.Suspects[key].GetHeld()
		held := reg.addPartEvidence(r.Box, e, at)
		if held && !before {
			blocked = append(blocked, key)
		}
		changed = changed || held
	}
	if changed || reg.blocked > 0 {
		reg.releaseExplained(at)
	}
	return blocked
}

// clear clears a suspect that was answered in full (5).
func (reg *Registry) clear(served *wire.ServedSuspect, at CommitPosition) {
	p, ok := ParseFingerprint(served.Print)
	key := Key{p, served.Version}
	old := reg.Suspects[key]
	switch {
	case !ok || old == nil || hasRuling(old): // (13)
		return
	case isPart(old):
		reg.clearPart(old, served.Before, at)
		return
	}
	reg.put(key, &wire.Suspect{Print: served.Print, Version: served.Version, Served: true, Index: at.Index, UnixMs: at.UnixMs})
}

// addEvidence counts a piece of evidence and returns the suspect if it changed.
func (reg *Registry) addEvidence(box string, evidence *wire.CrashSign, at CommitPosition) *wire.Suspect {
	p, ok := ParseFingerprint(evidence.Print)
	if !ok {
		return nil
	}
	key := Key{p, evidence.Version}
	old := reg.Suspects[key]
	if at.SharedExposure && old.GetHeld() && !hasRuling(old) {
		reg.recordServer(key, old, evidence.Server)
	}
	if old.GetHeld() || old.GetServed() || hasRuling(old) || old != nil && !isIndependent(box, evidence, old, at.Term) {
		return nil
	}
	if at.PromptParts && slices.Contains(old.GetServers(), evidence.Server) { // builds of lower levels count it
		if at.SharedExposure {
			reg.extendTermination(proto.CloneOf(old), evidence.Server, evidence.RanMs, at)
		}
		return nil
	}
	if at.SharedExposure && isRefuted(evidence.RanMs, currentRun(old, at)) { // (17)
		reg.recordServer(key, old, evidence.Server)
		return nil
	}
	next := &wire.Suspect{Print: evidence.Print, Version: evidence.Version, Weight: reg.initialWeight(key)}
	if old != nil {
		next = proto.CloneOf(old)
	}
	weight := evidenceWeight(evidence)
	next.Weight += weight
	if at.SharedExposure {
		next.Terminations = append(next.Terminations, &wire.Termination{Server: evidence.Server, Weight: weight, RanMs: evidence.RanMs})
	}
	next.Servers = appendBounded(next.Servers, evidence.Server, maxServers)
	next.Term, next.EndedMs, next.Index, next.UnixMs = at.Term, evidence.EndedMs, at.Index, at.UnixMs
	next.Box, next.EndedHereMs = box, evidence.EndedHereMs
	if next.Weight >= blockWeight { // (4)
		reg.block(next, at)
	}
	reg.put(key, next)
	reg.evict()
	return next
}

// recordServer records a server that terminated under a request without counting against it: it did not terminate without the request (16).
func (reg *Registry) recordServer(key Key, s *wire.Suspect, server string) {
	if slices.Contains(s.Servers, server) {
		return
	}
	next := proto.CloneOf(s)
	next.Servers = appendBounded(next.Servers, server, maxServers)
	reg.put(key, next)
}

// isIndependent reports whether evidence counts in addition to the previous evidence (3). Evidence of one box is
// compared by the box's own clock: an attempt goes to the next server within a millisecond of the previous
// server's termination, while reporting each takes some milliseconds. Evidence of two boxes is compared by the
// leader's clock: in that case a caller has retried in the meantime. Clocks of two leaders are not compared: a
// leader change takes longer than reporting a termination, and evidence reported to both leaders counts once by
// the server's name.
func isIndependent(box string, evidence *wire.CrashSign, old *wire.Suspect, term uint64) bool {
	switch {
	case box != "" && box == old.Box:
		return evidence.SentHereMs >= old.EndedHereMs
	case old.Term == term:
		return evidence.SentMs >= old.EndedMs
	}
	return !slices.Contains(old.Servers, evidence.Server)
}

func evidenceWeight(evidence *wire.CrashSign) uint32 {
	if evidence.Weak {
		return weakWeight
	}
	return strongWeight
}

// initialWeight returns the weight of a new suspect. It is one weak piece of evidence short of blocking if the
// request is or was blocked under another version (6).
func (reg *Registry) initialWeight(key Key) uint32 {
	for other, s := range reg.Suspects {
		if other.Fingerprint == key.Fingerprint && s.Holds > 0 && !hasRuling(s) {
			return blockWeight - weakWeight
		}
	}
	return 0
}

// put replaces a suspect, or removes it if s is nil.
func (reg *Registry) put(key Key, s *wire.Suspect) {
	if reg.Suspects[key].GetHeld() {
		reg.blocked--
	}
	if s == nil {
		delete(reg.Suspects, key)
		return
	}
	if s.Held {
		reg.blocked++
	}
	reg.Suspects[key] = s
}

// evict enforces the bounds of the table (8).
func (reg *Registry) evict() {
	if reg.blocked > maxBlocked {
		reg.put(reg.lightest(func(s *wire.Suspect) bool { return s.Held && !hasRuling(s) }), nil)
	}
	if len(reg.Suspects) > maxSuspects {
		reg.put(reg.lightest(func(s *wire.Suspect) bool { return !s.Held && !hasRuling(s) }), nil)
	}
}

func (reg *Registry) lightest(eligible func(*wire.Suspect) bool) (key Key) {
	var lightest *wire.Suspect
	for k, s := range reg.Suspects {
		if eligible(s) && (lightest == nil || compareSuspects(s, lightest) < 0) {
			key, lightest = k, s
		}
	}
	return key
}

// compareSuspects orders suspects by weight, then by age, the oldest first.
func compareSuspects(a, b *wire.Suspect) int {
	return cmp.Or(cmp.Compare(a.Weight, b.Weight), cmp.Compare(a.Index, b.Index), slices.Compare(a.Print, b.Print), cmp.Compare(a.Version, b.Version))
}

// Release releases suspects that have not changed since the release was requested (7): blocked ones are unblocked
// and returned, others are removed.
func (reg *Registry) Release(r *wire.ReleaseSuspects, at CommitPosition) (released []*wire.Suspect) {
	reg.Suspects, reg.lastChanged = maps.Clone(reg.Suspects), at.Index
	for _, s := range r.Suspects {
		p, ok := ParseFingerprint(s.Print)
		key := Key{p, s.Version}
		old := reg.Suspects[key]
		if !ok || old == nil || old.Index != s.Index || hasRuling(old) {
			continue
		}
		if !old.Held {
			reg.put(key, nil)
			continue
		}
		next := proto.CloneOf(old)
		next.Held, next.Weight, next.Index, next.UnixMs = false, BlockWeight(old)-weakWeight, at.Index, at.UnixMs
		next.Terminations = nil
		next.Holds = max(next.Holds, 1)
		reg.put(key, next)
		released = append(released, next)
	}
	return released
}

// TTL returns how long a suspect remains unchanged without further evidence (7).
func TTL(s *wire.Suspect) time.Duration {
	switch {
	case hasRuling(s):
		return unlimitedTTL
	case IsProvisional(s):
		return provisionalDuration
	case s.Held:
		return min(maxBlockDuration, firstBlockDuration<<min(s.Holds-1, 16))
	case s.Holds > 0:
		return probationTTL
	}
	return suspectTTL
}

// LastChanged returns the index of the log entry that last changed the table, 0 if there was none.
func (reg *Registry) LastChanged() uint64 { return reg.lastChanged }

// HasBlocked reports whether any request is blocked. If not, no fingerprint needs to be computed.
func (reg *Registry) HasBlocked() bool { return reg.blocked > 0 }

// BlockedCount returns the number of blocked requests.
func (reg *Registry) BlockedCount() int { return reg.blocked }

// Blocks reports whether a request is blocked from servers of a software version.
func (reg *Registry) Blocks(p Fingerprint, version string) bool {
	return reg.Suspects[Key{p, version}].GetHeld()
}

// NextReportBlocks reports whether one more strong piece of evidence blocks a request, given its committed weight
// or, if greater, the weight of as many strong pieces of evidence as are not committed yet.
func (reg *Registry) NextReportBlocks(p Fingerprint, version string, uncommitted int) bool {
	s := reg.Suspects[Key{p, version}]
	if hasRuling(s) {
		return s.Held
	}
	weight := max(s.GetWeight(), uint32(max(0, uncommitted))*strongWeight)
	return weight+strongWeight >= BlockWeight(s)
}

// NextReportBlocksAny is NextReportBlocks for prompt parts.
func (reg *Registry) NextReportBlocksAny(parts []Fingerprint, uncommitted int) bool {
	return slices.ContainsFunc(parts, func(p Fingerprint) bool { return reg.NextReportBlocks(p, "", uncommitted) })
}

// Suspected reports whether there is evidence against a request at servers of a software version, or against a prompt part
// with version "", that no answer in full has cleared since.
func (reg *Registry) Suspected(p Fingerprint, version string) bool {
	s := reg.Suspects[Key{p, version}]
	return s != nil && (!s.Served || s.Weight > 0) && !hasRuling(s)
}

// Encode returns the suspects in a fixed order.
func (reg *Registry) Encode() []*wire.Suspect {
	return slices.SortedFunc(maps.Values(reg.Suspects), func(x, y *wire.Suspect) int {
		return cmp.Or(slices.Compare(x.Print, y.Print), cmp.Compare(x.Version, y.Version))
	})
}

// Decode returns the table stored in a snapshot.
func Decode(list []*wire.Suspect) Registry {
	reg := NewRegistry()
	for _, s := range list {
		if _, ok := ParseFingerprint(s.Print); ok {
			reg.put(keyOf(s), s)
		}
	}
	return reg
}
