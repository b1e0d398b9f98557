package workspace

import (
	"math"

	"leverdrum/rate"
	"leverdrum/reason"
)

// Unit is what a quota is counted in.
type Unit string

// The units.
const (
	Requests Unit = "requests"
	Tokens   Unit = "tokens"
)

// Quota bounds what a workspace is served, over all boxes together.
type Quota struct {
	Unit Unit
	// Rate is in units a second; 0: no limit.
	Rate float64
	// Burst is what may be served beyond the rate, in units.
	Burst float64
	// DefaultTokens is what a request without a count weighs, in tokens.
	DefaultTokens float64
}

// Limit is what all boxes together keep to, in the quota's unit.
func (q Quota) Limit() rate.Limit { return rate.Limit{PerSecond: q.Rate, Burst: q.Burst} }

// RefusalReason is what callers are told where a quota does not bear their request.
func RefusalReason(r *rate.Refusal) *reason.Reason {
	switch {
	case r.TooLarge:
		return reason.BeyondQuota
	case r.Exhausted:
		return reason.OverQuota
	}
	return reason.QuotaUnsure
}

// Usage is what a request says of its size.
type Usage struct {
	// Tokens are those of the prompt and the most that may be produced.
	Tokens float64
	// Known reports whether the request says so in a way that can be read.
	Known bool
}

// maxTokens bounds what one request can weigh, in tokens: more than any server holds, and so little
// that sums of it stay exact.
const maxTokens = 1 << 40

// NewUsage makes the usage of a request from its two counts (6).
func NewUsage(in, out float64) Usage {
	sum := in + out
	if math.IsNaN(sum) || in < 0 || out < 0 {
		return Usage{}
	}
	return Usage{Tokens: min(sum, maxTokens), Known: true}
}

// Weigh returns what a request takes of the quota, in its unit (6).
func (q Quota) Weigh(u Usage) float64 {
	switch {
	case q.Unit != Tokens:
		return 1
	case u.Known:
		return u.Tokens
	}
	return q.DefaultTokens
}
