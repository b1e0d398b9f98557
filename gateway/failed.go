package gateway

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"syscall"
	"time"

	"go.uber.org/zap"

	"leverdrum/event"
	"leverdrum/meter"
	"leverdrum/reason"
)

// notRunExtra is how many more attempts a request may have that no server ran.
const notRunExtra = 2

// judge returns a failure for an answer that is none.
func (j *job) judge(a *answer) *failure {
	d := &j.g.opts.Dialect
	switch {
	case a.Header.Get(d.NotRun) != "", a.StatusCode == http.StatusMisdirectedRequest:
		return notRun(reason.BackendRefused, Error.New("the server answered %d, not run", a.StatusCode))
	case a.Header.Get(d.Stamp) == "" && a.StatusCode < http.StatusMultipleChoices:
		a.spoilt = true
		return unknown(reason.BackendBroke, Error.New("the answer does not bear the server's stamp"))
	}
	return nil
}

// misdirected notes what a server said that did not run a request as not its own:
// it is another than expected, or it lacks the model or the adapter.
func (j *job) misdirected(s *server, a *answer) {
	id := a.Header.Get(j.g.opts.Dialect.ServerID)
	if id != "" && id != s.name || j.prompt.Model == "" {
		s.setGone()
		return
	}
	s.lack(wantedOf(j.prompt), time.Now())
}

// askAnother gives a server's own failure up for another server's answer, where
// the request may be repeated (4).
func (j *job) askAnother(s *server, a *answer) bool {
	if a.StatusCode < http.StatusInternalServerError || j.headed || !j.route.Repeatable() {
		return false
	}
	f := &failure{outcome: reason.Failed, why: reason.BackendFailed, cause: Error.New("the server answered %d", a.StatusCode)}
	j.runs++
	s.failed(time.Now())
	if _, blocked := j.nowhere(); blocked || !j.mayRepeat(f) {
		return false
	}
	j.last = f
	j.noteRetry(f)
	return true
}

// failed decides what follows a failure: another attempt, or the end.
func (j *job) failed(ctx context.Context, s *server, f *failure) (answered bool) {
	j.last = f
	j.noteBroken(s, f)
	if f.outcome != reason.NotRun {
		j.runs++
	}
	if j.r.Context().Err() != nil {
		j.note("caller-gone", f)
		return true
	}
	switch {
	case f.dark, f.dial:
		s.silenced(time.Now())
		if f.dial {
			j.noteDown(s, f)
		}
	case f.outcome != reason.NotRun:
		s.failed(time.Now())
	}
	if why, blocked := j.nowhere(); blocked && !j.headed && f.outcome == reason.NotRun {
		j.giveUp(why)
		return true
	}
	if ctx.Err() == nil && j.mayRepeat(f) {
		j.noteRetry(f)
		return false
	}
	if ctx.Err() != nil && f.outcome != reason.NotRun {
		j.giveUp(reason.BackendLate)
		return true
	}
	j.giveUp(f.why)
	return true
}

// noteDown tells the leader of a server that no connection can be opened to, unless
// something else speaks for it.
func (j *job) noteDown(s *server, f *failure) {
	now := time.Now()
	j.g.opts.Pushback.RecordUnreachable(s.id)
	switch refused := errors.Is(f.cause, syscall.ECONNREFUSED); {
	case refused && s.setDown(now):
		j.g.notices.note(Notice{RefusingServer: s.id})
	case !refused && s.setUnreached(now):
		j.g.notices.note(Notice{UnreachableServer: s.id})
	}
}

// silenceMayEnd reports, whenever it is asked, whether an exchange with a silent server may
// be ended now. What may not be repeated is not ended: it is nil then. Where part of the
// answer was passed on, by this exchange or one before, the stream must be able to go on at
// another server, by a further attempt; otherwise the caller would lose what the silent one may
// yet send. The attempt that is to follow is taken off the budget before the exchange is
// ended: without it, the silent server is better than none.
func (j *job) silenceMayEnd(at *server) func() bool {
	if !j.route.Repeatable() {
		return nil
	}
	last := j.runs+1 >= j.route.MaxAttempts
	return func() bool {
		if last {
			return !j.begun.Load()
		}
		if j.begun.Load() {
			list, why := j.candidates()
			others := slices.DeleteFunc(slices.Clone(list), func(s *server) bool { return s == at })
			if why != nil || j.g.stopped() || !j.g.dir.anyUp(others) {
				return false
			}
		}
		if !j.g.budgets.repeat(j.poolName) {
			return false
		}
		j.granted.Store(true)
		return true
	}
}

// mayRepeat is rules 2 and 8.
func (j *job) mayRepeat(f *failure) bool {
	switch {
	case j.left() < minLeft:
		return false
	case j.prompt.Model != "" && f.unsent():
		return true // the model may soon be elsewhere
	case f.outcome == reason.NotRun:
		if j.sends >= j.route.MaxAttempts+notRunExtra {
			return false
		}
	case !j.route.Repeatable(), j.runs >= j.route.MaxAttempts:
		return false
	case j.breaks > 0 && j.suspected(j.tried[len(j.tried)-1]):
		return false
	}
	if f.unsent() {
		return true
	}
	if j.granted.Swap(false) || j.g.budgets.repeat(j.poolName) {
		return true
	}
	j.g.opts.Meters.Count(meter.RetriesSpent).Inc()
	return false
}

// noteRetry counts that the request is sent again, and writes its line.
func (j *job) noteRetry(f *failure) {
	why := reason.RetryBroke
	switch {
	case j.headed:
		why = reason.RetryStream
	case f.dial:
		why = reason.RetryUnreached
	case !j.g.opts.Pushback.Sendable(j.tried[len(j.tried)-1].id):
		why = reason.RetryResting
	case f.outcome == reason.NotRun:
		why = reason.RetryRefused
	case f.outcome == reason.Failed:
		why = reason.RetryFailed
	}
	j.g.opts.Meters.Retry(why)
	event.RequestRetried.Log(j.g.opts.Log,
		zap.String("request", j.id), zap.String("route", j.route.Name), zap.String("outcome", f.why.Code), zap.String("why", why.Code),
		zap.Int("sends", j.sends), zap.Int("runs", j.runs), zap.String("server", j.tried[len(j.tried)-1].id), event.Cause(f.cause), zap.Duration("left", j.left()), j.printField(f))
}

// printField names the request in lines on attempts that may have run, so that the attempts of one
// request can be told from those of others.
func (j *job) printField(f *failure) zap.Field {
	if f == nil || f.outcome == reason.NotRun {
		return zap.Skip()
	}
	return zap.Stringer("print", j.print())
}
