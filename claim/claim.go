// Package claim ensures that a keyed call runs at most once. A claim is a write-once register, replicated on three boxes
// chosen by the key. A call is sent only after two of them granted its claim.
//
// Rules:
//
//  1. Each key maps to a slot. The holders of a slot in an epoch of the list of boxes are the three processes with the
//     highest hash of slot and process (rendezvous hashing), so that few slots change holders when the list changes. They
//     are in different data halls if there are enough of them. Draining processes hold no slots.
//  2. A holder grants a claim only in its current epoch, only when it is ready in that epoch, and only when it stores no
//     claim of another attempt under the key. It may repeat the grant to the same attempt.
//  3. An attempt may call once a majority of an epoch's holders granted its claim in that epoch. Two majorities share a
//     holder, so only one attempt per key calls.
//  4. When the epoch changes, a holder that remains one is ready in the new epoch at once. A new holder first transfers
//     the claims of the slot from a majority of the previous epoch's holders. Each of these must have been ready in that
//     epoch and must have left it, so that it grants nothing in it any more. So every majority of the new holders knows
//     every claim that was granted.
//  5. A process that restarts has lost its claims and counts as a different holder.
//  6. An attempt that has not called, and never will, releases its claim. The claim of an attempt that died is kept: the
//     outcome of its call is unknown.
//  7. Claims expire after TTL. A new holder that finds no majority to transfer claims from waits for TTL and is ready
//     then.
package claim

import (
	"bytes"
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// Slots is the number of slots.
	Slots = 64
	// holdersPerSlot is the number of holders of a slot (1).
	holdersPerSlot = 3
	// TTL is how long a claim and its result are kept (7). It is far above the deadline of every class. If all holders
	// of a slot are lost at once, its keys are refused for this duration.
	TTL = 5 * time.Minute
)

// Verdict is the kind of a holder's answer to a claim.
type Verdict string

// The kinds of a holder's answers.
const (
	// Granted: the holder stores the claim of this attempt.
	Granted Verdict = "granted"
	// Taken: another attempt has claimed the key. Its result is included if known.
	Taken Verdict = "taken"
	// OtherCall: the key was used with a different call.
	OtherCall Verdict = "other-call"
	// OtherEpoch: the caller and the holder are in different epochs.
	OtherEpoch Verdict = "other-epoch"
	// NotReady: the holder is still transferring the claims of the slot.
	NotReady Verdict = "not-ready"
)

// Result is the result of a claimed call.
type Result struct {
	// Outcome is done, failed or unknown.
	Outcome string
	Status  int
	Header  []byte
	Body    []byte
}

// Claim reserves a key for one attempt.
type Claim struct {
	Key     string
	Attempt string
	// Digest identifies the call by its method, path and body.
	Digest []byte
	// CreatedAt is when the claim was made, on the clock of the table that stores it.
	CreatedAt time.Duration
	Result    *Result
}

// Answer is a holder's answer to a claim.
type Answer struct {
	Verdict Verdict
	Epoch   uint64
	// Conflict is the existing claim that prevents the grant, for Taken and OtherCall.
	Conflict *Claim
}

// Process is one run of a box.
type Process struct {
	// ID is unique among all runs of all boxes.
	ID   string
	Hall string
}

// Epoch is one list of the processes that may hold slots.
type Epoch struct {
	Number    uint64
	Processes []Process
}

// SlotOf returns the slot of a key.
func SlotOf(key string) int { return int(xxhash.Sum64String(key) % Slots) }

// Holders returns the holders of a slot in an epoch (1).
func (e *Epoch) Holders(slot int) []string {
	type weighted struct {
		Process
		weight uint64
	}
	list := make([]weighted, 0, len(e.Processes))
	prefix := strconv.Itoa(slot) + "/"
	for _, p := range e.Processes {
		list = append(list, weighted{p, xxhash.Sum64String(prefix + p.ID)})
	}
	slices.SortFunc(list, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.ID, b.ID))
	})
	var holders, halls []string
	for _, sameHall := range []bool{false, true} {
		for _, w := range list {
			if len(holders) < holdersPerSlot && !slices.Contains(holders, w.ID) && slices.Contains(halls, w.Hall) == sameHall {
				holders, halls = append(holders, w.ID), append(halls, w.Hall)
			}
		}
	}
	return holders
}

// Majority returns how many of n holders must grant a claim.
func Majority(n int) int { return n/2 + 1 }

// slot is the part of a slot's state that one box stores.
type slot struct {
	claims map[string][]*Claim // by key
	// ready is the newest epoch in which this box was ready (2).
	ready uint64
	// pulled are the holders of the previous epoch whose claims were transferred.
	pulled map[string]bool
	// pulling is the epoch for which claims are being transferred.
	pulling       uint64
	pullStartedAt time.Duration // when the transfer began
}

// Table stores the claims of one box. It is not safe for concurrent use. Times are passed in by the caller, on one
// monotonic clock.
type Table struct {
	self   string
	epochs []Epoch // oldest first
	slots  [Slots]slot
}

// NewTable returns the table of a process.
func NewTable(self string) *Table {
	t := &Table{self: self}
	for i := range t.slots {
		t.slots[i].claims = map[string][]*Claim{}
	}
	return t
}

// Current returns the current epoch of the box, or nil before the first.
func (t *Table) Current() *Epoch {
	if len(t.epochs) == 0 {
		return nil
	}
	return &t.epochs[len(t.epochs)-1]
}

func (t *Table) epoch(number uint64) *Epoch {
	for i := range t.epochs {
		if t.epochs[i].Number == number {
			return &t.epochs[i]
		}
	}
	return nil
}

// AdvanceEpoch sets the newest epochs, oldest first, and makes the last one current. It ignores lists that do not end in
// a newer epoch than the current one.
func (t *Table) AdvanceEpoch(now time.Duration, epochs []Epoch) {
	if len(epochs) == 0 || t.Current() != nil && epochs[len(epochs)-1].Number <= t.Current().Number {
		return
	}
	before := uint64(0)
	if c := t.Current(); c != nil {
		before = c.Number
	}
	t.epochs = epochs
	for s := range t.slots {
		for _, e := range epochs {
			if e.Number > before {
				t.advanceSlot(now, s, e.Number)
			}
		}
	}
}

// advanceSlot handles a change of the epoch for one slot: a holder that was ready in the previous
// epoch is ready at once, and a new one starts to transfer the slot's claims (4).
func (t *Table) advanceSlot(now time.Duration, s int, to uint64) {
	sl := &t.slots[s]
	if !slices.Contains(t.epoch(to).Holders(s), t.self) {
		return
	}
	previous := t.epoch(to - 1)
	wasHolder := previous != nil && slices.Contains(previous.Holders(s), t.self)
	switch {
	case to == 1, wasHolder && sl.ready == to-1:
		sl.ready = to
		return
	case wasHolder && sl.pulling > sl.ready:
		return // becomeReady continues from the epoch being transferred
	}
	sl.pulling, sl.pulled, sl.pullStartedAt = to, map[string]bool{}, now
}

// Holds reports whether the box currently holds the slot, and whether it is ready (2).
func (t *Table) Holds(s int) (holder, ready bool) {
	c := t.Current()
	if c == nil || !slices.Contains(c.Holders(s), t.self) {
		return false, false
	}
	return true, t.slots[s].ready == c.Number
}

// Acquire answers an attempt's claim (2).
func (t *Table) Acquire(now time.Duration, key, attempt string, digest []byte, epoch uint64) Answer {
	c := t.Current()
	if c == nil || c.Number != epoch {
		return Answer{Verdict: OtherEpoch, Epoch: epochNumber(c)}
	}
	s := SlotOf(key)
	if _, ready := t.Holds(s); !ready {
		return Answer{Verdict: NotReady, Epoch: c.Number}
	}
	existing := t.unexpired(now, s, key)
	for _, other := range existing {
		switch {
		case !bytes.Equal(other.Digest, digest):
			return Answer{Verdict: OtherCall, Epoch: c.Number, Conflict: other}
		case other.Attempt != attempt:
			return Answer{Verdict: Taken, Epoch: c.Number, Conflict: t.mostInformative(now, s, key)}
		}
	}
	if len(existing) == 0 {
		t.slots[s].claims[key] = []*Claim{{Key: key, Attempt: attempt, Digest: digest, CreatedAt: now}}
	}
	return Answer{Verdict: Granted, Epoch: c.Number}
}

func epochNumber(e *Epoch) uint64 {
	if e == nil {
		return 0
	}
	return e.Number
}

// unexpired returns the claims under a key that have not expired (7), and deletes the others.
func (t *Table) unexpired(now time.Duration, s int, key string) []*Claim {
	list := slices.DeleteFunc(t.slots[s].claims[key], func(c *Claim) bool { return now-c.CreatedAt > TTL })
	if len(list) == 0 {
		delete(t.slots[s].claims, key)
		return nil
	}
	t.slots[s].claims[key] = list
	return list
}

// mostInformative returns a claim with a result if there is one, and any claim otherwise.
func (t *Table) mostInformative(now time.Duration, s int, key string) *Claim {
	list := t.unexpired(now, s, key)
	for _, c := range list {
		if c.Result != nil {
			return c
		}
	}
	return list[0]
}

// Release deletes the claim of an attempt that has not called (6).
func (t *Table) Release(key, attempt string) {
	s := SlotOf(key)
	t.slots[s].claims[key] = slices.DeleteFunc(t.slots[s].claims[key], func(c *Claim) bool {
		return c.Attempt == attempt && c.Result == nil
	})
	if len(t.slots[s].claims[key]) == 0 {
		delete(t.slots[s].claims, key)
	}
}

// RecordResult stores the result of an attempt's call for later callers with the same key.
func (t *Table) RecordResult(now time.Duration, key, attempt string, digest []byte, r *Result) {
	s := SlotOf(key)
	for i, c := range t.slots[s].claims[key] {
		if c.Attempt == attempt {
			done := *c
			done.Result = r
			t.slots[s].claims[key][i] = &done
			return
		}
	}
	t.slots[s].claims[key] = append(t.slots[s].claims[key], &Claim{Key: key, Attempt: attempt, Digest: digest, CreatedAt: now, Result: r})
}

// Pull requests the claims of a slot from the holders of an earlier epoch.
type Pull struct {
	Slot  int
	Epoch uint64 // the epoch in which the requested boxes were holders
	From  []string
}

// PendingPulls returns the transfers that this box still has to request, and ends the waits of rule 7.
func (t *Table) PendingPulls(now time.Duration) []Pull {
	var list []Pull
	for s := range t.slots {
		sl := &t.slots[s]
		if sl.pulling == 0 || sl.ready >= sl.pulling {
			continue
		}
		if now-sl.pullStartedAt > TTL { // (7)
			t.becomeReady(s)
			continue
		}
		previous := t.epoch(sl.pulling - 1)
		if previous == nil {
			continue
		}
		from := slices.DeleteFunc(previous.Holders(s), func(p string) bool { return sl.pulled[p] || p == t.self })
		list = append(list, Pull{s, previous.Number, from})
	}
	return list
}

// ExportClaims answers a pull with the claims of a slot. It returns false if this box was not ready in that epoch or is
// still in it (4).
func (t *Table) ExportClaims(now time.Duration, s int, epoch uint64) ([]*Claim, bool) {
	if s < 0 || s >= Slots || epochNumber(t.Current()) <= epoch || t.slots[s].ready < epoch {
		return nil, false
	}
	var list []*Claim
	for key := range t.slots[s].claims {
		list = append(list, t.unexpired(now, s, key)...)
	}
	return list, true
}

// ImportClaims adds the claims received from a holder of the previous epoch (4). Their CreatedAt must be on this box's
// clock.
func (t *Table) ImportClaims(s int, epoch uint64, from string, claims []*Claim) {
	sl := &t.slots[s]
	previous := t.epoch(epoch)
	if sl.pulling != epoch+1 || previous == nil || !slices.Contains(previous.Holders(s), from) {
		return
	}
	for _, c := range claims {
		sl.add(c)
	}
	sl.pulled[from] = true
	if len(sl.pulled) >= Majority(len(previous.Holders(s))) {
		t.becomeReady(s)
	}
}

// add merges a claim: claims of different attempts are kept side by side, and a known result is never overwritten.
func (sl *slot) add(c *Claim) {
	for i, old := range sl.claims[c.Key] {
		if old.Attempt != c.Attempt {
			continue
		}
		if old.Result == nil {
			sl.claims[c.Key][i] = c
		}
		return
	}
	sl.claims[c.Key] = append(sl.claims[c.Key], c)
}

// becomeReady ends a transfer, and continues through later epochs in which the box remained a holder.
func (t *Table) becomeReady(s int) {
	sl := &t.slots[s]
	sl.ready = sl.pulling
	for {
		next := t.epoch(sl.ready + 1)
		if next == nil || !slices.Contains(next.Holders(s), t.self) {
			return
		}
		sl.ready = next.Number
	}
}

// Sweep deletes expired claims and returns the number of the remaining ones.
func (t *Table) Sweep(now time.Duration) int {
	count := 0
	for s := range t.slots {
		for key := range t.slots[s].claims {
			count += len(t.unexpired(now, s, key))
		}
	}
	return count
}
