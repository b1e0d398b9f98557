package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"leverdrum/internal/wait"
	"leverdrum/rate"
	"leverdrum/reason"
)

// observe records what an answer says of its server. An answer of another server at the address says nothing of this one.
func (j *job) observe(s *server, resp *http.Response) {
	d := &j.g.opts.Dialect
	if id := resp.Header.Get(d.ServerID); id != "" && id != s.name {
		return
	}
	j.g.opts.Pushback.Observe(s.id, j.id, d.ReadReport(resp.StatusCode, resp.Header, time.Now()))
}

// throttled reports whether the server's limit does not bear a sending now; it is passed over then (11).
func (j *job) throttled(ctx context.Context, s *server) bool {
	charge, refusal := j.g.opts.Throttle.Take(ctx, s.id, j.rank())
	j.borne = charge
	return refusal != nil
}

// unthrottle gives a sending back that did not leave.
func (j *job) unthrottle() {
	j.borne.Release()
	j.borne = rate.Charge{}
}

// allFull reports whether the limits of all servers that stay and take connections are used up, and when the first of
// them bears more.
func (j *job) allFull(list []*server) (after time.Duration, full bool) {
	if !j.g.opts.Throttle.Any() {
		return 0, false
	}
	now := time.Now()
	for _, s := range list {
		if _, leaves := s.parted(now); leaves || s.gone() || s.down(now) {
			continue
		}
		left, is := j.g.opts.Throttle.Full(s.id, j.rank())
		if !is {
			return 0, false
		}
		if !full || left < after {
			after, full = left, true
		}
	}
	return after, full
}

// resumeLook is the time between two looks for a server that goes on with a stream.
const resumeLook = 100 * time.Millisecond

// waitForLimit refuses a request that no server's limit bears. A stream that was begun waits: to break it off would lose what
// its caller has.
func (j *job) waitForLimit(ctx context.Context, after time.Duration) *reason.Reason {
	j.after = after
	if !j.headed || j.left() < leastForModel || after > j.left() {
		return reason.ServersLimited
	}
	if !wait.For(ctx, min(after, resumeLook)) {
		return reason.ServersLimited
	}
	return nil
}

// limitFields say what decided where limits refused the request.
func (j *job) limitFields(outcome string) []zap.Field {
	if outcome != reason.ServersLimited.Code {
		return nil
	}
	fields := []zap.Field{zap.Duration("limit_bears_after", j.after), zap.Int("rank", j.rank())}
	list, why := j.candidates()
	if why != nil {
		return fields
	}
	for _, s := range list {
		if l := j.g.opts.Throttle.Limit(s.id); l != 0 {
			fields = append(fields, zap.String("limited", s.id), zap.Float64("limit", l.PerSecond()))
			break
		}
	}
	return fields
}
