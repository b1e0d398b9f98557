package rate

import "time"

// Refusal is the reason why a limit does not admit a request now.
type Refusal struct {
	// RetryAfter is when the request should be retried.
	RetryAfter time.Duration
	// Exhausted reports that the limit is used up; if false, no allocator could be reached.
	Exhausted bool
	// TooLarge reports that the request alone exceeds what the limit admits in a window.
	TooLarge bool
	// Balance is what the box could have spent, Age the age of the response on which this refusal is based.
	Balance float64
	Age     time.Duration
}
