package crasher

import (
	"encoding/binary"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"leverdrum/wire"
)

const (
	// servedBlockWeight is the weight at which a prompt part is blocked that was answered in full before its evidence (10):
	// five servers that terminated, one after another.
	servedBlockWeight = 10
	// MaxParts bounds the parts of a prompt that are suspects: the first ones.
	MaxParts = 16
	// maxPartServers is the number of terminated servers that are kept per prompt part (11).
	maxPartServers = 16
)

// PartFingerprint identifies a prompt part at the servers of a service, of any software version. Parts of one ID are equal.
func PartFingerprint(service string, id uint64) (p Fingerprint) {
	binary.BigEndian.PutUint64(p[:8], xxhash.Sum64String(service))
	binary.BigEndian.PutUint64(p[8:], id)
	return p
}

// PartFingerprints identifies the parts of a prompt.
func PartFingerprints(service string, ids []uint64) (prints []Fingerprint) {
	for _, id := range ids {
		prints = append(prints, PartFingerprint(service, id))
	}
	return prints
}

// PartName names a prompt part in logs.
func PartName(service string, id uint64) string { return service + "/" + strconv.FormatUint(id, 16) }

// isPart reports whether a suspect is a prompt part.
func isPart(s *wire.Suspect) bool { return s.GetService() != "" }

// partKey returns the key of a prompt part, for which the version of the servers' software does not count.
func partKey(p Fingerprint) Key { return Key{Fingerprint: p} }

// partEvidence is evidence against one prompt part at one terminated server.
type partEvidence struct {
	*wire.CrashSign
	service string
	id      uint64
	ranMs   uint32 // of the request with the part that ran longest at the server
}

// partsOf derives the evidence against prompt parts from that against requests (9). Of several requests with a part at a
// server, the one counts whose evidence is strong, and among these the one sent last.
func partsOf(signs []*wire.CrashSign) (list []partEvidence) {
	type partAtServer struct {
		service, server string
		id              uint64
	}
	positions := map[partAtServer]int{}
	for _, s := range signs {
		for _, id := range s.Parts {
			at := partAtServer{s.Service, s.Server, id}
			i, ok := positions[at]
			switch {
			case !ok:
				positions[at] = len(list)
				list = append(list, partEvidence{s, s.Service, id, s.RanMs})
				continue
			case isBetterEvidence(s, list[i].CrashSign):
				list[i].CrashSign = s
			}
			list[i].ranMs = max(list[i].ranMs, s.RanMs)
		}
	}
	return list
}

func isBetterEvidence(a, b *wire.CrashSign) bool {
	if a.Weak != b.Weak {
		return b.Weak
	}
	return a.SentHereMs > b.SentHereMs
}

// addPartEvidence counts a piece of evidence against a prompt part and reports whether the suspect was blocked before or is now.
func (reg *Registry) addPartEvidence(box string, e partEvidence, at CommitPosition) (blocked bool) {
	if e.service == "" {
		return false
	}
	p := PartFingerprint(e.service, e.id)
	old := reg.Suspects[partKey(p)]
	next := &wire.Suspect{Print: p[:], Service: e.service, Part: e.id}
	if old != nil {
		next = proto.CloneOf(old)
	}
	if hasRuling(old) {
		return old.Held
	}
	if slices.Contains(next.Servers, e.Server) { // each box with a request there reports the termination
		return at.SharedExposure && reg.extendTermination(next, e.Server, e.ranMs, at)
	}
	request, _ := ParseFingerprint(e.Print)
	counts := !next.Held && !reg.Blocks(request, e.Version) && (old == nil || isIndependent(box, e.CrashSign, old, at.Term)) // (14)
	counts = counts && !(at.SharedExposure && isRefuted(e.ranMs, currentRun(old, at)))                                       // (17)
	next.Servers = appendBounded(next.Servers, e.Server, maxPartServers)
	next.Index, next.UnixMs = at.Index, at.UnixMs
	if counts {
		weight := evidenceWeight(e.CrashSign)
		next.Weight += weight
		next.Term, next.EndedMs, next.Box, next.EndedHereMs = at.Term, e.EndedMs, box, e.EndedHereMs
		if at.SharedExposure {
			next.Terminations = append(next.Terminations, &wire.Termination{Server: e.Server, Weight: weight, RanMs: e.ranMs})
		}
		if next.Weight >= BlockWeight(next) { // (4, 10)
			reg.block(next, at)
		}
	}
	reg.put(partKey(p), next)
	reg.evict()
	return next.Held
}

// BlockWeight returns the weight of evidence at which a suspect is blocked (4, 10).
func BlockWeight(s *wire.Suspect) uint32 {
	if isPart(s) && s.Served {
		return servedBlockWeight
	}
	return blockWeight
}

// clearPart records that a prompt part was answered in full: before its evidence was known, or since (10).
func (reg *Registry) clearPart(old *wire.Suspect, before bool, at CommitPosition) {
	next := proto.CloneOf(old)
	next.Served, next.Index, next.UnixMs = true, at.Index, at.UnixMs
	if !before {
		next.Weight, next.Servers, next.Terminations, next.Holds = 0, nil, nil, 0
	}
	if next.Weight < servedBlockWeight {
		next.Held = false
	}
	reg.put(partKey(Fingerprint(next.Print)), next)
}

// releaseExplained releases the blocked suspects whose evidence blocked prompt parts explain (11). They keep most of their
// weight: one more piece of evidence that is not explained blocks them again.
func (reg *Registry) releaseExplained(at CommitPosition) {
	var parts, held []*wire.Suspect
	for _, s := range reg.Suspects {
		if !s.Held {
			continue
		}
		held = append(held, s)
		if isPart(s) {
			parts = append(parts, s)
		}
	}
	for _, s := range held {
		if hasRuling(s) || !explained(s, parts) && !explainedByRequest(s, held) {
			continue
		}
		next := proto.CloneOf(s)
		next.Held, next.Weight, next.Holds = false, BlockWeight(s)-weakWeight, max(next.Holds, 1)-1
		next.Index, next.UnixMs = at.Index, at.UnixMs
		reg.put(keyOf(s), next)
	}
}

// explained reports whether each terminated server that counts against a suspect terminated while it ran requests with a blocked
// prompt part that was also present at others.
func explained(s *wire.Suspect, parts []*wire.Suspect) bool {
	others := slices.DeleteFunc(slices.Clone(parts), func(part *wire.Suspect) bool { return isSubset(part.Servers, s.Servers) })
	return !slices.ContainsFunc(s.Servers, func(server string) bool {
		return !slices.ContainsFunc(others, func(part *wire.Suspect) bool { return slices.Contains(part.Servers, server) })
	})
}

// explainedByRequest reports whether a suspect is a prompt part, and one blocked request was at all servers that count against it (14).
func explainedByRequest(s *wire.Suspect, held []*wire.Suspect) bool {
	return isPart(s) && len(s.Servers) > 0 && slices.ContainsFunc(held, func(request *wire.Suspect) bool {
		return !isPart(request) && isSubset(s.Servers, request.Servers)
	})
}

func isSubset(a, b []string) bool {
	return !slices.ContainsFunc(a, func(item string) bool { return !slices.Contains(b, item) })
}

// appendBounded appends an item to a list that keeps the newest ones.
func appendBounded(list []string, item string, limit int) []string {
	list = append(list, item)
	return list[max(0, len(list)-limit):]
}
