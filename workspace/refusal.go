package workspace

import (
	"time"

	"leverdrum/reason"
)

// Refusal says that a request cannot be borne now.
type Refusal struct {
	// After is when it had best come back.
	After time.Duration
	// Spent tells that the workspace has used its quota; else no allocator could be asked.
	Spent bool
	// TooLarge tells that the request alone is beyond what the quota bears in a window.
	TooLarge bool
	// Balance is what the box might have spent, Age how old the answer is that this rests on.
	Balance float64
	Age     time.Duration
}

// Reason is what callers are told.
func (r *Refusal) Reason() *reason.Reason {
	switch {
	case r.TooLarge:
		return reason.BeyondQuota
	case r.Spent:
		return reason.OverQuota
	}
	return reason.QuotaUnsure
}
