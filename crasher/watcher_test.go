package crasher

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/wire"
)

// Checks what a box reports for a failed attempt, by the state of its server and when it is known.
func TestReportedEvidence(t *testing.T) {
	now := func() FailedAttempt { t := time.Now(); return FailedAttempt{SentAt: t.Add(-time.Second), FailedAt: t} }
	ran := func() FailedAttempt { b := now(); b.FirstEventAt = b.FailedAt.Add(-900 * time.Millisecond); return b }
	ranLong := func() FailedAttempt { b := now(); b.FirstEventAt = b.FailedAt.Add(-2 * time.Second); return b }
	for name, c := range map[string]struct {
		attempt        func() FailedAttempt
		liveness       []Liveness    // in turn; the last one repeats
		committedAfter time.Duration // until the server's termination is committed; 0: never
		reported       int
		weak           bool
	}{
		"terminated at the first probe":         {now, []Liveness{Terminated}, 0, 1, false},
		"terminated at the last probe":          {now, []Liveness{Running, Running, Terminated}, 0, 1, false},
		"running":                               {now, []Liveness{Running}, time.Second, 0, false},
		"unknown, committed early":              {now, []Liveness{Unknown}, 4 * time.Second, 1, false},
		"unknown, committed late":               {now, []Liveness{Unknown}, 11 * time.Second, 0, false},
		"unknown, never committed":              {now, []Liveness{Unknown}, 0, 0, false},
		"terminated soon after the first event": {ran, []Liveness{Terminated}, 0, 1, false},
		"terminated after a long run":           {ranLong, []Liveness{Terminated}, 0, 1, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				var signs []*wire.CrashSign
				w := NewWatcher(func(r *wire.CrashReport) { signs = append(signs, r.Signs...) }, nil)
				s := Server{ID: "s", Version: "v"}
				probes := 0
				w.RecordFailure(s, c.attempt(), func() Liveness {
					probes++
					return c.liveness[min(probes, len(c.liveness))-1]
				})
				if c.committedAfter > 0 {
					time.Sleep(c.committedAfter)
					w.RecordTermination(s)
				}
				time.Sleep(20 * time.Second)
				synctest.Wait()
				g.Expect(signs).To(HaveLen(c.reported))
				if c.reported > 0 {
					g.Expect(signs[0].Weak).To(Equal(c.weak))
					g.Expect(signs[0].SentAgoMs - signs[0].EndedAgoMs).To(BeEquivalentTo(1000))
				}
				w.RecordFailure(s, c.attempt(), nil)
				g.Expect(w.PendingServers()).To(Equal([]Server{s}), "expired attempts are dropped")
				g.Expect(w.count).To(Equal(1))
			})
		})
	}
}

// The number of pending attempts is bounded, however many fail.
func TestPendingIsBounded(t *testing.T) {
	g := NewWithT(t)
	w := NewWatcher(func(*wire.CrashReport) {}, nil)
	for range 2 * maxPending {
		w.RecordFailure(Server{ID: "s"}, FailedAttempt{FailedAt: time.Now()}, nil)
	}
	g.Expect(w.count).To(Equal(maxPending))
	w.RecordDrained(Server{ID: "s"})
	g.Expect(w.count).To(BeZero())
}

func TestServedCacheIsBoundedAndReportsOnce(t *testing.T) {
	g := NewWithT(t)
	s := NewServedCache(maxServed)
	for n := range 3000 {
		s.Record(FingerprintOf(Content{Target: string(rune(n))}), "v")
	}
	g.Expect(s.entries).To(HaveLen(maxServed))
	newest := FingerprintOf(Content{Target: string(rune(2999))})
	b := NewRegistry()
	b.Apply(&wire.CrashReport{Signs: []*wire.CrashSign{{Print: newest[:], Server: "x", Version: "v"}}}, CommitPosition{Index: 5, Term: 1})
	g.Expect(s.ClearReport(&b).Served).To(HaveLen(1))
	g.Expect(s.ClearReport(&b)).To(BeNil(), "until the table changes again")
}

// Guards against boxes that send requests with a crashing prompt part to server after server for as long as one box of an older build
// keeps the parts out of the replicated table.
func TestOwnEvidenceBlocksWhileTableHasNoParts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		registry, part := NewRegistry(), PartFingerprint("s", 1)
		w := NewWatcher(func(*wire.CrashReport) {}, nil)
		for n := range 3 {
			s, sentAt := Server{ID: fmt.Sprint("i", n), Version: "v1"}, time.Now()
			w.RecordFailure(s, FailedAttempt{Fingerprint: Fingerprint{byte(n)}, Service: "s", Parts: []uint64{1}, SentAt: sentAt, FailedAt: sentAt}, nil)
			w.RecordTermination(s)
			w.RecordCommitted(false)
			time.Sleep(2 * time.Millisecond) // each request is sent after the termination before
		}
		g.Expect(w.Blocks(&registry, part, "")).To(BeTrue())
		w.RecordServedParts([]Fingerprint{part}, &registry)
		g.Expect(w.Blocks(&registry, part, "")).To(BeFalse(), "it was answered in full")
	})
}

// Guards against the loss of one server after another while the leader's disk stalls, and against sound parts that stay blocked for it.
func TestEvidenceThatIsCommittedLate(t *testing.T) {
	for name, c := range map[string]struct {
		after     time.Duration // from the evidence
		committed time.Duration // from the evidence; 0: never
		runs      bool          // a request with the part runs on elsewhere
		blocked   bool
	}{
		"before a commit takes too long":   {after: 20 * time.Millisecond},
		"once a commit takes too long":     {after: 100 * time.Millisecond, blocked: true},
		"committed in time":                {after: 100 * time.Millisecond, committed: 20 * time.Millisecond},
		"just committed late":              {after: 400 * time.Millisecond, committed: 300 * time.Millisecond, blocked: true},
		"committed late, some time before": {after: time.Second, committed: 300 * time.Millisecond},
		"never committed":                  {after: 6 * time.Second},
		"a request with the part runs on":  {after: time.Second, runs: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				registry, part, began := NewRegistry(), PartFingerprint("s", 1), time.Now()
				w := NewWatcher(func(*wire.CrashReport) {}, nil)
				w.CheckRuns(func() *Registry { return &registry })
				w.RecordFailure(Server{ID: "i"}, FailedAttempt{Service: "s", Parts: []uint64{1}, SentAt: began, FailedAt: began}, nil)
				w.RecordTermination(Server{ID: "i"})
				if c.committed > 0 {
					time.AfterFunc(c.committed, func() { w.RecordCommitted(true) })
				}
				if c.runs {
					r := w.BeginRun(Server{ID: "other"}, Fingerprint{1}, []Fingerprint{PartFingerprint("s", 1)}, began)
					defer w.EndRun(r)
					time.AfterFunc(500*time.Millisecond, func() { r.Event(time.Now()) })
				}
				time.Sleep(c.after)
				synctest.Wait()
				g.Expect(w.Blocks(&registry, part, "")).To(Equal(c.blocked))
				g.Expect(w.BlocksDefinitively(&registry, part, "")).To(BeFalse())
			})
		})
	}
}
