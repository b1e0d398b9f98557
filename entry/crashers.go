package entry

import (
	"errors"
	"net"
	"net/http"
	"syscall"
	"time"

	"leverdrum/crasher"
	"leverdrum/proxy"
	"leverdrum/reason"
	"leverdrum/route"
	"leverdrum/state"
)

// lookTimeout bounds a look at a backend server that broke off.
const lookTimeout = 400 * time.Millisecond

// print stands for the request in whatever attempt and at whatever box it comes. The version of the
// weights is part of it: other weights run another request.
func (e *Entry) print(j *job) crasher.Fingerprint {
	if j.printed == (crasher.Fingerprint{}) {
		name := j.target.Name
		if m := e.opts.View().Fleet.Models[name]; m != nil {
			name += "@" + m.Version
		}
		j.printed = crasher.FingerprintOf(crasher.Content{Method: j.attempt.Method, Target: j.attempt.Path, Model: name, Body: j.attempt.Body})
	}
	return j.printed
}

// held reports whether the request must go to no server any more (package crasher).
func (e *Entry) held(j *job) bool {
	crashers := &e.opts.View().Crashers
	return crashers.HasBlocked() && crashers.Blocks(e.print(j), "")
}

// suspected reports whether the request, with the attempt that has just broken, is as good as held: it is not sent on
// while the word of that end is on its way.
func (e *Entry) suspected(j *job) bool {
	return j.breaks > 0 && e.opts.View().Crashers.NextReportBlocks(e.print(j), "", j.breaks-1)
}

// noteBroken has a broken attempt watched: its backend server may have ended under it.
func (e *Entry) noteBroken(j *job, b *route.Backend, why *reason.Reason) {
	if why != reason.BackendDisconnected && why != reason.StreamInterrupted || b.Draining() {
		return
	}
	j.breaks++
	e.broken.RecordFailure(crasher.Server{ID: lifeOf(e.opts.View(), b.Name)}, crasher.FailedAttempt{
		Fingerprint: e.print(j), SentAt: j.sentAt, FirstEventAt: j.firstAt, FailedAt: time.Now(),
	}, func() crasher.Liveness { return fateOf(b.Address) })
}

// lifeOf names a server's present incarnation; instances of services have none that is known.
func lifeOf(view *state.State, name string) string {
	if s := view.Servers.Get(name); s != nil {
		return name + "/" + s.Incarnation
	}
	return name
}

// fateOf asks for a connection.
func fateOf(address string) crasher.Liveness {
	c, err := net.DialTimeout("tcp", address, lookTimeout)
	switch {
	case err == nil:
		c.Close()
		return crasher.Running
	case errors.Is(err, syscall.ECONNREFUSED):
		return crasher.Terminated
	}
	return crasher.Unknown
}

// noteEnded has told what broke off at servers that have started anew since, as far as is agreed.
func (e *Entry) noteEnded(view *state.State) {
	e.broken.ReportServed(&view.Crashers)
	waiting := e.broken.PendingServers()
	if len(waiting) == 0 || view.Fleet == nil {
		return
	}
	lives := map[string]bool{}
	for name := range view.Servers.All() {
		lives[lifeOf(view, name)] = true
	}
	for name := range view.Fleet.Instances {
		lives[name] = true
	}
	for _, s := range waiting {
		if !lives[s.ID] {
			e.broken.RecordTermination(s)
		}
	}
}

// noteServed remembers that a request was answered in full.
func (e *Entry) noteServed(j *job, a *proxy.Response) {
	if a.Status < http.StatusMultipleChoices {
		e.broken.RecordServed(e.print(j), "", &e.opts.View().Crashers)
	}
}
