package crasher_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"leverdrum/crasher"
	"leverdrum/internal/fixed"
	"leverdrum/wire"
)

func TestMain(m *testing.M) {
	fixed.Rapid(300)
	m.Run()
}

func fingerprintOf(n int) crasher.Fingerprint {
	return crasher.FingerprintOf(crasher.Content{Target: fmt.Sprint(n)})
}

// evidence returns evidence of a request whose server terminated at a time and that was sent shortly before.
func evidence(n int, server string, terminatedAt int64) *wire.CrashSign {
	p := fingerprintOf(n)
	return &wire.CrashSign{Print: p[:], Server: server, Version: "v1", SentMs: terminatedAt - 40, EndedMs: terminatedAt}
}

// testRegistry applies each report as a log entry of its own.
type testRegistry struct {
	crasher.Registry
	index uint64
	term  uint64
}

func newTestRegistry() *testRegistry { return &testRegistry{Registry: crasher.NewRegistry(), term: 1} }

func (r *testRegistry) apply(signs ...*wire.CrashSign) {
	r.index++
	r.Apply(&wire.CrashReport{Signs: signs}, crasher.CommitPosition{Index: r.index, Term: r.term})
}

func (r *testRegistry) applyFrom(box string, signs ...*wire.CrashSign) {
	r.index++
	r.Apply(&wire.CrashReport{Box: box, Signs: signs}, crasher.CommitPosition{Index: r.index, Term: r.term})
}

func (r *testRegistry) clear(n int) {
	p := fingerprintOf(n)
	r.index++
	r.Apply(&wire.CrashReport{Served: []*wire.ServedSuspect{{Print: p[:], Version: "v1"}}}, crasher.CommitPosition{Index: r.index, Term: r.term})
}

func (r *testRegistry) blocks(request int) bool { return r.Blocks(fingerprintOf(request), "v1") }

func TestBlockingRules(t *testing.T) {
	weak := func(s *wire.CrashSign) *wire.CrashSign { s.Weak = true; return s }
	for name, c := range map[string]struct {
		do      func(r *testRegistry)
		blocked bool
	}{
		"two consecutive terminations": {func(a *testRegistry) { a.apply(evidence(1, "a", 1000)); a.apply(evidence(1, "b", 2000)) }, false},
		"three consecutive terminations": {func(a *testRegistry) {
			a.apply(evidence(1, "a", 1000))
			a.apply(evidence(1, "b", 2000))
			a.apply(evidence(1, "c", 3000))
		}, true},
		"many servers that terminate at once": {func(a *testRegistry) {
			for i := range 9 {
				a.apply(evidence(1, fmt.Sprint(i), 1000+int64(i)))
			}
		}, false},
		"many in one report": {func(a *testRegistry) {
			a.apply(evidence(1, "a", 1000), evidence(1, "b", 1001), evidence(1, "c", 1002), evidence(1, "d", 1003))
		}, false},
		"four terminations after a long run": {func(a *testRegistry) {
			for i := range 4 {
				a.apply(weak(evidence(1, fmt.Sprint(i), int64(1000*i))))
			}
		}, false},
		"five terminations after a long run": {func(a *testRegistry) {
			for i := range 5 {
				a.apply(weak(evidence(1, fmt.Sprint(i), int64(1000*i))))
			}
		}, true},
		"answered in between": {func(a *testRegistry) {
			a.apply(evidence(1, "a", 1000))
			a.apply(evidence(1, "b", 2000))
			a.clear(1)
			a.apply(evidence(1, "c", 3000))
			a.apply(evidence(1, "d", 4000))
			a.apply(evidence(1, "e", 5000))
		}, false},
		"answered while blocked": {func(a *testRegistry) {
			for i := range 3 {
				a.apply(evidence(1, fmt.Sprint(i), int64(1000*i)))
			}
			a.clear(1)
		}, false},
		"retried immediately by one box whose reports are late": {func(a *testRegistry) {
			for i := range int64(3) { // by the leader's clock each termination is 50 ms late; the next attempt is sent 1 ms after it
				s := evidence(1, fmt.Sprint(i), 1000+100*i)
				s.SentHereMs, s.EndedHereMs, s.SentMs = 500+51*i, 550+51*i, 910+100*i
				a.applyFrom("box", s)
			}
		}, true},
		"at several servers that terminate at once, reported by one box": {func(a *testRegistry) {
			for i := range int64(5) { // by the leader's clock they are 100 ms apart
				s := evidence(1, fmt.Sprint(i), 1000+100*i)
				s.SentHereMs, s.EndedHereMs = 500+i, 550+i
				a.applyFrom("box", s)
			}
		}, false},
		"another request answered": {func(a *testRegistry) {
			for i := range 3 {
				a.apply(evidence(1, fmt.Sprint(i), int64(1000*i)))
			}
			a.clear(2)
		}, true},
		"across a leader change that resets the clock": {func(a *testRegistry) {
			a.apply(evidence(1, "a", 9000))
			a.apply(evidence(1, "b", 9900))
			a.term++
			a.apply(evidence(1, "c", 100))
		}, true},
		"one termination reported to two leaders": {func(a *testRegistry) {
			a.apply(evidence(1, "a", 9000))
			a.apply(evidence(1, "b", 9900))
			a.term++
			a.apply(evidence(1, "b", 100))
		}, false},
	} {
		a := newTestRegistry()
		c.do(a)
		NewWithT(t).Expect(a.blocks(1)).To(Equal(c.blocked), name)
	}
}

// A new version of the servers' software may have fixed the fault. One termination under it blocks the request.
func TestNewVersionBlockedAfterOneReport(t *testing.T) {
	g := NewWithT(t)
	r := newTestRegistry()
	for i := range 3 {
		r.apply(evidence(1, fmt.Sprint(i), int64(1000*i)))
	}
	g.Expect(r.Blocks(fingerprintOf(1), "v2")).To(BeFalse())
	again := evidence(1, "x", 9000)
	again.Version = "v2"
	r.apply(again)
	g.Expect(r.Blocks(fingerprintOf(1), "v2")).To(BeTrue())
}

// A released suspect is blocked again after one termination, for twice the time.
func TestBlockExpiresAndDoubles(t *testing.T) {
	g := NewWithT(t)
	r := newTestRegistry()
	for i := range 3 {
		r.apply(evidence(1, fmt.Sprint(i), int64(1000*i)))
	}
	key := crasher.Key{Fingerprint: fingerprintOf(1), Version: "v1"}
	first := crasher.TTL(r.Suspects[key])
	stale := &wire.Suspect{Print: key.Fingerprint[:], Version: "v1", Index: r.index - 1}
	r.Release(&wire.ReleaseSuspects{Suspects: []*wire.Suspect{stale}}, crasher.CommitPosition{Index: 100, Term: 1})
	g.Expect(r.blocks(1)).To(BeTrue(), "the suspect has changed since the release was requested")
	r.Release(&wire.ReleaseSuspects{Suspects: []*wire.Suspect{r.Suspects[key]}}, crasher.CommitPosition{Index: 101, Term: 1})
	g.Expect(r.blocks(1)).To(BeFalse())
	r.index = 101
	r.apply(evidence(1, "x", 9000))
	g.Expect(r.blocks(1)).To(BeTrue())
	g.Expect(crasher.TTL(r.Suspects[key])).To(Equal(2 * first))
}

// A caller that changes a byte each time neither fills the table nor evicts suspects that are blocked or have more
// weight.
func TestRegistryIsBounded(t *testing.T) {
	g := NewWithT(t)
	r := newTestRegistry()
	for i := range 3 {
		r.apply(evidence(0, fmt.Sprint(i), int64(1000*i)))
	}
	r.apply(evidence(1, "a", 1000))
	r.apply(evidence(1, "b", 2000))
	for n := 2; n < 6000; n++ {
		r.apply(evidence(n, fmt.Sprint("x", n), int64(3000+n)))
	}
	g.Expect(len(r.Suspects)).To(BeNumerically("<=", 4096))
	g.Expect(r.blocks(0)).To(BeTrue())
	g.Expect(r.Suspected(fingerprintOf(1), "v1")).To(BeTrue())
	r.apply(evidence(1, "c", 90000))
	g.Expect(r.blocks(1)).To(BeTrue())
}

// For any order of evidence, answers, releases and leader changes: a snapshot restores the table, the counts are
// correct, and no request is blocked that was answered in full after its newest evidence.
func TestRegistryInvariants(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		g := NewWithT(r)
		a := newTestRegistry()
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			n := rapid.IntRange(0, 4).Draw(r, "request")
			key := crasher.Key{Fingerprint: fingerprintOf(n), Version: "v1"}
			before := a.Registry
			was := len(before.Suspects)
			switch rapid.IntRange(0, 6).Draw(r, "what") {
			case 0:
				a.clear(n)
				g.Expect(a.blocks(n)).To(BeFalse())
			case 1:
				if s := a.Suspects[key]; s != nil {
					a.index++
					a.Release(&wire.ReleaseSuspects{Suspects: []*wire.Suspect{s}}, crasher.CommitPosition{Index: a.index, Term: a.term})
				}
			case 2:
				a.term++
			default:
				s := evidence(n, fmt.Sprint(rapid.IntRange(0, 5).Draw(r, "server")), rapid.Int64Range(0, 10_000).Draw(r, "ended"))
				s.Weak = rapid.Bool().Draw(r, "weak")
				a.apply(s)
			}
			g.Expect(before.Suspects).To(HaveLen(was), "a copy remains unchanged")
			blocked := 0
			for _, s := range a.Suspects {
				if s.Held {
					blocked++
				}
			}
			g.Expect(a.BlockedCount()).To(Equal(blocked))
			back := crasher.Decode(a.Encode())
			g.Expect(back.BlockedCount()).To(Equal(blocked))
			g.Expect(back.Encode()).To(HaveLen(len(a.Suspects)))
		}
	})
}
