package gateway

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"

	"leverdrum/internal/attest"
	"leverdrum/internal/wait"
	"leverdrum/pushback"
	"leverdrum/reason"
)

// observe records the report in a response about its server. A response of another server at the
// same address is ignored.
func (g *Gateway) observe(s *server, request string, resp *http.Response, ruling attest.Ruling) {
	d := &g.opts.Dialect
	g.recordRuling(s, request, resp, ruling)
	if d.FromOtherServer(resp.Header, s.name) {
		return
	}
	g.opts.Pushback.Observe(s.id, request, d.ReadReport(resp.StatusCode, resp.Header, time.Now()))
}

// acquirePermit reports whether the server takes an attempt now (11).
func (j *job) acquirePermit(ctx context.Context, s *server) bool {
	permit, block := j.g.opts.Pushback.Acquire(ctx, s.id, j.rank())
	j.permit = permit
	return block == nil
}

// releasePermit releases the permit of an attempt that was never sent.
func (j *job) releasePermit() {
	j.permit.Release()
	j.permit = pushback.Permit{}
}

// allBlocked reports whether all servers that are up and not draining are at their limits or in
// backoff, and returns the block that ends first.
func (j *job) allBlocked(list []*server) (first pushback.Block, all bool) {
	if !j.g.opts.Pushback.Active() {
		return first, false
	}
	now := time.Now()
	for _, s := range list {
		if _, draining := s.drainingFor(now); draining || s.isReplaced() || s.down(now) {
			continue
		}
		block, blocked := j.g.opts.Pushback.Blocked(s.id, j.rank())
		if !blocked && j.g.dir.roomTaken(s, j.loadSource()) {
			block, blocked = pushback.Block{Reason: reason.ServersFull, RetryAfter: pushback.FullRetryAfter}, true
		}
		if !blocked {
			return first, false
		}
		if !all || block.RetryAfter < first.RetryAfter {
			first, all = block, true
		}
	}
	return first, all
}

// candidatesBlocked reports whether all candidates are at their limits or in backoff, and records
// when one takes the request.
func (j *job) candidatesBlocked() (*reason.Reason, bool) {
	list, refusal := j.candidates()
	if refusal != nil {
		return nil, false
	}
	first, all := j.allBlocked(list)
	if !all {
		return nil, false
	}
	j.retryAfter = first.RetryAfter
	return first.Reason, true
}

const (
	// maxFullWait and maxFullWaitShare, of the latency target, bound how long a request waits for room at brittle servers.
	maxFullWait      = 250 * time.Millisecond
	maxFullWaitShare = 0.25
	// fullPoll is the interval at which it looks for room.
	fullPoll = 10 * time.Millisecond
)

func (j *job) maxFullWait() time.Duration {
	if j.route.LatencyTarget == 0 {
		return maxFullWait
	}
	return min(maxFullWait, time.Duration(maxFullWaitShare*float64(j.route.LatencyTarget)))
}

// resumePoll is the interval between looks for a server to resume a stream.
const resumePoll = 100 * time.Millisecond

// waitForServer refuses a request that no server takes now. A stream that has started waits:
// aborting it would lose what its caller has received.
func (j *job) waitForServer(ctx context.Context, first pushback.Block) *reason.Reason {
	j.retryAfter = first.RetryAfter
	if first.Reason == reason.ServersFull && time.Since(j.arrived) < j.maxFullWait() && wait.For(ctx, fullPoll) {
		return nil
	}
	if !j.headSent || j.remaining() < minRemainingForModel || first.RetryAfter > j.remaining() {
		return first.Reason
	}
	if !wait.For(ctx, min(first.RetryAfter, resumePoll)) {
		return first.Reason
	}
	return nil
}

// blockFields adds log fields for a request that servers' limits or backoff refused.
func (j *job) blockFields(outcome string) []zap.Field {
	if outcome != reason.ServersLimited.Code && outcome != reason.ServersInBackoff.Code {
		return nil
	}
	fields := []zap.Field{zap.Duration("taken_after", j.retryAfter), zap.Int("rank", j.rank())}
	list, refusal := j.candidates()
	if refusal != nil {
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
