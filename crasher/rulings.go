package crasher

import (
	"maps"

	"google.golang.org/protobuf/proto"

	"leverdrum/wire"
)

// maxRulings bounds the suspects with a ruling, which are never evicted.
const maxRulings = 256

// hasRuling reports whether operators decided on a suspect (13).
func hasRuling(s *wire.Suspect) bool { return s.GetRuling() != wire.Ruling_RULING_NONE }

// Rule sets a ruling, or with RULING_NONE forgets the suspect. It reports whether the ruling is in the table now, which is not so if
// there are too many others or the suspect is not identified.
func (reg *Registry) Rule(r *wire.SuspectRuling, at CommitPosition) bool {
	key, next, ok := ruledSuspect(r)
	old := reg.Suspects[key]
	ruled := r.Ruling != wire.Ruling_RULING_NONE
	if !ok || ruled && !hasRuling(old) && reg.rulings() >= maxRulings {
		return false
	}
	reg.Suspects, reg.lastChanged = maps.Clone(reg.Suspects), at.Index
	if !ruled {
		reg.put(key, nil)
		return true
	}
	if old != nil {
		next = proto.CloneOf(old)
	}
	next.Ruling, next.Held = r.Ruling, r.Ruling == wire.Ruling_RULING_BLOCK
	next.Index, next.UnixMs = at.Index, at.UnixMs
	reg.put(key, next)
	reg.evict()
	return true
}

// ruledSuspect returns the key of the suspect that a ruling is about, and the suspect without evidence; false if there is none.
func ruledSuspect(r *wire.SuspectRuling) (Key, *wire.Suspect, bool) {
	if r.Service != "" {
		p := PartFingerprint(r.Service, r.Part)
		return partKey(p), &wire.Suspect{Print: p[:], Service: r.Service, Part: r.Part}, true
	}
	p, ok := ParseFingerprint(r.Print)
	return Key{p, r.Version}, &wire.Suspect{Print: r.Print, Version: r.Version}, ok
}

func (reg *Registry) rulings() (n int) {
	for _, s := range reg.Suspects {
		if hasRuling(s) {
			n++
		}
	}
	return n
}
