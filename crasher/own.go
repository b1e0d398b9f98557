package crasher

import (
	"sync"
	"sync/atomic"
	"time"

	"leverdrum/wire"
)

// ownBox stands for this box in the table of its own evidence.
const ownBox = "own"

const (
	// commitTimeout is how long a report takes to be committed at most, unless the leader is unreachable or its disk stalls (18).
	commitTimeout = 50 * time.Millisecond
	// lateCommitGrace is for how long a box's evidence remains in force after it was committed late.
	lateCommitGrace = 500 * time.Millisecond
)

// ownEvidence is the table of suspects by those of this box's reports that may not be committed (12). The zero value is an
// empty table.
type ownEvidence struct {
	mu    sync.Mutex // of changes
	index uint64
	table atomic.Pointer[Registry]
	// uncommittedSince is when the oldest report with evidence was made that was not committed since, in Unix milliseconds; 0: there is none.
	uncommittedSince atomic.Int64
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
	if len(r.Signs) > 0 {
		o.uncommittedSince.CompareAndSwap(0, now.UnixMilli())
	}
	next.Apply(&wire.CrashReport{Box: ownBox, Signs: r.Signs, Served: r.Served}, o.position(now))
	if list := parts.among(&next); len(list) > 0 {
		next.Apply(&wire.CrashReport{Served: list}, o.position(now))
	}
	next.dropBefore(now.Add(-suspectTTL).UnixMilli())
	o.table.Store(&next)
}

func (o *ownEvidence) position(now time.Time) CommitPosition {
	o.index++
	return CommitPosition{Index: o.index, UnixMs: now.UnixMilli(), PromptParts: true, ProvisionalBlocks: true, SharedExposure: true}
}

// hasBlocked reports whether any suspect may be blocked.
func (o *ownEvidence) hasBlocked() bool {
	t := o.table.Load()
	return t != nil && (t.HasBlocked() || len(t.Suspects) > 0 && o.isCommitLate())
}

// isCommitLate reports whether a report was not committed in time, or was not until lately.
func (o *ownEvidence) isCommitLate() bool {
	since := o.uncommittedSince.Load()
	return since > 0 && time.Since(time.UnixMilli(since)) >= commitTimeout
}

// committed records that the reports so far were committed. After a late commit the evidence remains in force for a while, in which the
// other boxes' reports of the same time are committed as well.
func (o *ownEvidence) committed(discard bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if !o.isCommitLate() {
		o.settle(discard)
		return
	}
	index := o.index
	time.AfterFunc(lateCommitGrace, func() {
		o.mu.Lock()
		defer o.mu.Unlock()
		if o.index == index { // otherwise a newer report is to be committed
			o.settle(discard)
		}
	})
}

// settle records that no report waits to be committed, and empties the table if the replicated one includes it.
func (o *ownEvidence) settle(discard bool) {
	o.uncommittedSince.Store(0)
	if discard {
		o.table.Store(nil)
	}
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
	if s == nil {
		return false
	}
	age := time.Since(time.UnixMilli(s.UnixMs))
	return s.Held && age < firstBlockDuration || !s.Served && s.Weight >= strongWeight && age < provisionalDuration && o.isCommitLate() // (18)
}

// blocksDefinitively reports whether a suspect is blocked, and not only provisionally or until its evidence is committed.
func (o *ownEvidence) blocksDefinitively(p Fingerprint, version string) bool {
	s := o.suspect(p, version)
	return s.GetHeld() && !IsProvisional(s) && o.blocks(p, version)
}

// dropBefore drops the suspects that have not changed since a time, in Unix milliseconds.
func (reg *Registry) dropBefore(unixMs int64) {
	for key, s := range reg.Suspects {
		if s.UnixMs < unixMs {
			reg.put(key, nil)
		}
	}
}
