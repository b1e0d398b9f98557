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

// comeBackSpread is the part, added by chance, by which callers of one limit come back apart from each other.
const comeBackSpread = 1.0

// chargeQuota asks the workspace's quota to admit the request; otherwise it says why not, and when to come back.
func (j *job) chargeQuota(ctx context.Context) (rate.Charge, *reason.Reason) {
	if j.owner == nil || j.g.opts.Quotas == nil {
		return rate.Charge{}, nil
	}
	usage := j.g.opts.Dialect.Usage(j.r.Header)
	charge, refusal := j.g.opts.Quotas.Take(ctx, rate.Key{Name: j.owner.Name}, j.owner.Quota.Limit(), j.owner.Quota.Weigh(usage))
	if refusal == nil {
		j.g.opts.Meters.CountWorkspace(j.owner.Name, meter.Borne)
		return charge, nil
	}
	j.behind = milliseconds(spreadAfter(refusal.RetryAfter))
	j.refusal = refusal
	why := workspace.RefusalReason(refusal)
	if j.r.Context().Err() == nil { // else the caller left while it waited
		j.g.opts.Meters.CountWorkspace(j.owner.Name, why.Code)
	}
	return charge, why
}

// quotaFields say what decided where a quota refused the request.
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

// spreadAfter spreads a time to come back.
func spreadAfter(after time.Duration) time.Duration {
	return time.Duration(float64(after) * (1 + comeBackSpread*rand.Float64()))
}

// refundQuota gives back the weight of a request that no server can have run.
func (j *job) refundQuota(charge rate.Charge) {
	if j.runs == 0 && !j.headed {
		charge.Release()
	}
}
