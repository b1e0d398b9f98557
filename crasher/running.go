package crasher

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"leverdrum/wire"
)

// runReportTTL is for how long after its report a run refutes what other boxes report: they report a termination within exposureDelay
// of noticing it.
const runReportTTL = 3 * time.Second

// runCheckInterval is the time between two checks for runs that refute committed evidence.
const runCheckInterval = 100 * time.Millisecond

// runReportInterval is the time between two reports of runs with the same suspect.
const runReportInterval = 400 * time.Millisecond

// isRefuted reports whether a run that goes on refutes that a suspect terminated a server on which it had run for ranMs (15, 17).
func isRefuted(ranMs, runsMs uint32) bool {
	return runsMs > ranMs+uint32(exposureMargin.Milliseconds())
}

// currentRun returns the longest run with a suspect that boxes have reported lately, in milliseconds.
func currentRun(s *wire.Suspect, at CommitPosition) uint32 {
	if at.UnixMs-s.GetRunsUnixMs() > runReportTTL.Milliseconds() {
		return 0
	}
	return s.GetRunsMs()
}

// runKey returns the key of the suspect that the report of a run is about: a request, or a prompt part.
func runKey(run *wire.ServedSuspect) Key {
	if run.Service != "" {
		return partKey(PartFingerprint(run.Service, run.Part))
	}
	p, _ := ParseFingerprint(run.Print) // an invalid one is nobody's
	return Key{p, run.Version}
}

// recordRun records that a suspected request, or a request with a prompt part, has run for some time at a server that goes on, and drops
// the evidence that this refutes (17).
func (reg *Registry) recordRun(run *wire.ServedSuspect, at CommitPosition) {
	key := runKey(run)
	old := reg.Suspects[key]
	if !at.SharedExposure || old == nil && run.Service == "" || hasRuling(old) {
		return
	}
	next := &wire.Suspect{Print: key.Fingerprint[:], Service: run.Service, Part: run.Part}
	if old != nil {
		next = proto.CloneOf(old)
	}
	next.RunsMs, next.RunsUnixMs = max(currentRun(old, at), run.RunsMs), at.UnixMs
	next.Index, next.UnixMs = at.Index, at.UnixMs
	dropRefuted(next, at)
	reg.put(key, next)
	reg.evict()
}

// RunMatters reports whether the report of a run would change what counts as evidence. Of the boxes that run requests with a part, many
// report about the same at once.
func (reg *Registry) RunMatters(run *wire.ServedSuspect, unixMs int64) bool {
	s := reg.Suspects[runKey(run)]
	ranMs, counts := shortestTermination(s)
	return counts && isRefuted(ranMs, run.RunsMs) || isRefuted(currentRun(s, CommitPosition{UnixMs: unixMs}), run.RunsMs)
}

// extendTermination records that a suspect, which is changed, had run for longer at a terminated server than reported before, and reports
// whether it is blocked.
func (reg *Registry) extendTermination(s *wire.Suspect, server string, ranMs uint32, at CommitPosition) (blocked bool) {
	i := slices.IndexFunc(s.Terminations, func(t *wire.Termination) bool { return t.Server == server })
	if i < 0 || s.Terminations[i].RanMs >= ranMs {
		return false
	}
	s.Terminations[i].RanMs = ranMs
	s.Index, s.UnixMs = at.Index, at.UnixMs
	reg.put(keyOf(s), s)
	return s.Held
}

// dropRefuted drops the evidence against a suspect that its longest run refutes, and unblocks the suspect if too little is left.
func dropRefuted(s *wire.Suspect, at CommitPosition) {
	runs := currentRun(s, at)
	s.Terminations = slices.DeleteFunc(s.Terminations, func(t *wire.Termination) bool {
		if !isRefuted(t.RanMs, runs) {
			return false
		}
		s.Weight -= min(s.Weight, t.Weight)
		return true
	})
	if s.Held && s.Weight < BlockWeight(s) {
		s.Held, s.Holds = false, max(s.Holds, 1)-1
	}
}

// shortestTermination returns the shortest time for which a suspect had run at a server whose termination counts against it; false if none
// does.
func shortestTermination(s *wire.Suspect) (ranMs uint32, ok bool) {
	for _, t := range s.GetTerminations() {
		if !ok || t.RanMs < ranMs {
			ranMs, ok = t.RanMs, true
		}
	}
	return ranMs, ok
}

// CheckRuns reports the requests of this box that run on and refute committed evidence against them or their prompt parts (17), again and
// again while there are such. registry returns the replicated table, nil while boxes of older builds do not know such reports. It is called
// on another goroutine, too.
func (w *Watcher) CheckRuns(registry func() *Registry) {
	table := registry()
	w.sharesRuns.Store(table != nil)
	w.exposureTable.Store(&registry)
	if table == nil || w.runCheckDue.Load() {
		return
	}
	again := w.reportRuns(table)
	if own := w.own.table.Load(); own != nil && w.own.uncommittedSince.Load() > 0 {
		w.reportRuns(own)
		again = true // requests with the parts may begin to run
	}
	if !again || w.runCheckDue.Swap(true) {
		return
	}
	time.AfterFunc(runCheckInterval, func() {
		w.runCheckDue.Store(false)
		w.CheckRuns(registry)
	})
}

// reportRuns reports the runs that refute evidence in a table, and whether requests run that are suspects, or have suspected parts.
func (w *Watcher) reportRuns(registry *Registry) (running bool) {
	refutable := map[Key]bool{}
	for key, s := range registry.Suspects {
		if len(s.Terminations) > 0 && !hasRuling(s) {
			refutable[key] = true
		}
	}
	if len(refutable) == 0 {
		return false
	}
	var list []*wire.ServedSuspect
	for key, runFor := range w.runs.longest(refutable, Server{}) {
		running = true
		s := registry.Suspects[key]
		if ranMs, _ := shortestTermination(s); isRefuted(ranMs, ms(runFor)) && w.runs.mayReport(key, time.Now()) {
			list = append(list, runReport(s, runFor))
		}
	}
	if len(list) > 0 {
		w.report(&wire.CrashReport{Served: list})
	}
	return running
}

// checkRunsAgain does what CheckRuns does, by the table that it was called with last.
func (w *Watcher) checkRunsAgain() {
	if registry := w.exposureTable.Load(); registry != nil {
		w.CheckRuns(*registry)
	}
}

// reportExposures reports the runs that refute the termination of a server (17).
func (w *Watcher) reportExposures(list []Exposure) {
	if !w.sharesRuns.Load() {
		return
	}
	r := &wire.CrashReport{}
	for _, e := range list {
		if e.Refuted {
			p := PartFingerprint(e.Service, e.Part)
			r.Served = append(r.Served, runReport(&wire.Suspect{Print: p[:], Service: e.Service, Part: e.Part}, e.RunsElsewhereFor))
		}
	}
	if len(r.Served) > 0 {
		w.report(r)
	}
}

func runReport(s *wire.Suspect, runFor time.Duration) *wire.ServedSuspect {
	return &wire.ServedSuspect{Print: s.Print, Version: s.Version, Service: s.Service, Part: s.Part, RunsMs: max(1, ms(runFor))}
}

// mayReport reports whether a run with a suspect may be reported now: a report is not repeated while it is on its way.
func (l *runs) mayReport(suspect Key, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	maps.DeleteFunc(l.reportedAt, func(_ Key, at time.Time) bool { return now.Sub(at) >= runReportInterval })
	if _, ok := l.reportedAt[suspect]; ok {
		return false
	}
	if l.reportedAt == nil {
		l.reportedAt = map[Key]time.Time{}
	}
	l.reportedAt[suspect] = now
	return true
}
