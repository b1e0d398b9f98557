// Package claim guards keyed calls that may run at most once. A claim is a
// write-once register on three boxes that the key chooses; a call goes out only
// once two of them have granted it.
//
// Rules:
//
//  1. Keys fall into slots. A slot's holders in an epoch of the list of boxes
//     are the three processes with the highest hash of slot and process
//     (rendezvous), so that few slots change holders when the list changes;
//     they stand in different data halls as far as there are any. Processes
//     that leave hold nothing.
//  2. A holder grants a claim only in the epoch that it is in, only when it is
//     ready in it, and only when it holds no claim of another attempt under the
//     key. It may then repeat the grant to the same attempt.
//  3. An attempt may call once a majority of an epoch's holders granted it in
//     that epoch. Two majorities share a holder, so one attempt a key calls.
//  4. When the epoch changes, a holder that stays is ready in the new one at
//     once. A new holder first takes over the slot from a majority of the
//     holders of the epoch before, each of which was ready then and has left
//     that epoch, so that it grants nothing in it any more. So each majority
//     of the new holders knows every claim that was granted.
//  5. A process that restarts has lost its claims; it is another holder.
//  6. An attempt that has not called and never will releases its claim. A claim
//     whose attempt died stays: what became of the call is unknown.
//  7. Claims end by age. A new holder that finds no majority to take over from
//     waits for that age and is ready then.
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
	// Slots is the count of slots.
	Slots = 64
	// holdersPerSlot is how many boxes guard a slot (1).
	holdersPerSlot = 3
	// TTL is how long a claim and its answer are kept (7). It is far above the
	// deadline of any class. After all holders of a slot were lost at once, its
	// keys are refused for so long.
	TTL = 5 * time.Minute
)

// Verdict is a holder's word on a claim.
type Verdict string

// The verdicts.
const (
	// Granted: the holder guards the key for this attempt.
	Granted Verdict = "granted"
	// Taken: another attempt holds the key; its result comes along if known.
	Taken Verdict = "taken"
	// OtherCall: the key was used with another call.
	OtherCall Verdict = "other-call"
	// OtherEpoch: the asker has another list of boxes than the holder.
	OtherEpoch Verdict = "other-epoch"
	// NotReady: the holder is still taking the slot over.
	NotReady Verdict = "not-ready"
)

// Result is how a claimed call ended.
type Result struct {
	// Outcome is done, failed or unknown.
	Outcome string
	Status  int
	Header  []byte
	Body    []byte
}

// Claim is one attempt's hold on a key.
type Claim struct {
	Key     string
	Attempt string
	// Digest names the call: its method, path and body.
	Digest []byte
	// CreatedAt is when the claim was made, on the clock of the table that holds it.
	CreatedAt time.Duration
	Result    *Result
}

// Answer is a holder's answer to a claim.
type Answer struct {
	Verdict Verdict
	Epoch   uint64
	// Conflict is the claim that stands against it, for Taken and OtherCall.
	Conflict *Claim
}

// Process is one run of a box.
type Process struct {
	// ID is unlike that of all other runs of all boxes.
	ID   string
	Hall string
}

// Epoch is one list of the processes that may hold claims.
type Epoch struct {
	Number    uint64
	Processes []Process
}

// SlotOf returns the slot of a key.
func SlotOf(key string) int { return int(xxhash.Sum64String(key) % Slots) }

// Holders returns the holders of a slot in an epoch (1).
func (e *Epoch) Holders(slot int) []string {
	type weighed struct {
		Process
		weight uint64
	}
	list := make([]weighed, 0, len(e.Processes))
	prefix := strconv.Itoa(slot) + "/"
	for _, p := range e.Processes {
		list = append(list, weighed{p, xxhash.Sum64String(prefix + p.ID)})
	}
	slices.SortFunc(list, func(a, b weighed) int {
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

// Majority returns how many of n holders must grant.
func Majority(n int) int { return n/2 + 1 }

// slot is what one box holds of a slot.
type slot struct {
	claims map[string][]*Claim // by key
	// ready is the newest epoch in which this box was ready (2).
	ready uint64
	// pulled are the holders of the epoch before that have handed over.
	pulled map[string]bool
	// pulling is the epoch that the handing over is for.
	pulling uint64
	since   time.Duration // when the pulling began
}

// Table is one box's claims. It is not safe for concurrent use; time is passed
// in, on one monotonic clock.
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

// Current returns the epoch that the box is in, nil before the first.
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

// AdvanceEpoch takes over the newest epochs, oldest first, the last of which is the
// one to be in. It never goes back.
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
				t.step(now, s, e.Number)
			}
		}
	}
}

// step is rule 4 for one slot and one change.
func (t *Table) step(now time.Duration, s int, to uint64) {
	sl := &t.slots[s]
	if !slices.Contains(t.epoch(to).Holders(s), t.self) {
		return
	}
	previous := t.epoch(to - 1)
	was := previous != nil && slices.Contains(previous.Holders(s), t.self)
	switch {
	case to == 1, was && sl.ready == to-1:
		sl.ready = to
		return
	case was && sl.pulling > sl.ready:
		return // becomeReady goes on from the epoch that is being pulled for
	}
	sl.pulling, sl.pulled, sl.since = to, map[string]bool{}, now
}

// Holds reports whether the box is a holder of the slot now, and ready (2).
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
		return Answer{Verdict: OtherEpoch, Epoch: numberOf(c)}
	}
	s := SlotOf(key)
	if _, ready := t.Holds(s); !ready {
		return Answer{Verdict: NotReady, Epoch: c.Number}
	}
	standing := t.live(now, s, key)
	for _, other := range standing {
		switch {
		case !bytes.Equal(other.Digest, digest):
			return Answer{Verdict: OtherCall, Epoch: c.Number, Conflict: other}
		case other.Attempt != attempt:
			return Answer{Verdict: Taken, Epoch: c.Number, Conflict: t.best(now, s, key)}
		}
	}
	if len(standing) == 0 {
		t.slots[s].claims[key] = []*Claim{{Key: key, Attempt: attempt, Digest: digest, CreatedAt: now}}
	}
	return Answer{Verdict: Granted, Epoch: c.Number}
}

func numberOf(e *Epoch) uint64 {
	if e == nil {
		return 0
	}
	return e.Number
}

// live returns the claims under a key that have not ended by age (7).
func (t *Table) live(now time.Duration, s int, key string) []*Claim {
	list := slices.DeleteFunc(t.slots[s].claims[key], func(c *Claim) bool { return now-c.CreatedAt > TTL })
	if len(list) == 0 {
		delete(t.slots[s].claims, key)
		return nil
	}
	t.slots[s].claims[key] = list
	return list
}

// best returns the claim that tells most: one with a result.
func (t *Table) best(now time.Duration, s int, key string) *Claim {
	list := t.live(now, s, key)
	for _, c := range list {
		if c.Result != nil {
			return c
		}
	}
	return list[0]
}

// Release drops an attempt's claim that has not called (6).
func (t *Table) Release(key, attempt string) {
	s := SlotOf(key)
	t.slots[s].claims[key] = slices.DeleteFunc(t.slots[s].claims[key], func(c *Claim) bool {
		return c.Attempt == attempt && c.Result == nil
	})
	if len(t.slots[s].claims[key]) == 0 {
		delete(t.slots[s].claims, key)
	}
}

// RecordResult keeps how an attempt's call ended, for those who ask later.
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

// Pull is a request for what a holder of an earlier epoch knows of a slot.
type Pull struct {
	Slot  int
	Epoch uint64 // in which the asked box was a holder
	From  []string
}

// PendingPulls returns what this box still has to ask for, and ends the waits of rule 7.
func (t *Table) PendingPulls(now time.Duration) []Pull {
	var list []Pull
	for s := range t.slots {
		sl := &t.slots[s]
		if sl.pulling == 0 || sl.ready >= sl.pulling {
			continue
		}
		if now-sl.since > TTL { // (7)
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

// ExportClaims answers a pull: the claims of a slot, or false when this box was not
// ready in that epoch or is still in it (4).
func (t *Table) ExportClaims(now time.Duration, s int, epoch uint64) ([]*Claim, bool) {
	if s < 0 || s >= Slots || numberOf(t.Current()) <= epoch || t.slots[s].ready < epoch {
		return nil, false
	}
	var list []*Claim
	for key := range t.slots[s].claims {
		list = append(list, t.live(now, s, key)...)
	}
	return list, true
}

// ImportClaims adds what a holder of the epoch before handed over (4). The claims'
// Began is on this box's clock.
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

// add merges a claim: attempts stand beside each other, and a known result is
// kept.
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

// becomeReady ends the pulling, and goes on through later epochs in which the
// box stayed a holder.
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

// Sweep drops claims that ended by age, and returns how many are left.
func (t *Table) Sweep(now time.Duration) int {
	count := 0
	for s := range t.slots {
		for key := range t.slots[s].claims {
			count += len(t.live(now, s, key))
		}
	}
	return count
}
