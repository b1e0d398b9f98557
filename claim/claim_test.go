package claim_test

import (
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"leverdrum/claim"
	"leverdrum/internal/fixed"
)

func TestMain(m *testing.M) {
	fixed.SetRapidFlags(150)
	os.Exit(m.Run())
}

// attempt is one arrival of a keyed call at a box.
type attempt struct {
	name, key string
	epoch     uint64 // epoch of the grants
	grants    map[string]bool
	ended     bool
}

// simulation is a set of boxes that learn of new epochs at different times.
type simulation struct {
	t        *rapid.T
	now      time.Duration
	tables   map[string]*claim.Table // by process
	boxes    []string                // box to its process
	epochs   []claim.Epoch
	attempts []*attempt
	calls    map[string]string // key to the attempt that called
	calledAt map[string]time.Duration
	count    int
	called   int
}

const maxEpochs = 12

func (w *simulation) publish() {
	var list []claim.Process
	for i, p := range w.boxes {
		if p != "" {
			list = append(list, claim.Process{ID: p, Hall: fmt.Sprint("hall", i%3)})
		}
	}
	w.epochs = append(w.epochs, claim.Epoch{Number: uint64(len(w.epochs) + 1), Processes: list})
}

func (w *simulation) newest() []claim.Epoch {
	return slices.Clone(w.epochs[max(0, len(w.epochs)-maxEpochs):])
}

// restart gives a box a new process. The list of boxes shows it at once, or after the old process was removed.
func (w *simulation) restart(i int) {
	if w.boxes[i] != "" {
		delete(w.tables, w.boxes[i])
	}
	w.count++
	w.boxes[i] = fmt.Sprintf("box%d/%d", i, w.count)
	w.tables[w.boxes[i]] = claim.NewTable(w.boxes[i])
	w.publish()
}

func (w *simulation) box(label string) string {
	return rapid.SampledFrom(slices.DeleteFunc(slices.Clone(w.boxes), func(p string) bool { return p == "" })).Draw(w.t, label)
}

// acquire sends an attempt's claim to one holder of the epoch that some box is in.
func (w *simulation) acquire(a *attempt) {
	c := w.tables[w.box("asker")].Current()
	if c == nil || a.ended {
		return
	}
	if c.Number != a.epoch {
		a.epoch, a.grants = c.Number, map[string]bool{}
	}
	holders := c.Holders(claim.SlotOf(a.key))
	h := rapid.SampledFrom(holders).Draw(w.t, "holder")
	table := w.tables[h]
	if table == nil {
		return
	}
	if answer := table.Acquire(w.now, a.key, a.name, []byte("call"), a.epoch); answer.Verdict == claim.Granted {
		a.grants[h] = true
	}
	if len(a.grants) >= claim.Majority(len(holders)) {
		a.ended = true
		w.call(a, holders)
	}
}

// call checks that each key is called at most once during the TTL of its claim.
func (w *simulation) call(a *attempt, holders []string) {
	if other, ok := w.calls[a.key]; ok && w.now-w.calledAt[a.key] <= claim.TTL {
		w.t.Fatalf("key %s was called by %s and by %s", a.key, other, a.name)
	}
	w.calls[a.key], w.calledAt[a.key] = a.name, w.now
	w.called++
	if rapid.Bool().Draw(w.t, "answered") {
		for _, h := range holders {
			if table := w.tables[h]; table != nil {
				table.RecordResult(w.now, a.key, a.name, []byte("call"), &claim.Result{Outcome: "done", Body: []byte(a.name)})
			}
		}
	}
}

// pull transfers claims of one slot from one holder to a box.
func (w *simulation) pull(process string) {
	table := w.tables[process]
	pulls := table.PendingPulls(w.now)
	if len(pulls) == 0 {
		return
	}
	p := rapid.SampledFrom(pulls).Draw(w.t, "pull")
	if len(p.From) == 0 {
		return
	}
	w.transfer(table, p, rapid.SampledFrom(p.From).Draw(w.t, "from"))
}

func (w *simulation) transfer(table *claim.Table, p claim.Pull, from string) {
	if source := w.tables[from]; source != nil {
		if claims, ok := source.ExportClaims(w.now, p.Slot, p.Epoch); ok {
			table.ImportClaims(p.Slot, p.Epoch, from, claims)
		}
	}
}

func (w *simulation) settle() {
	for range 3 {
		for _, p := range w.boxes {
			if p == "" {
				continue
			}
			w.tables[p].AdvanceEpoch(w.now, w.newest())
			for _, pull := range w.tables[p].PendingPulls(w.now) {
				for _, from := range pull.From {
					w.transfer(w.tables[p], pull, from)
				}
			}
		}
	}
}

func (w *simulation) step() {
	switch rapid.IntRange(0, 13).Draw(w.t, "action") {
	case 0:
		w.count++
		key := fmt.Sprint("key", rapid.IntRange(0, 15).Draw(w.t, "key"))
		w.attempts = append(w.attempts, &attempt{name: fmt.Sprint("attempt", w.count), key: key})
	case 1, 2, 3, 4, 5, 6:
		if len(w.attempts) > 0 {
			w.acquire(rapid.SampledFrom(w.attempts[max(0, len(w.attempts)-8):]).Draw(w.t, "attempt"))
		}
	case 7, 8:
		w.tables[w.box("entering")].AdvanceEpoch(w.now, w.newest())
	case 9:
		w.pull(w.box("pulling"))
	case 10:
		w.settle()
	case 11:
		if rapid.IntRange(0, 2).Draw(w.t, "rarely") == 0 {
			w.restart(rapid.IntRange(0, len(w.boxes)-1).Draw(w.t, "restarted"))
		}
	case 12:
		if len(w.attempts) > 0 {
			if a := rapid.SampledFrom(w.attempts).Draw(w.t, "released"); !a.ended {
				a.ended = true
				for _, table := range w.tables {
					table.Release(a.key, a.name)
				}
			}
		}
	case 13:
		w.now += time.Duration(rapid.IntRange(0, int(claim.TTL/20)).Draw(w.t, "later"))
	}
}

// TestAtMostOneCallPerKey runs concurrent attempts at few keys on boxes that restart and learn of restarts at different
// times.
func TestAtMostOneCallPerKey(t *testing.T) {
	called := 0
	rapid.Check(t, func(rt *rapid.T) {
		w := &simulation{t: rt, tables: map[string]*claim.Table{}, boxes: make([]string, 5), calls: map[string]string{}, calledAt: map[string]time.Duration{}}
		for i := range w.boxes {
			w.restart(i)
			w.settle()
		}
		for range 1500 {
			w.step()
		}
		called += w.called
	})
	NewWithT(t).Expect(called).To(BeNumerically(">", 500), "the test is meaningless if few attempts reach their call")
}

// TestRollingRestartKeepsClaims restarts all boxes one after another: the claim and its result must survive every box
// that stored it first.
func TestRollingRestartKeepsClaims(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		g := NewWithT(rt)
		w := &simulation{t: rt, tables: map[string]*claim.Table{}, boxes: make([]string, 5), calls: map[string]string{}, calledAt: map[string]time.Duration{}}
		for i := range w.boxes {
			w.restart(i)
			w.settle()
		}
		key := rapid.String().Draw(rt, "key")
		acquire := func(attempt string) (granted int, result *claim.Result) {
			c := w.tables[w.boxes[0]].Current()
			for _, h := range c.Holders(claim.SlotOf(key)) {
				a := w.tables[h].Acquire(w.now, key, attempt, []byte("call"), c.Number)
				if a.Verdict == claim.Granted {
					granted++
					w.tables[h].RecordResult(w.now, key, attempt, []byte("call"), &claim.Result{Body: []byte(attempt)})
				} else if a.Conflict != nil {
					result = a.Conflict.Result
				}
			}
			return granted, result
		}
		granted, _ := acquire("first")
		g.Expect(granted).To(Equal(3))
		for i := range w.boxes {
			// A planned stop removes the box from the list while the box still answers.
			old := w.boxes[i]
			w.boxes[i] = ""
			w.publish()
			w.tables[old].AdvanceEpoch(w.now, w.newest())
			w.settle()
			w.restart(i)
			delete(w.tables, old)
			w.settle()
		}
		granted, result := acquire("second")
		g.Expect(granted).To(BeZero())
		g.Expect(string(result.Body)).To(Equal("first"))
	})
}

func TestAcquireVerdicts(t *testing.T) {
	g := NewWithT(t)
	one := claim.Epoch{Number: 1, Processes: []claim.Process{{ID: "a"}}}
	table := claim.NewTable("a")
	g.Expect(table.Acquire(0, "k", "x", nil, 1).Verdict).To(Equal(claim.OtherEpoch))
	table.AdvanceEpoch(0, []claim.Epoch{one})
	g.Expect(table.Acquire(0, "k", "x", []byte("d"), 2).Verdict).To(Equal(claim.OtherEpoch))
	g.Expect(table.Acquire(0, "k", "x", []byte("d"), 1).Verdict).To(Equal(claim.Granted))
	g.Expect(table.Acquire(0, "k", "x", []byte("d"), 1).Verdict).To(Equal(claim.Granted), "the same attempt may claim again")
	g.Expect(table.Acquire(0, "k", "y", []byte("d"), 1).Verdict).To(Equal(claim.Taken))
	g.Expect(table.Acquire(0, "k", "y", []byte("e"), 1).Verdict).To(Equal(claim.OtherCall))
	table.Release("k", "x")
	g.Expect(table.Acquire(0, "k", "y", []byte("e"), 1).Verdict).To(Equal(claim.Granted))
	table.RecordResult(0, "k", "y", []byte("e"), &claim.Result{Status: 200})
	table.Release("k", "y")
	a := table.Acquire(claim.TTL, "k", "z", []byte("e"), 1)
	g.Expect(a.Verdict).To(Equal(claim.Taken), "a claim with a result is not released")
	g.Expect(a.Conflict.Result.Status).To(Equal(200))
	g.Expect(table.Acquire(claim.TTL+1, "k", "z", []byte("e"), 1).Verdict).To(Equal(claim.Granted), "the claim expires (7)")
}

// TestLostSlotWaitsForTTL loses all holders at once: the next holders must grant nothing until every lost claim has
// expired.
func TestLostSlotWaitsForTTL(t *testing.T) {
	g := NewWithT(t)
	epochs := []claim.Epoch{{Number: 1, Processes: []claim.Process{{ID: "a"}}}, {Number: 2, Processes: []claim.Process{{ID: "b"}}}}
	table := claim.NewTable("b")
	table.AdvanceEpoch(0, epochs)
	g.Expect(table.PendingPulls(claim.TTL)).To(HaveLen(claim.Slots))
	g.Expect(table.Acquire(claim.TTL, "k", "x", nil, 2).Verdict).To(Equal(claim.NotReady))
	g.Expect(table.PendingPulls(claim.TTL + 1)).To(BeEmpty())
	g.Expect(table.Acquire(claim.TTL+1, "k", "x", nil, 2).Verdict).To(Equal(claim.Granted))
}

func TestExportClaimsRequiresLaterEpoch(t *testing.T) {
	g := NewWithT(t)
	one := claim.Epoch{Number: 1, Processes: []claim.Process{{ID: "a"}}}
	table := claim.NewTable("a")
	table.AdvanceEpoch(0, []claim.Epoch{one})
	_, ok := table.ExportClaims(0, 0, 1)
	g.Expect(ok).To(BeFalse(), "the table may still grant in epoch 1 (4)")
	table.AdvanceEpoch(0, []claim.Epoch{one, {Number: 2, Processes: []claim.Process{{ID: "b"}}}})
	_, ok = table.ExportClaims(0, 0, 1)
	g.Expect(ok).To(BeTrue())
}
