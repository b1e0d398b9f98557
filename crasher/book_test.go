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

func printOf(n int) crasher.Fingerprint {
	return crasher.FingerprintOf(crasher.Content{Target: fmt.Sprint(n)})
}

// sign is one of a request whose server ended at a time, sent shortly before.
func sign(n int, server string, ended int64) *wire.CrashSign {
	p := printOf(n)
	return &wire.CrashSign{Print: p[:], Server: server, Version: "v1", SentMs: ended - 40, EndedMs: ended}
}

// agreement takes reports over, each as an entry of its own.
type agreement struct {
	crasher.Registry
	index uint64
	term  uint64
}

func newAgreement() *agreement { return &agreement{Registry: crasher.NewRegistry(), term: 1} }

func (a *agreement) take(signs ...*wire.CrashSign) {
	a.index++
	a.Apply(&wire.CrashReport{Signs: signs}, crasher.CommitPosition{Index: a.index, Term: a.term})
}

func (a *agreement) takeFrom(box string, signs ...*wire.CrashSign) {
	a.index++
	a.Apply(&wire.CrashReport{Box: box, Signs: signs}, crasher.CommitPosition{Index: a.index, Term: a.term})
}

func (a *agreement) clear(n int) {
	p := printOf(n)
	a.index++
	a.Apply(&wire.CrashReport{Served: []*wire.ServedSuspect{{Print: p[:], Version: "v1"}}}, crasher.CommitPosition{Index: a.index, Term: a.term})
}

func (a *agreement) holds(n int) bool { return a.Blocks(printOf(n), "v1") }

func TestWhoIsHeld(t *testing.T) {
	weak := func(s *wire.CrashSign) *wire.CrashSign { s.Weak = true; return s }
	for name, c := range map[string]struct {
		do   func(a *agreement)
		held bool
	}{
		"two ends in a row": {func(a *agreement) { a.take(sign(1, "a", 1000)); a.take(sign(1, "b", 2000)) }, false},
		"three ends in a row": {func(a *agreement) {
			a.take(sign(1, "a", 1000))
			a.take(sign(1, "b", 2000))
			a.take(sign(1, "c", 3000))
		}, true},
		"many servers that end at once": {func(a *agreement) {
			for i := range 9 {
				a.take(sign(1, fmt.Sprint(i), 1000+int64(i)))
			}
		}, false},
		"many in one report": {func(a *agreement) {
			a.take(sign(1, "a", 1000), sign(1, "b", 1001), sign(1, "c", 1002), sign(1, "d", 1003))
		}, false},
		"ends while it ran for long": {func(a *agreement) {
			for i := range 4 {
				a.take(weak(sign(1, fmt.Sprint(i), int64(1000*i))))
			}
		}, false},
		"five ends while it ran for long": {func(a *agreement) {
			for i := range 5 {
				a.take(weak(sign(1, fmt.Sprint(i), int64(1000*i))))
			}
		}, true},
		"answered between": {func(a *agreement) {
			a.take(sign(1, "a", 1000))
			a.take(sign(1, "b", 2000))
			a.clear(1)
			a.take(sign(1, "c", 3000))
			a.take(sign(1, "d", 4000))
			a.take(sign(1, "e", 5000))
		}, false},
		"answered once it was held": {func(a *agreement) {
			for i := range 3 {
				a.take(sign(1, fmt.Sprint(i), int64(1000*i)))
			}
			a.clear(1)
		}, false},
		"sent on at once by one box, whose reports came late": {func(a *agreement) {
			for i := range int64(3) { // the leader's clock has each end 50 ms late; the next sending left 1 ms after it
				s := sign(1, fmt.Sprint(i), 1000+100*i)
				s.SentHereMs, s.EndedHereMs, s.SentMs = 500+51*i, 550+51*i, 910+100*i
				a.takeFrom("box", s)
			}
		}, true},
		"at two servers of one box that ended at once": {func(a *agreement) {
			for i := range int64(5) { // the leader's clock has them apart
				s := sign(1, fmt.Sprint(i), 1000+100*i)
				s.SentHereMs, s.EndedHereMs = 500+i, 550+i
				a.takeFrom("box", s)
			}
		}, false},
		"another request answered": {func(a *agreement) {
			for i := range 3 {
				a.take(sign(1, fmt.Sprint(i), int64(1000*i)))
			}
			a.clear(2)
		}, true},
		"through a change of leader, whose clock begins anew": {func(a *agreement) {
			a.take(sign(1, "a", 9000))
			a.take(sign(1, "b", 9900))
			a.term++
			a.take(sign(1, "c", 100))
		}, true},
		"one end told to two leaders": {func(a *agreement) {
			a.take(sign(1, "a", 9000))
			a.take(sign(1, "b", 9900))
			a.term++
			a.take(sign(1, "b", 100))
		}, false},
	} {
		a := newAgreement()
		c.do(a)
		NewWithT(t).Expect(a.holds(1)).To(Equal(c.held), name)
	}
}

// A new version of the servers' software may have mended the fault: one end under it tells.
func TestAnotherVersionGetsOneTry(t *testing.T) {
	g := NewWithT(t)
	a := newAgreement()
	for i := range 3 {
		a.take(sign(1, fmt.Sprint(i), int64(1000*i)))
	}
	g.Expect(a.Blocks(printOf(1), "v2")).To(BeFalse())
	again := sign(1, "x", 9000)
	again.Version = "v2"
	a.take(again)
	g.Expect(a.Blocks(printOf(1), "v2")).To(BeTrue())
}

// Who is let go is held again after one end, and for twice the time.
func TestHoldsEndAndDouble(t *testing.T) {
	g := NewWithT(t)
	a := newAgreement()
	for i := range 3 {
		a.take(sign(1, fmt.Sprint(i), int64(1000*i)))
	}
	key := crasher.Key{Fingerprint: printOf(1), Version: "v1"}
	first := crasher.TTL(a.Suspects[key])
	stale := &wire.Suspect{Print: key.Fingerprint[:], Version: "v1", Index: a.index - 1}
	a.Release(&wire.ReleaseSuspects{Suspects: []*wire.Suspect{stale}}, crasher.CommitPosition{Index: 100, Term: 1})
	g.Expect(a.holds(1)).To(BeTrue(), "it has changed since")
	a.Release(&wire.ReleaseSuspects{Suspects: []*wire.Suspect{a.Suspects[key]}}, crasher.CommitPosition{Index: 101, Term: 1})
	g.Expect(a.holds(1)).To(BeFalse())
	a.index = 101
	a.take(sign(1, "x", 9000))
	g.Expect(a.holds(1)).To(BeTrue())
	g.Expect(crasher.TTL(a.Suspects[key])).To(Equal(2 * first))
}

// A caller that changes a byte each time neither fills the table nor pushes out who is held or heavier.
func TestTheTableIsBounded(t *testing.T) {
	g := NewWithT(t)
	a := newAgreement()
	for i := range 3 {
		a.take(sign(0, fmt.Sprint(i), int64(1000*i)))
	}
	a.take(sign(1, "a", 1000))
	a.take(sign(1, "b", 2000))
	for n := 2; n < 6000; n++ {
		a.take(sign(n, fmt.Sprint("x", n), int64(3000+n)))
	}
	g.Expect(len(a.Suspects)).To(BeNumerically("<=", 4096))
	g.Expect(a.holds(0)).To(BeTrue())
	g.Expect(a.Suspected(printOf(1), "v1")).To(BeTrue())
	a.take(sign(1, "c", 90000))
	g.Expect(a.holds(1)).To(BeTrue())
}

// Any order of signs, answers, releases and changes of leader: what a snapshot gives back is the table, its counts are
// right, and nobody is held who was answered in full since its newest sign.
func TestTablesStayWhole(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		g := NewWithT(r)
		a := newAgreement()
		for range rapid.IntRange(1, 60).Draw(r, "steps") {
			n := rapid.IntRange(0, 4).Draw(r, "request")
			key := crasher.Key{Fingerprint: printOf(n), Version: "v1"}
			before := a.Registry
			was := len(before.Suspects)
			switch rapid.IntRange(0, 6).Draw(r, "what") {
			case 0:
				a.clear(n)
				g.Expect(a.holds(n)).To(BeFalse())
			case 1:
				if s := a.Suspects[key]; s != nil {
					a.index++
					a.Release(&wire.ReleaseSuspects{Suspects: []*wire.Suspect{s}}, crasher.CommitPosition{Index: a.index, Term: a.term})
				}
			case 2:
				a.term++
			default:
				s := sign(n, fmt.Sprint(rapid.IntRange(0, 5).Draw(r, "server")), rapid.Int64Range(0, 10_000).Draw(r, "ended"))
				s.Weak = rapid.Bool().Draw(r, "weak")
				a.take(s)
			}
			g.Expect(before.Suspects).To(HaveLen(was), "a copy stays as it is")
			held := 0
			for _, s := range a.Suspects {
				if s.Held {
					held++
				}
			}
			g.Expect(a.BlockedCount()).To(Equal(held))
			back := crasher.Decode(a.Encode())
			g.Expect(back.BlockedCount()).To(Equal(held))
			g.Expect(back.Encode()).To(HaveLen(len(a.Suspects)))
		}
	})
}
