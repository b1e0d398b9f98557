package workspace

import (
	"math"

	"leverdrum/rate"
	"leverdrum/reason"
)

// Unit is the unit of a quota.
type Unit string

// Units of a quota.
const (
	Requests Unit = "requests"
	Tokens   Unit = "tokens"
)

// Quota bounds what a workspace is served by all boxes together.
type Quota struct {
	Unit Unit
	// Rate is in units per second; 0 means no limit.
	Rate float64
	// Burst is what may be served beyond the rate, in units.
	Burst float64
	// DefaultTokens is the weight of a request without a count, in tokens.
	DefaultTokens float64
}

// Limit returns the limit for all boxes together, in the quota's unit.
func (q Quota) Limit() rate.Limit { return rate.Limit{PerSecond: q.Rate, Burst: q.Burst} }

// RefusalReason returns the reason that callers receive when a quota does not admit their request.
func RefusalReason(r *rate.Refusal) *reason.Reason {
	switch {
	case r.TooLarge:
		return reason.ExceedsQuota
	case r.Exhausted:
		return reason.OverQuota
	}
	return reason.QuotaUnknown
}

// Usage is the size of a request, as the request specifies it.
type Usage struct {
	// Tokens is the sum of the prompt tokens and the maximum of output tokens.
	Tokens float64
	// Known reports whether the request specifies valid counts.
	Known bool
}

// maxTokens bounds the weight of one request, in tokens: more than any server can process, and small enough for sums
// to stay exact.
const maxTokens = 1 << 40

// NewUsage returns the usage of a request with the given input and output counts (6).
func NewUsage(in, out float64) Usage {
	sum := in + out
	if math.IsNaN(sum) || in < 0 || out < 0 {
		return Usage{}
	}
	return Usage{Tokens: min(sum, maxTokens), Known: true}
}

// Weigh returns the weight of a request in the quota's unit (6).
func (q Quota) Weigh(u Usage) float64 {
	switch {
	case q.Unit != Tokens:
		return 1
	case u.Known:
		return u.Tokens
	}
	return q.DefaultTokens
}
