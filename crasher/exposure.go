package crasher

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// exposureDelay is how long evidence against prompt parts waits if requests with them run at other servers (15).
	exposureDelay = 500 * time.Millisecond
	// exposureReportDelay is how long after a termination runs that refute it are reported to the other boxes: before these report
	// evidence, and after the crash of the servers of these runs, if they crash too, was noticed (17).
	exposureReportDelay = 250 * time.Millisecond
	// exposureMargin is how much longer such a request must have run. It covers the time for which a crash is not noticed.
	exposureMargin = 250 * time.Millisecond
)

// Run is a response that a server has begun and not ended.
type Run struct {
	server       Server
	suspects     []Key // that the request may turn out to be: itself, and the parts of its prompt
	firstEventAt time.Time
	runFor       atomic.Int64 // nanoseconds from the first event to the last one so far
}

// Event records that an event has arrived. Run may be nil.
func (r *Run) Event(at time.Time) {
	if r != nil {
		r.runFor.Store(int64(at.Sub(r.firstEventAt)))
	}
}

// runs are the responses in progress at a box. The zero value has none.
type runs struct {
	mu     sync.Mutex
	active map[*Run]struct{}
	// reportedAt is when runs were reported to refute committed evidence, by suspect.
	reportedAt map[Key]time.Time
}

// BeginRun records the first event of a response to a request, whose prompt may have parts. The caller ends it with EndRun.
func (w *Watcher) BeginRun(s Server, request Fingerprint, parts []Fingerprint, firstEventAt time.Time) *Run {
	r := &Run{server: s, suspects: make([]Key, 0, 1+len(parts)), firstEventAt: firstEventAt}
	r.suspects = append(r.suspects, Key{request, s.Version})
	for _, p := range parts {
		r.suspects = append(r.suspects, partKey(p))
	}
	w.runs.mu.Lock()
	defer w.runs.mu.Unlock()
	if w.runs.active == nil {
		w.runs.active = map[*Run]struct{}{}
	}
	w.runs.active[r] = struct{}{}
	return r
}

// EndRun records the end of a response, however it ended. Run may be nil.
func (w *Watcher) EndRun(r *Run) {
	if r == nil {
		return
	}
	w.runs.mu.Lock()
	defer w.runs.mu.Unlock()
	delete(w.runs.active, r)
}

// longest returns, for those of the suspects with which requests run, except at one server, for how long the longest has run.
func (l *runs) longest(suspects map[Key]bool, except Server) map[Key]time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	longest := map[Key]time.Duration{}
	for r := range l.active {
		if r.server == except {
			continue
		}
		for _, key := range r.suspects {
			if suspects[key] {
				longest[key] = max(longest[key], time.Duration(r.runFor.Load()))
			}
		}
	}
	return longest
}

// partsOfAttempts returns the prompt parts of attempts.
func partsOfAttempts(attempts []FailedAttempt) map[Key]bool {
	parts := map[Key]bool{}
	for i := range attempts {
		for _, id := range attempts[i].Parts {
			parts[attempts[i].partKey(id)] = true
		}
	}
	return parts
}

// partKey returns the key of one of the prompt parts of an attempt.
func (b *FailedAttempt) partKey(id uint64) Key { return partKey(PartFingerprint(b.Service, id)) }

// Exposure says for how long requests with a prompt part ran at a server that terminated, and at the other servers (15).
type Exposure struct {
	Service string
	Part    uint64
	// RanFor is the longest time from a first event to the termination, RunsElsewhereFor the longest from a first event at a server
	// that goes on. The latter is 0 if no such request of the box has had an event.
	RanFor, RunsElsewhereFor time.Duration
	// Refuted reports that the termination is no evidence against the part.
	Refuted bool
}

// exposures compares, for each prompt part of the attempts at a terminated server, how long requests with it ran there and elsewhere.
func exposures(attempts []FailedAttempt, longest map[Key]time.Duration) (list []Exposure) {
	positions := map[Key]int{}
	for i := range attempts {
		b := &attempts[i]
		for _, id := range b.Parts {
			part := b.partKey(id)
			at, ok := positions[part]
			if !ok {
				at = len(list)
				positions[part] = at
				list = append(list, Exposure{Service: b.Service, Part: id, RunsElsewhereFor: longest[part]})
			}
			list[at].RanFor = max(list[at].RanFor, b.ranFor())
		}
	}
	for i := range list {
		e := &list[i]
		_, exposed := longest[partKey(PartFingerprint(e.Service, e.Part))]
		e.Refuted = exposed && e.RunsElsewhereFor > e.RanFor+exposureMargin
	}
	return list
}

// withoutRefuted returns those of the attempts at a terminated server, with those of their prompt parts, that are evidence against
// parts: no request with the part has run for longer at another server, and goes on (15).
func withoutRefuted(attempts []FailedAttempt, exposures []Exposure) (rest []FailedAttempt) {
	for _, b := range attempts {
		b.Parts = slices.DeleteFunc(slices.Clone(b.Parts), func(id uint64) bool {
			return slices.ContainsFunc(exposures, func(e Exposure) bool { return e.Refuted && e.Service == b.Service && e.Part == id })
		})
		if len(b.Parts) > 0 {
			rest = append(rest, b)
		}
	}
	return rest
}

// withoutExposed returns attempts as evidence against whole requests, and against the parts with which no request runs elsewhere.
func withoutExposed(attempts []FailedAttempt, exposed map[Key]time.Duration) []FailedAttempt {
	list := slices.Clone(attempts)
	for i := range list {
		list[i].Parts = list[i].partsIn(exposed, false)
	}
	return list
}

// onlyExposed returns the attempts with parts with which requests run elsewhere, and with these parts alone.
func onlyExposed(attempts []FailedAttempt, exposed map[Key]time.Duration) (list []FailedAttempt) {
	for _, b := range attempts {
		if b.Parts = b.partsIn(exposed, true); len(b.Parts) > 0 {
			list = append(list, b)
		}
	}
	return list
}

// partsIn returns the parts of an attempt that are in a set, or that are not.
func (b *FailedAttempt) partsIn(set map[Key]time.Duration, in bool) (parts []uint64) {
	for _, id := range b.Parts {
		if _, ok := set[b.partKey(id)]; ok == in {
			parts = append(parts, id)
		}
	}
	return parts
}

// ranFor returns for how long the attempt ran since its first event.
func (b *FailedAttempt) ranFor() time.Duration {
	if b.FirstEventAt.IsZero() {
		return 0
	}
	return b.FailedAt.Sub(b.FirstEventAt)
}
