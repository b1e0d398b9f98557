package gateway

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"leverdrum/meter"
	"leverdrum/rate"
	"leverdrum/reason"
	"leverdrum/workspace"
)

// retryJitter is the maximum share, drawn at random, that is added to a Retry-After so that
// callers of one limit do not return together.
const retryJitter = 1.0

// chargeQuota charges the request to its workspace's quota. Where the quota refuses it, the reason
// is returned and the time to retry recorded.
func (j *job) chargeQuota(ctx context.Context) (rate.Charge, *reason.Reason) {
	if j.owner == nil || j.g.opts.Quotas == nil {
		return rate.Charge{}, nil
	}
	usage := j.g.opts.Dialect.Usage(j.r.Header)
	charge, denied := j.g.opts.Quotas.Take(ctx, rate.Key{Name: j.owner.Name}, j.owner.Quota.Limit(), j.owner.Quota.Weigh(usage))
	if denied == nil {
		j.g.opts.Meters.CountWorkspace(j.owner.Name, meter.Borne)
		return charge, nil
	}
	j.queueDelay = milliseconds(withJitter(denied.RetryAfter))
	j.refusal = denied
	refusal := workspace.RefusalReason(denied)
	if j.r.Context().Err() == nil { // otherwise the caller left while it waited
		j.g.opts.Meters.CountWorkspace(j.owner.Name, refusal.Code)
	}
	return charge, refusal
}

// quotaFields adds log fields for a request that a quota refused.
func (j *job) quotaFields() []zap.Field {
	if j.owner == nil {
		return nil
	}
	fields := []zap.Field{zap.String("workspace", j.owner.Name)}
	if j.refusal == nil {
		return fields
	}
	weight := j.owner.Quota.Weigh(j.g.opts.Dialect.Usage(j.r.Header))
	return append(fields, zap.Float64("weight", weight), zap.Float64("balance", j.refusal.Balance), zap.Duration("answer_age", j.refusal.Age))
}

// withJitter adds random jitter to a time to retry.
func withJitter(after time.Duration) time.Duration {
	return time.Duration(float64(after) * (1 + retryJitter*rand.Float64()))
}

// refundQuota returns the charge of a request that no server can have run.
func (j *job) refundQuota(charge rate.Charge) {
	if j.possibleRuns == 0 && !j.headSent {
		charge.Release()
	}
}
