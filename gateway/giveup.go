package gateway

import (
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"leverdrum/event"
	"leverdrum/reason"
)

const (
	// comeBackShare is when a caller is told to come back, as a share of its aim.
	comeBackShare = 0.25
	// comeBackLoad is when it is told to come back for a model that is on its way.
	comeBackLoad = 1500 * time.Millisecond
	// minRestSpread and maxRestSpread bound the time over which callers are spread that one rest refuses.
	minRestSpread = 100 * time.Millisecond
	maxRestSpread = time.Second
)

// restSpread is how much later than the end of a rest a caller is told to come back, so that not all of them come at once.
func restSpread(after time.Duration) time.Duration {
	most := min(max(after, minRestSpread), maxRestSpread)
	return time.Duration(rand.Float64() * float64(most))
}

// giveUp ends the request without a server's answer (3).
func (j *job) giveUp(why *reason.Reason) {
	if j.r.Context().Err() != nil {
		j.note("caller-gone", j.last)
		return
	}
	j.note(why.Code, j.last)
	if j.headed {
		panic(http.ErrAbortHandler) // breaks the caller's connection
	}
	if j.runs > 0 && why.Outcome == reason.NotRun {
		why = reason.BackendBroke
		if j.left() < minLeft {
			why = reason.BackendLate
		}
	}
	if why.Status == 0 {
		why = reason.BackendBroke
	}
	j.g.refuse(j.w, j.id, why, j.comeBack(why))
}

// comeBack is when the caller had best come back.
func (j *job) comeBack(why *reason.Reason) time.Duration {
	soon := time.Duration(comeBackShare * float64(j.route.Aim))
	switch why {
	case reason.Overloaded, reason.OverQuota, reason.QuotaUnsure:
		return max(soon, time.Duration(j.behind*float64(time.Millisecond)))
	case reason.ServersLimited:
		return max(soon, spreadAfter(j.after))
	case reason.ServersResting:
		return min(j.after+restSpread(j.after), j.left())
	case reason.NotResident, reason.BackendRefused:
		return j.comeBackFor(why, soon)
	}
	return soon
}

// noteDone writes the line of a request that was answered.
func (j *job) noteDone() {
	if !j.headed || !j.g.opts.Log.Core().Enabled(event.RequestDone.Level) {
		return
	}
	s := j.tried[len(j.tried)-1]
	event.RequestDone.Log(j.g.opts.Log,
		zap.String("request", j.id), zap.String("route", j.route.Name), zap.Int("sends", j.sends), zap.String("server", s.id),
		zap.String("model", j.prompt.Model), zap.String("adapter", j.prompt.Adapter), zap.Int("tokens", j.prompt.Tokens),
		zap.Duration("aim", j.route.Aim), zap.Duration("pause", j.route.Pause), zap.Int("status", j.status),
		zap.Duration("waited", j.waited), zap.Duration("sent", j.sent), zap.Duration("first", j.first), zap.Duration("longest", j.longest),
		zap.Duration("after", time.Since(j.arrived)), zap.Float64("reckoned", j.reckoned), zap.Float64("behind", j.behind), zap.Int("beside", j.beside))
}

// note writes the line that explains a request that was not answered.
func (j *job) note(outcome string, f *failure) {
	fields := []zap.Field{
		zap.String("request", j.id), zap.String("route", j.route.Name), zap.String("outcome", outcome), zap.Uint64("number", j.number),
		zap.Int("sends", j.sends), zap.Duration("after", time.Since(j.arrived)), zap.Duration("left", j.left()),
		zap.Duration("aim", j.route.Aim), zap.Duration("waited", j.waited), zap.Duration("sent", j.sent), zap.Duration("first", j.first), zap.Duration("longest", j.longest),
	}
	if j.prompt.Model != "" {
		fields = append(fields, zap.String("model", j.prompt.Model), zap.String("adapter", j.prompt.Adapter))
	}
	fields = append(fields, j.quotaFields()...)
	fields = append(fields, j.blockFields(outcome)...)
	if n := len(j.tried); n > 0 {
		fields = append(fields, zap.String("server", j.tried[n-1].id))
	}
	if f != nil {
		fields = append(fields, zap.String("last", f.why.Code), event.Cause(f.cause), j.printField(f))
	}
	if outcome == reason.CrashesServers.Code && f == nil {
		fields = append(fields, zap.Stringer("print", j.print()))
	}
	event.RequestFailed.Log(j.g.opts.Log, fields...)
}
