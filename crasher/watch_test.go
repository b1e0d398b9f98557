package crasher

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/wire"
)

// What a box tells of a broken sending, by what became of its server and how long after.
func TestWhatIsTold(t *testing.T) {
	now := func() Broken { t := time.Now(); return Broken{Sent: t.Add(-time.Second), At: t} }
	ran := func() Broken { b := now(); b.Begun = b.At.Add(-900 * time.Millisecond); return b }
	ranLong := func() Broken { b := now(); b.Begun = b.At.Add(-2 * time.Second); return b }
	for name, c := range map[string]struct {
		broken func() Broken
		fates  []Fate        // in turn; the last one stays
		agreed time.Duration // when it is agreed that the server ended; 0: never
		told   int
		weak   bool
	}{
		"ended at the first look":          {now, []Fate{Ended}, 0, 1, false},
		"ended at the last look":           {now, []Fate{Lives, Lives, Ended}, 0, 1, false},
		"lives":                            {now, []Fate{Lives}, time.Second, 0, false},
		"unclear, agreed soon":             {now, []Fate{Unclear}, 4 * time.Second, 1, false},
		"unclear, agreed late":             {now, []Fate{Unclear}, 11 * time.Second, 0, false},
		"unclear for good":                 {now, []Fate{Unclear}, 0, 0, false},
		"ended soon after its first event": {ran, []Fate{Ended}, 0, 1, false},
		"ended when it had run for long":   {ranLong, []Fate{Ended}, 0, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				var told []*wire.CrashSign
				w := NewWatch(func(r *wire.CrashReport) { told = append(told, r.Signs...) })
				s := Server{ID: "s", Version: "v"}
				asked := 0
				w.Break(s, c.broken(), func() Fate {
					asked++
					return c.fates[min(asked, len(c.fates))-1]
				})
				if c.agreed > 0 {
					time.Sleep(c.agreed)
					w.Ended(s)
				}
				time.Sleep(20 * time.Second)
				synctest.Wait()
				g.Expect(told).To(HaveLen(c.told))
				if c.told > 0 {
					g.Expect(told[0].Weak).To(Equal(c.weak))
					g.Expect(told[0].SentAgoMs - told[0].EndedAgoMs).To(BeEquivalentTo(1000))
				}
				w.Break(s, c.broken(), nil)
				g.Expect(w.Waiting()).To(Equal([]Server{s}), "what waited in vain was dropped")
				g.Expect(w.count).To(Equal(1))
			})
		})
	}
}

// The sendings that wait are bounded, whatever breaks.
func TestWaitingIsBounded(t *testing.T) {
	g := NewWithT(t)
	w := NewWatch(func(*wire.CrashReport) {})
	for range 2 * brokenMost {
		w.Break(Server{ID: "s"}, Broken{At: time.Now()}, nil)
	}
	g.Expect(w.count).To(Equal(brokenMost))
	w.Left(Server{ID: "s"})
	g.Expect(w.count).To(BeZero())
}

func TestServedIsBoundedAndTellsOnce(t *testing.T) {
	g := NewWithT(t)
	s := NewServed()
	for n := range 3000 {
		s.Note(Of(Content{Target: string(rune(n))}), "v")
	}
	g.Expect(s.where).To(HaveLen(servedMost))
	newest := Of(Content{Target: string(rune(2999))})
	b := NewBook()
	b.Take(&wire.CrashReport{Signs: []*wire.CrashSign{{Print: newest[:], Server: "x", Version: "v"}}}, At{Index: 5, Term: 1})
	g.Expect(s.Clears(&b).Served).To(HaveLen(1))
	g.Expect(s.Clears(&b)).To(BeNil(), "until the table changes again")
}
