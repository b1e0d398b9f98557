package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"leverdrum/crasher"
	"leverdrum/dialect"
	"leverdrum/internal/framing"
	"leverdrum/level"
	"leverdrum/reason"
	"leverdrum/state"
	"leverdrum/wire"
)

// blockedEverywhere reports whether the request is blocked as a crasher on all servers of its pool
// (9). A request may still go to servers of a version for which it is not blocked.
func (j *job) blockedEverywhere() bool {
	if !j.g.crashWatch.HasBlocked(&j.g.opts.View().Crashers) {
		return false
	}
	p := j.g.dir.table().pools[j.poolName]
	if p == nil {
		return false
	}
	all := p.servers()
	return len(all) > 0 && len(j.filterBlocked(all)) == 0
}

// filterBlocked returns the servers of a list for which neither the request nor a part of its prompt is blocked.
func (j *job) filterBlocked(list []*server) []*server {
	crashers, watch := &j.g.opts.View().Crashers, j.g.crashWatch
	if !watch.HasBlocked(crashers) {
		return list
	}
	if watch.BlocksAny(crashers, j.partPrints()) {
		return nil
	}
	blocked := func(s *server) bool { return watch.Blocks(crashers, j.print(), s.version) }
	if !slices.ContainsFunc(list, blocked) {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), blocked)
}

// blockedAt reports whether the request, or a part of its prompt, is blocked from a server.
func (j *job) blockedAt(s *server) bool {
	crashers, watch := &j.g.opts.View().Crashers, j.g.crashWatch
	return watch.HasBlocked(crashers) && (watch.BlocksAny(crashers, j.partPrints()) || watch.Blocks(crashers, j.print(), s.version))
}

// blockReason returns why a blocked request is not sent: CrashesServers only if this box knows that the block is not provisional.
// The block may have ended since, or only the box that was to relay the request may know of it.
func (j *job) blockReason() *reason.Reason {
	crashers, watch := &j.g.opts.View().Crashers, j.g.crashWatch
	if watch.BlocksAnyDefinitively(crashers, j.partPrints()) {
		return reason.CrashesServers
	}
	p := j.g.dir.table().pools[j.poolName]
	if p == nil || watch.BlocksAny(crashers, j.partPrints()) {
		return reason.CrashSuspected
	}
	mayRun := func(s *server) bool { return !watch.BlocksDefinitively(crashers, j.print(), s.version) }
	if all := p.servers(); len(all) == 0 || slices.ContainsFunc(all, mayRun) {
		return reason.CrashSuspected
	}
	return reason.CrashesServers
}

// relayBlocked is blockedAt for a request of another box.
func (g *Gateway) relayBlocked(r *wire.RelayRequest, h http.Header, s *server) bool {
	view := g.opts.View()
	crashers, watch := &view.Crashers, g.crashWatch
	if !watch.HasBlocked(crashers) {
		return false
	}
	prompt := g.opts.Dialect.Prompt(h)
	if watch.BlocksAny(crashers, crasher.PartFingerprints(view.Announcements.Get(s.id).GetService(), sharedParts(prompt))) {
		return true
	}
	p := crasher.FingerprintOf(crasher.Content{Method: r.Method, Host: r.Host, Target: r.Target, Model: itemOf(prompt), Body: r.Body})
	return watch.Blocks(crashers, p, s.version)
}

// suspectFields adds log fields for a request that is blocked as a crasher: its fingerprint, and those parts of its prompt that are blocked.
func (j *job) suspectFields(outcome string, f *failure) (fields []zap.Field) {
	if f != nil || outcome != reason.CrashesServers.Code && outcome != reason.CrashSuspected.Code {
		return nil
	}
	var parts []string
	for i, p := range j.partPrints() {
		if j.g.crashWatch.Blocks(&j.g.opts.View().Crashers, p, "") {
			parts = append(parts, crasher.PartName(j.poolName, sharedParts(j.prompt)[i]))
		}
	}
	return []zap.Field{zap.Stringer("print", j.print()), zap.Strings("parts", parts)}
}

// refusal returns why a request may not be sent to a server now, nil if it may. blocked is set if it is blocked as a crasher.
func (g *Gateway) refusal(s *server, blocked bool) *failure {
	switch {
	case blocked:
		return notRun(reason.CrashesServers, ErrBlocked)
	case !g.opts.Pushback.Sendable(s.id):
		return notRun(reason.ServersInBackoff, ErrInBackoff)
	}
	return nil
}

func (s *server) crasherID() crasher.Server { return crasher.Server{ID: s.id, Version: s.version} }

// likelyCrasher reports whether the crash report of the attempt that has just broken will block
// the request or a part of its prompt. It is not retried while that report is on its way to the leader, which
// saves one server in four.
func (j *job) likelyCrasher(s *server) bool {
	crashers := &j.g.opts.View().Crashers
	return crashers.NextReportBlocks(j.print(), s.version, j.brokenAttempts-1) || crashers.NextReportBlocksAny(j.partPrints(), j.brokenAttempts-1)
}

// recordBroken has the crash watch check whether the server terminated during a broken attempt.
// Draining servers are excluded, since they may terminate at any time. Where no connection broke,
// but the deadline passed or the caller left, the server may be unresponsive; the committed state
// decides that.
func (j *job) recordBroken(s *server, f *failure) {
	now := time.Now()
	if _, draining := s.drainingFor(now); draining || f.outcome != reason.Unknown {
		return
	}
	j.brokenAttempts++
	b := crasher.FailedAttempt{Fingerprint: j.print(), Service: j.poolName, Parts: sharedParts(j.prompt), SentAt: j.arrived.Add(j.sentAfter), FirstEventAt: j.firstEventAt, FailedAt: now, Unresponsive: f.unresponsive}
	check := func() crasher.Liveness { return j.g.checkServer(s, now) }
	if j.relayedBy != "" {
		check = nil // this box does not reach the server
	}
	if f.reason == reason.BackendTimeout || j.r.Context().Err() != nil {
		b.Unresponsive, check = true, nil
	}
	j.g.crashWatch.RecordFailure(s.crasherID(), b, check)
}

// sharedParts returns the IDs of the first parts of a prompt without its last one, which is the request's or its session's own.
func sharedParts(p dialect.Prompt) (ids []uint64) {
	for _, part := range p.Parts[:min(max(0, len(p.Parts)-1), crasher.MaxParts)] {
		ids = append(ids, part.ID)
	}
	return ids
}

// partPrints returns the fingerprints of the parts of the request's prompt that other requests may share.
func (j *job) partPrints() []crasher.Fingerprint {
	if j.cachedPartPrints == nil {
		j.cachedPartPrints = crasher.PartFingerprints(j.poolName, sharedParts(j.prompt))
	}
	return j.cachedPartPrints
}

// checkServer reports what became of a server whose connection broke at the given time. Bytes
// received since show that it is running; otherwise the box dials it and keeps the connection for
// a later request.
func (g *Gateway) checkServer(s *server, brokeAt time.Time) crasher.Liveness {
	if s.pool.readSince(brokeAt.Add(time.Millisecond)) {
		return crasher.Running
	}
	switch err := s.pool.probe(context.Background()); {
	case err == nil:
		return crasher.Running
	case !errors.Is(err, syscall.ECONNREFUSED):
		return crasher.Unknown
	}
	if s.setDown(time.Now()) {
		g.links.vouch(func() { g.notices.send(Notice{RefusingServer: s.id}) })
	}
	return crasher.Terminated
}

// reportEnded reports the broken attempts at servers that the committed state shows as terminated
// or unresponsive.
func (g *Gateway) reportEnded(view *state.State) {
	g.crashWatch.ReportServed(&view.Crashers)
	g.crashWatch.CheckRuns(g.exposureTable)
	for _, s := range g.crashWatch.PendingServers() {
		switch a := view.Announcements.Get(s.ID); {
		case a.GetLeaving():
			g.crashWatch.RecordDrained(s)
		case a == nil, a.Silent: // a new incarnation started, or the server is unresponsive
			g.crashWatch.RecordTermination(s)
		}
	}
}

// exposureTable returns the replicated table of suspects, nil while boxes of older builds do not know reports of runs.
func (g *Gateway) exposureTable() *crasher.Registry {
	view := g.opts.View()
	if view.Level < level.SharedExposure {
		return nil
	}
	return &view.Crashers
}

// RecordCrashesCommitted records that the crash reports of this box so far were committed.
func (g *Gateway) RecordCrashesCommitted() {
	g.crashWatch.RecordCommitted(g.opts.View().Level >= level.PromptParts)
}

// recordServed records that the request was answered in full.
func (j *job) recordServed() {
	if j.end != framing.Complete || j.status >= http.StatusMultipleChoices {
		return
	}
	crashers := &j.g.opts.View().Crashers
	j.g.crashWatch.RecordServed(j.print(), j.current.version, crashers)
	if parts := j.partPrints(); len(parts) > 0 {
		j.g.crashWatch.RecordServedParts(parts, crashers)
	}
}
