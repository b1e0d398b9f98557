package crasher

import (
	"sync"
	"sync/atomic"
	"time"

	"leverdrum/wire"
)

// ownBox stands for this box in the table of its own evidence.
const ownBox = "own"

// ownEvidence is the table of suspects by those of this box's reports that may not be committed (12). The zero value is an
// empty table.
type ownEvidence struct {
	mu    sync.Mutex // of apply
	index uint64
	table atomic.Pointer[Registry]
}

// apply records a report. parts are the prompt parts that this box saw answered.
func (o *ownEvidence) apply(r *wire.CrashReport, parts *ServedCache) {
	o.mu.Lock()
	defer o.mu.Unlock()
	next := NewRegistry()
	if t := o.table.Load(); t != nil {
		next = *t
	}
	now := time.Now()
	next.Apply(&wire.CrashReport{Box: ownBox, Signs: r.Signs, Served: r.Served}, o.position(now))
	if list := parts.among(&next); len(list) > 0 {
		next.Apply(&wire.CrashReport{Served: list}, o.position(now))
	}
	next.dropBefore(now.Add(-suspectTTL).UnixMilli())
	o.table.Store(&next)
}

// reset empties the table.
func (o *ownEvidence) reset() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.table.Store(nil)
}

func (o *ownEvidence) position(now time.Time) CommitPosition {
	o.index++
	return CommitPosition{Index: o.index, UnixMs: now.UnixMilli(), PromptParts: true, ProvisionalBlocks: true, SharedExposure: true}
}

func (o *ownEvidence) hasBlocked() bool {
	t := o.table.Load()
	return t != nil && t.HasBlocked()
}

func (o *ownEvidence) suspected(p Fingerprint, version string) bool {
	t := o.table.Load()
	return t != nil && t.Suspected(p, version)
}

// suspect returns a suspect, nil if it is none.
func (o *ownEvidence) suspect(p Fingerprint, version string) *wire.Suspect {
	if t := o.table.Load(); t != nil {
		return t.Suspects[Key{p, version}]
	}
	return nil
}

// blocks reports whether a suspect is blocked. A provisional block lasts as long as any other, since no leader releases it.
func (o *ownEvidence) blocks(p Fingerprint, version string) bool {
	s := o.suspect(p, version)
	return s.GetHeld() && time.Since(time.UnixMilli(s.UnixMs)) < firstBlockDuration
}

// dropBefore drops the suspects that have not changed since a time, in Unix milliseconds.
func (reg *Registry) dropBefore(unixMs int64) {
	for key, s := range reg.Suspects {
		if s.UnixMs < unixMs {
			reg.put(key, nil)
		}
	}
}
