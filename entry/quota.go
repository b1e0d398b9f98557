package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"leverdrum/dialect"
	"leverdrum/meter"
	"leverdrum/rate"
	"leverdrum/reason"
	"leverdrum/workspace"
)

// usageOf reads what a request says of its tokens; most is the most that may be produced, by its body, 0 where that
// does not tell.
func usageOf(r *http.Request, most int) workspace.Usage {
	told := dialect.Native.Usage(r.Header)
	if most <= 0 || told.Known && r.Header.Get(dialect.Native.MaxTokens) != "" {
		return told
	}
	return workspace.NewUsage(told.Tokens, float64(most))
}

// tryWithinQuota makes the attempts of a request that its workspace's quota admits. The weight of one that did not run is
// given back.
func (e *Entry) tryWithinQuota(ctx context.Context, j *job) result {
	if j.owner == nil || e.opts.Quotas == nil {
		return e.try(ctx, j)
	}
	charge, refusal := e.opts.Quotas.Take(ctx, rate.Key{Name: j.owner.Name}, j.owner.Quota.Limit(), j.owner.Quota.Weigh(j.usage))
	if refusal != nil {
		e.opts.Meters.CountWorkspace(j.owner.Name, workspace.RefusalReason(refusal).Code)
		return refusedByQuota(refusal)
	}
	e.opts.Meters.CountWorkspace(j.owner.Name, meter.Permitted)
	res := e.try(ctx, j)
	if res.why != nil && res.why.Outcome == reason.NotRun {
		charge.Release()
	}
	return res
}

func refusedByQuota(r *rate.Refusal) result {
	why := workspace.RefusalReason(r)
	if why != reason.OverQuota {
		return result{why: why}
	}
	// Callers of one workspace come back apart from each other.
	return result{why: why, after: r.RetryAfter + time.Duration(rand.Int64N(int64(time.Second)))}
}
