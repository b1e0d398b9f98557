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
	now := func() FailedAttempt { t := time.Now(); return FailedAttempt{SentAt: t.Add(-time.Second), FailedAt: t} }
	ran := func() FailedAttempt { b := now(); b.FirstEventAt = b.FailedAt.Add(-900 * time.Millisecond); return b }
	ranLong := func() FailedAttempt { b := now(); b.FirstEventAt = b.FailedAt.Add(-2 * time.Second); return b }
	for name, c := range map[string]struct {
		broken func() FailedAttempt
		fates  []Liveness    // in turn; the last one stays
		agreed time.Duration // when it is agreed that the server ended; 0: never
		told   int
		weak   bool
	}{
		"ended at the first look":          {now, []Liveness{Terminated}, 0, 1, false},
		"ended at the last look":           {now, []Liveness{Running, Running, Terminated}, 0, 1, false},
		"lives":                            {now, []Liveness{Running}, time.Second, 0, false},
		"unclear, agreed soon":             {now, []Liveness{Unknown}, 4 * time.Second, 1, false},
		"unclear, agreed late":             {now, []Liveness{Unknown}, 11 * time.Second, 0, false},
		"unclear for good":                 {now, []Liveness{Unknown}, 0, 0, false},
		"ended soon after its first event": {ran, []Liveness{Terminated}, 0, 1, false},
		"ended when it had run for long":   {ranLong, []Liveness{Terminated}, 0, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				var told []*wire.CrashSign
				w := NewWatcher(func(r *wire.CrashReport) { told = append(told, r.Signs...) })
				s := Server{ID: "s", Version: "v"}
				asked := 0
				w.RecordFailure(s, c.broken(), func() Liveness {
					asked++
					return c.fates[min(asked, len(c.fates))-1]
				})
				if c.agreed > 0 {
					time.Sleep(c.agreed)
					w.RecordTermination(s)
				}
				time.Sleep(20 * time.Second)
				synctest.Wait()
				g.Expect(told).To(HaveLen(c.told))
				if c.told > 0 {
					g.Expect(told[0].Weak).To(Equal(c.weak))
					g.Expect(told[0].SentAgoMs - told[0].EndedAgoMs).To(BeEquivalentTo(1000))
				}
				w.RecordFailure(s, c.broken(), nil)
				g.Expect(w.PendingServers()).To(Equal([]Server{s}), "what waited in vain was dropped")
				g.Expect(w.count).To(Equal(1))
			})
		})
	}
}

// The sendings that wait are bounded, whatever breaks.
func TestWaitingIsBounded(t *testing.T) {
	g := NewWithT(t)
	w := NewWatcher(func(*wire.CrashReport) {})
	for range 2 * brokenMost {
		w.RecordFailure(Server{ID: "s"}, FailedAttempt{FailedAt: time.Now()}, nil)
	}
	g.Expect(w.count).To(Equal(brokenMost))
	w.RecordDrained(Server{ID: "s"})
	g.Expect(w.count).To(BeZero())
}

func TestServedIsBoundedAndTellsOnce(t *testing.T) {
	g := NewWithT(t)
	s := NewServedCache()
	for n := range 3000 {
		s.Record(FingerprintOf(Content{Target: string(rune(n))}), "v")
	}
	g.Expect(s.where).To(HaveLen(servedMost))
	newest := FingerprintOf(Content{Target: string(rune(2999))})
	b := NewRegistry()
	b.Apply(&wire.CrashReport{Signs: []*wire.CrashSign{{Print: newest[:], Server: "x", Version: "v"}}}, CommitPosition{Index: 5, Term: 1})
	g.Expect(s.ClearReport(&b).Served).To(HaveLen(1))
	g.Expect(s.ClearReport(&b)).To(BeNil(), "until the table changes again")
}
