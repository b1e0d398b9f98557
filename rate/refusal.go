package rate

import "time"

// Refusal says that a limit does not admit a request now.
type Refusal struct {
	// RetryAfter is when it had best come back.
	RetryAfter time.Duration
	// Exhausted tells that the limit is used up; else no allocator could be asked.
	Exhausted bool
	// TooLarge tells that the request alone is beyond what the limit admits in a window.
	TooLarge bool
	// Balance is what the box might have spent, Age how old the answer is that this rests on.
	Balance float64
	Age     time.Duration
}
