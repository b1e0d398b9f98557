package crasher

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/wire"
)

// exposedBoxes are boxes with one table of suspects, to which their reports are committed at once.
type exposedBoxes struct {
	mu       sync.Mutex
	registry Registry
	index    uint64
	shared   bool // the level at which boxes report runs is active
	watchers []*Watcher
}

func newExposedBoxes(count int, shared bool) *exposedBoxes {
	f := &exposedBoxes{registry: NewRegistry(), shared: shared}
	for n := range count {
		f.watchers = append(f.watchers, NewWatcher(func(r *wire.CrashReport) { f.commit(fmt.Sprint("box", n), r) }, nil))
	}
	return f
}

func (f *exposedBoxes) commit(box string, r *wire.CrashReport) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.index++
	now := time.Now().UnixMilli()
	r.Box = box
	for _, s := range r.Signs {
		s.SentMs, s.EndedMs = now-int64(s.SentAgoMs), now-int64(s.EndedAgoMs)
	}
	f.registry.Apply(r, CommitPosition{Index: f.index, Term: 1, UnixMs: now, PromptParts: true, SharedExposure: f.shared})
}

// table returns what a box knows of the table.
func (f *exposedBoxes) table() *Registry {
	f.mu.Lock()
	defer f.mu.Unlock()
	if view := f.registry; f.shared {
		return &view
	}
	return nil
}

// run has a box run a request with part 1 at a server, with an event each 50 ms.
func (f *exposedBoxes) run(box int, server string, d time.Duration) {
	r := f.watchers[box].BeginRun(Server{ID: server}, Fingerprint{}, []Fingerprint{PartFingerprint("s", 1)}, time.Now())
	go func() {
		for range d / (50 * time.Millisecond) {
			time.Sleep(50 * time.Millisecond)
			r.Event(time.Now())
		}
		f.watchers[box].EndRun(r)
	}()
}

// terminate ends a server under a box's request with part 1 that had run for some time.
func (f *exposedBoxes) terminate(box int, server string, ranFor time.Duration) {
	now, w := time.Now(), f.watchers[box]
	b := FailedAttempt{Fingerprint: FingerprintOf(Content{Target: server}), Service: "s", Parts: []uint64{1}, SentAt: now.Add(-ranFor - 10*time.Millisecond), FailedAt: now}
	if ranFor > 0 {
		b.FirstEventAt = now.Add(-ranFor)
	}
	w.RecordFailure(Server{ID: server}, b, nil)
	w.RecordTermination(Server{ID: server})
}

// Guards against sound prompt parts that are blocked because a box does not know that requests with them run on for longer at other
// boxes: with 10 servers that crash one after another, 156 of 400 requests were denied.
func TestRunsAtOtherBoxesRefuteEvidence(t *testing.T) {
	for name, c := range map[string]struct {
		shared           bool
		ranFor           time.Duration // at each terminated server
		elsewhere        time.Duration // for how long requests of other boxes run
		ownRuns, blocked bool
	}{
		"long runs at other boxes":                    {shared: true, ranFor: 600 * time.Millisecond, elsewhere: 10 * time.Second},
		"and short ones at the box itself":            {shared: true, ranFor: 600 * time.Millisecond, elsewhere: 10 * time.Second, ownRuns: true},
		"terminated before the first event":           {shared: true, elsewhere: 10 * time.Second},
		"but a build that does not report runs":       {ranFor: 600 * time.Millisecond, elsewhere: 10 * time.Second, blocked: true},
		"no run lasts for longer":                     {shared: true, ranFor: 600 * time.Millisecond, elsewhere: 500 * time.Millisecond, blocked: true},
		"no run at other boxes, short ones at itself": {shared: true, ranFor: 600 * time.Millisecond, ownRuns: true, blocked: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f := newExposedBoxes(3, c.shared)
				for n := range 5 {
					if c.elsewhere > 0 {
						f.run(2, "other", c.elsewhere)
					}
					if c.ownRuns {
						f.run(n%2, "own", 100*time.Millisecond)
					}
					f.terminate(n%2, fmt.Sprint("i", n), c.ranFor)
					for range 10 {
						time.Sleep(100 * time.Millisecond)
						for _, w := range f.watchers {
							w.CheckRuns(f.table)
						}
					}
				}
				f.mu.Lock()
				blocked := f.registry.Blocks(PartFingerprint("s", 1), "")
				f.mu.Unlock()
				time.Sleep(20 * time.Second) // the requests end
				synctest.Wait()
				g.Expect(blocked).To(Equal(c.blocked))
			})
		})
	}
}

// Guards against the loss of evidence: a run refutes only what it has run longer than, and only evidence of its own time.
func TestRunsRefuteOnlyShorterOnes(t *testing.T) {
	g := NewWithT(t)
	reg, index := NewRegistry(), uint64(0)
	commit := func(at time.Duration, r *wire.CrashReport) {
		index++
		reg.Apply(r, CommitPosition{Index: index, Term: 1, UnixMs: at.Milliseconds(), PromptParts: true, SharedExposure: true})
	}
	printOf := func(server string) []byte { p := FingerprintOf(Content{Target: server}); return p[:] }
	crash := func(at time.Duration, server string, ranMs uint32) {
		commit(at, &wire.CrashReport{Signs: []*wire.CrashSign{{
			Print: printOf(server), Service: "s", Parts: []uint64{1}, Server: server, SentMs: at.Milliseconds(), EndedMs: at.Milliseconds(), RanMs: ranMs, Weak: ranMs > 1000,
		}}})
	}
	weight := func() uint32 { return reg.Suspects[partKey(PartFingerprint("s", 1))].GetWeight() }
	crash(time.Second, "a", 100)
	crash(2*time.Second, "b", 900)
	g.Expect(weight()).To(BeEquivalentTo(4))
	commit(3*time.Second, &wire.CrashReport{Served: []*wire.ServedSuspect{runOfPart(1, 600*time.Millisecond)}})
	g.Expect(weight()).To(BeEquivalentTo(2), "the first is refuted")
	crash(4*time.Second, "c", 0)
	g.Expect(weight()).To(BeEquivalentTo(2), "refuted by the run just reported")
	crash(4*time.Second, "c", 500)
	g.Expect(weight()).To(BeEquivalentTo(2), "the same termination, reported by another box")
	crash(10*time.Second, "d", 0)
	g.Expect(weight()).To(BeEquivalentTo(4), "the run was reported long before")
	crash(11*time.Second, "e", 1500)
	g.Expect(reg.Blocks(PartFingerprint("s", 1), "")).To(BeTrue())
	commit(12*time.Second, &wire.CrashReport{Served: []*wire.ServedSuspect{runOfPart(1, 2*time.Second)}})
	g.Expect(reg.Blocks(PartFingerprint("s", 1), "")).To(BeFalse())
	g.Expect(weight()).To(BeZero())
}

// Guards against a report of each box at each check: at 300 boxes that run requests with one part a report that changes nothing is not
// committed, and a box repeats none within runReportInterval.
func TestRunsAreReportedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		reg, reports := NewRegistry(), 0
		w := NewWatcher(func(r *wire.CrashReport) { reports += len(r.Served) }, nil)
		p := PartFingerprint("s", 1)
		reg.put(partKey(p), &wire.Suspect{Print: p[:], Service: "s", Part: 1, Weight: 2, Terminations: []*wire.Termination{{Server: "i", Weight: 2, RanMs: 100}}})
		r := w.BeginRun(Server{ID: "other"}, Fingerprint{}, []Fingerprint{PartFingerprint("s", 1)}, time.Now())
		for range 10 {
			time.Sleep(100 * time.Millisecond)
			r.Event(time.Now())
			w.CheckRuns(func() *Registry { return &reg })
		}
		g.Expect(reports).To(BeNumerically(">=", 1))
		g.Expect(reports).To(BeNumerically("<=", 2))
		w.EndRun(r)
		time.Sleep(time.Second) // no further check is due
		synctest.Wait()

		run := runOfPart(1, time.Second)
		g.Expect(reg.RunMatters(run, 1000)).To(BeTrue())
		reg.Apply(&wire.CrashReport{Served: []*wire.ServedSuspect{run}}, CommitPosition{Index: 1, UnixMs: 1000, PromptParts: true, SharedExposure: true})
		g.Expect(reg.RunMatters(runOfPart(1, 1100*time.Millisecond), 1100)).To(BeFalse(), "hardly longer")
		g.Expect(reg.RunMatters(runOfPart(1, 2*time.Second), 1100)).To(BeTrue())
		g.Expect(reg.RunMatters(run, 9000)).To(BeTrue(), "the last report is old")
	})
}

// runOfPart is the report of a run with a prompt part.
func runOfPart(id uint64, runFor time.Duration) *wire.ServedSuspect {
	p := PartFingerprint("s", id)
	return runReport(&wire.Suspect{Print: p[:], Service: "s", Part: id}, runFor)
}

// Guards against a request that many callers send alike and that is denied because servers crash by themselves, one after another, while it
// runs on at others: 66 of 240 were denied.
func TestRunsRefuteEvidenceAgainstRequests(t *testing.T) {
	for name, c := range map[string]struct {
		shared, runsOn, blocked bool
		version                 string // of the servers at which the request runs on
	}{
		"runs on at another box":                    {shared: true, runsOn: true, version: "v1"},
		"but a build that does not report runs":     {runsOn: true, version: "v1", blocked: true},
		"runs on at servers of another version":     {shared: true, runsOn: true, version: "v2", blocked: true},
		"runs nowhere else, and terminates servers": {shared: true, blocked: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				f, p := newExposedBoxes(2, c.shared), Fingerprint{7}
				if c.runsOn {
					r := f.watchers[1].BeginRun(Server{ID: "other", Version: c.version}, p, nil, time.Now())
					go func() {
						for range 100 {
							time.Sleep(50 * time.Millisecond)
							r.Event(time.Now())
						}
						f.watchers[1].EndRun(r)
					}()
				}
				for n := range 3 {
					time.Sleep(800 * time.Millisecond)
					s, now := Server{ID: fmt.Sprint("i", n), Version: "v1"}, time.Now()
					f.watchers[0].RecordFailure(s, FailedAttempt{Fingerprint: p, Service: "s", SentAt: now.Add(-300 * time.Millisecond), FirstEventAt: now.Add(-200 * time.Millisecond), FailedAt: now}, nil)
					f.watchers[0].RecordTermination(s)
					for range 4 {
						time.Sleep(100 * time.Millisecond)
						f.watchers[1].CheckRuns(f.table)
					}
				}
				f.mu.Lock()
				blocked := f.registry.Blocks(p, "v1")
				f.mu.Unlock()
				time.Sleep(10 * time.Second) // the request ends
				synctest.Wait()
				g.Expect(blocked).To(Equal(c.blocked))
			})
		})
	}
}
