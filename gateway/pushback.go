package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"leverdrum/internal/wait"
	"leverdrum/pushback"
	"leverdrum/reason"
)

// observe records what an answer says of its server. An answer of another server at the address says nothing of this one.
func (j *job) observe(s *server, resp *http.Response) {
	d := &j.g.opts.Dialect
	if d.FromOtherServer(resp.Header, s.name) {
		return
	}
	j.g.opts.Pushback.Observe(s.id, j.id, d.ReadReport(resp.StatusCode, resp.Header, time.Now()))
}

// permitted reports whether the server takes an attempt now (11).
func (j *job) permitted(ctx context.Context, s *server) bool {
	permit, block := j.g.opts.Pushback.Acquire(ctx, s.id, j.rank())
	j.permit = permit
	return block == nil
}

// releasePermit gives back the permit of an attempt that was not sent.
func (j *job) releasePermit() {
	j.permit.Release()
	j.permit = pushback.Permit{}
}

// allBlocked reports whether all servers that stay and take connections are at their limits or rest, and which of them takes
// a request first.
func (j *job) allBlocked(list []*server) (first pushback.Block, all bool) {
	if !j.g.opts.Pushback.Active() {
		return first, false
	}
	now := time.Now()
	for _, s := range list {
		if _, leaves := s.parted(now); leaves || s.gone() || s.down(now) {
			continue
		}
		block, blocked := j.g.opts.Pushback.Blocked(s.id, j.rank())
		if !blocked {
			return first, false
		}
		if !all || block.RetryAfter < first.RetryAfter {
			first, all = block, true
		}
	}
	return first, all
}

// nowhere reports whether all servers that could take the request are at their limits or rest, and notes when one takes it.
func (j *job) nowhere() (*reason.Reason, bool) {
	list, why := j.candidates()
	if why != nil {
		return nil, false
	}
	first, all := j.allBlocked(list)
	if !all {
		return nil, false
	}
	j.after = first.RetryAfter
	return first.Reason, true
}

// resumeLook is the time between two looks for a server that goes on with a stream.
const resumeLook = 100 * time.Millisecond

// waitForServer refuses a request that no server takes now. A stream that was begun waits: to break it off would lose what
// its caller has.
func (j *job) waitForServer(ctx context.Context, first pushback.Block) *reason.Reason {
	j.after = first.RetryAfter
	if !j.headed || j.left() < minLeftForModel || first.RetryAfter > j.left() {
		return first.Reason
	}
	if !wait.For(ctx, min(first.RetryAfter, resumeLook)) {
		return first.Reason
	}
	return nil
}

// blockFields say what decided where servers' limits or rests refused the request.
func (j *job) blockFields(outcome string) []zap.Field {
	if outcome != reason.ServersLimited.Code && outcome != reason.ServersResting.Code {
		return nil
	}
	fields := []zap.Field{zap.Duration("taken_after", j.after), zap.Int("rank", j.rank())}
	list, why := j.candidates()
	if why != nil {
		return fields
	}
	for _, s := range list {
		if l := j.g.opts.Pushback.Limit(s.id); l != 0 {
			fields = append(fields, zap.String("limited", s.id), zap.Float64("limit", l.PerSecond()))
			break
		}
	}
	return fields
}
