package entry

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"leverdrum/crasher"
	"leverdrum/level"
	"leverdrum/proxy"
	"leverdrum/reason"
	"leverdrum/route"
	"leverdrum/state"
)

// livenessProbeTimeout bounds the connection attempt to a backend server that closed a connection
// early.
const livenessProbeTimeout = 400 * time.Millisecond

// print returns the request's fingerprint, which is the same for all attempts and at all boxes.
// It includes the version of the weights, because with other weights the request runs differently.
func (e *Entry) print(j *job) crasher.Fingerprint {
	if j.fingerprint == (crasher.Fingerprint{}) {
		name := j.target.Name
		if m := e.opts.View().Fleet.Models[name]; m != nil {
			name += "@" + m.Version
		}
		j.fingerprint = crasher.FingerprintOf(crasher.Content{Method: j.attempt.Method, Target: j.attempt.Path, Model: name, Body: j.attempt.Body})
	}
	return j.fingerprint
}

// blocked reports whether the request must not be sent to any server (package crasher).
func (e *Entry) blocked(j *job) bool {
	crashers := &e.opts.View().Crashers
	return e.crashWatcher.HasBlocked(crashers) && (e.crashWatcher.Blocks(crashers, e.print(j), "") || e.crashWatcher.BlocksAny(crashers, j.partPrints()))
}

// crashReason returns why a blocked request is not sent: CrashesServers only if the block is not provisional.
func (e *Entry) crashReason(j *job) *reason.Reason {
	crashers := &e.opts.View().Crashers
	if e.crashWatcher.BlocksDefinitively(crashers, e.print(j), "") || e.crashWatcher.BlocksAnyDefinitively(crashers, j.partPrints()) {
		return reason.CrashesServers
	}
	return reason.CrashSuspected
}

// nextReportBlocks reports whether the request will be blocked once the report on the attempt that
// just broke off is applied. It is not retried while that report is in flight.
func (e *Entry) nextReportBlocks(j *job) bool {
	if j.brokenAttempts == 0 {
		return false
	}
	crashers := &e.opts.View().Crashers
	return crashers.NextReportBlocks(e.print(j), "", j.brokenAttempts-1) || crashers.NextReportBlocksAny(j.partPrints(), j.brokenAttempts-1)
}

// recordFailedAttempt has the crash watcher check whether the backend server terminated during the
// attempt.
func (e *Entry) recordFailedAttempt(j *job, b *route.Backend, why *reason.Reason) {
	if why != reason.BackendDisconnected && why != reason.StreamInterrupted || b.Draining() {
		return
	}
	j.brokenAttempts++
	e.crashWatcher.RecordFailure(crasher.Server{ID: incarnationOf(e.opts.View(), b.Name)}, crasher.FailedAttempt{
		Fingerprint: e.print(j), Service: j.partScope(), Parts: sharedParts(j.attempt.Header), SentAt: j.sentAt, FirstEventAt: j.firstEventAt, FailedAt: time.Now(),
	}, func() crasher.Liveness { return probeLiveness(b.Address) })
}

// beginRun records the first event of an attempt at a backend, which may be nil.
func (e *Entry) beginRun(j *job, b *route.Backend) *crasher.Run {
	if b == nil {
		return nil
	}
	return e.crashWatcher.BeginRun(crasher.Server{ID: incarnationOf(e.opts.View(), b.Name)}, e.print(j), j.partPrints(), j.firstEventAt)
}

// exposureTable returns the replicated table of suspects, nil while boxes of older builds do not know reports of runs.
func (e *Entry) exposureTable() *crasher.Registry {
	view := e.opts.View()
	if view.Level < level.SharedExposure {
		return nil
	}
	return &view.Crashers
}

// incarnationOf returns the ID of a server's current incarnation. The incarnations of service
// instances are unknown, so for these it returns the name.
func incarnationOf(view *state.State, name string) string {
	if s := view.Servers.Get(name); s != nil {
		return name + "/" + s.Incarnation
	}
	return name
}

// probeLiveness tries to connect to the address.
func probeLiveness(address string) crasher.Liveness {
	c, err := net.DialTimeout("tcp", address, livenessProbeTimeout)
	switch {
	case err == nil:
		c.Close()
		return crasher.Running
	case errors.Is(err, syscall.ECONNREFUSED):
		return crasher.Terminated
	}
	return crasher.Unknown
}

// reportTerminated compares the servers of failed attempts with the replicated state, and reports
// those whose incarnation has ended since.
func (e *Entry) reportTerminated(view *state.State) {
	e.crashWatcher.ReportServed(&view.Crashers)
	e.crashWatcher.CheckRuns(e.exposureTable)
	pending := e.crashWatcher.PendingServers()
	if len(pending) == 0 || view.Fleet == nil {
		return
	}
	incarnations := map[string]bool{}
	for name := range view.Servers.All() {
		incarnations[incarnationOf(view, name)] = true
	}
	for name := range view.Fleet.Instances {
		incarnations[name] = true
	}
	for _, s := range pending {
		if !incarnations[s.ID] {
			e.crashWatcher.RecordTermination(s)
		}
	}
}

// RecordCrashesCommitted records that the crash reports of this box so far were committed.
func (e *Entry) RecordCrashesCommitted() {
	e.crashWatcher.RecordCommitted(e.opts.View().Level >= level.PromptParts)
}

// recordServed records that a request was answered completely.
func (e *Entry) recordServed(j *job, response *proxy.Response) {
	if response.Status >= http.StatusMultipleChoices || endUnknown(j, response) {
		return
	}
	crashers := &e.opts.View().Crashers
	e.crashWatcher.RecordServed(e.print(j), "", crashers)
	if parts := j.partPrints(); len(parts) > 0 {
		e.crashWatcher.RecordServedParts(parts, crashers)
	}
}
