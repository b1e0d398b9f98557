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

// usageOf reads a request's token usage from its headers. maxTokens is the output limit in the body, 0
// if it names none.
func usageOf(r *http.Request, maxTokens int) workspace.Usage {
	usage := dialect.Native.Usage(r.Header)
	if maxTokens <= 0 || usage.Known && r.Header.Get(dialect.Native.MaxTokens) != "" {
		return usage
	}
	return workspace.NewUsage(usage.Tokens, float64(maxTokens))
}

// tryWithinQuota makes the attempts of a request that its workspace's quota admits. The charge is
// released if the request did not run.
func (e *Entry) tryWithinQuota(ctx context.Context, j *job) result {
	if j.owner == nil || e.opts.Quotas == nil {
		return e.runAttempts(ctx, j)
	}
	charge, refusal := e.opts.Quotas.Take(ctx, rate.Key{Name: j.owner.Name}, j.owner.Quota.Limit(), j.owner.Quota.Weigh(j.usage))
	if refusal != nil {
		e.opts.Meters.CountWorkspace(j.owner.Name, workspace.RefusalReason(refusal).Code)
		return newQuotaRefusal(refusal)
	}
	e.opts.Meters.CountWorkspace(j.owner.Name, meter.Permitted)
	res := e.runAttempts(ctx, j)
	if res.why != nil && res.why.Outcome == reason.NotRun {
		charge.Release()
	}
	return res
}

func newQuotaRefusal(r *rate.Refusal) result {
	why := workspace.RefusalReason(r)
	if why != reason.OverQuota {
		return result{why: why}
	}
	// Retry delays are spread at random, so that callers of one workspace do not return at the same
	// time.
	return result{why: why, retryAfter: r.RetryAfter + time.Duration(rand.Int64N(int64(time.Second)))}
}
