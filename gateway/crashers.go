package gateway

import (
	"errors"
	"net/http"
	"slices"
	"syscall"
	"time"

	"leverdrum/crasher"
	"leverdrum/reason"
	"leverdrum/state"
)

// heldEverywhere reports whether the request must go to no server that there is (9). One that would go
// to a version of the servers at which it is not held, may.
func (j *job) heldEverywhere() bool {
	crashers := &j.g.opts.View().Crashers
	if !crashers.HasBlocked() {
		return false
	}
	p := j.g.dir.table().pools[j.poolName]
	if p == nil {
		return false
	}
	all := p.servers()
	return len(all) > 0 && len(j.spared(all)) == 0
}

// spared returns those servers of a list that the request may go to.
func (j *job) spared(list []*server) []*server {
	crashers := &j.g.opts.View().Crashers
	if !crashers.HasBlocked() {
		return list
	}
	held := func(s *server) bool { return crashers.Blocks(j.print(), s.version) }
	if !slices.ContainsFunc(list, held) {
		return list
	}
	return slices.DeleteFunc(slices.Clone(list), held)
}

func (s *server) named() crasher.Server { return crasher.Server{ID: s.id, Version: s.version} }

// suspected reports whether the request, with the attempt that has just broken, is as good as held: it is not sent
// on while the word of that end is on its way. That saves one server in four.
func (j *job) suspected(s *server) bool {
	return j.g.opts.View().Crashers.NextReportBlocks(j.print(), s.version, j.breaks-1)
}

// noteBroken has a broken attempt watched: its server may have ended under it. One that leaves may
// end at any time. Where nothing broke, but the time ran out or the caller left, the server may have gone dark: that is
// left to what is agreed of it.
func (j *job) noteBroken(s *server, f *failure) {
	now := time.Now()
	if _, leaves := s.parted(now); leaves || f.outcome != reason.Unknown {
		return
	}
	j.breaks++
	b := crasher.FailedAttempt{Fingerprint: j.print(), SentAt: j.arrived.Add(j.sent), FirstEventAt: j.firstAt, FailedAt: now, Unresponsive: f.dark}
	look := func() crasher.Liveness { return j.g.fateOf(s, now) }
	if f.why == reason.BackendLate || j.r.Context().Err() != nil {
		b.Unresponsive, look = true, nil
	}
	j.g.broken.RecordFailure(s.named(), b, look)
}

// fateOf says what became of a server that broke off at a time. What it answered since speaks for
// it; else it is asked for a connection, which a request will use.
func (g *Gateway) fateOf(s *server, broke time.Time) crasher.Liveness {
	if s.conns.heardSince(broke.Add(time.Millisecond)) {
		return crasher.Running
	}
	switch err := s.conns.reach(); {
	case err == nil:
		return crasher.Running
	case !errors.Is(err, syscall.ECONNREFUSED):
		return crasher.Unknown
	}
	if s.setDown(time.Now()) {
		g.notices.note(Notice{RefusingServer: s.id})
	}
	return crasher.Terminated
}

// noteEnded has told what broke off at servers that have ended or fell silent, as far as is agreed.
func (g *Gateway) noteEnded(view *state.State) {
	g.broken.ReportServed(&view.Crashers)
	for _, s := range g.broken.PendingServers() {
		switch a := view.Announcements.Get(s.ID); {
		case a.GetLeaving():
			g.broken.RecordDrained(s)
		case a == nil, a.Silent: // it has begun another life, or is not heard
			g.broken.RecordTermination(s)
		}
	}
}

// noteServed remembers that the request was answered in full.
func (j *job) noteServed() {
	if !j.whole || j.status >= http.StatusMultipleChoices {
		return
	}
	j.g.broken.RecordServed(j.print(), j.tried[len(j.tried)-1].version, &j.g.opts.View().Crashers)
}
