package gateway

import (
	"math"
	"sync"
)

// Rules for the time that a model takes to read a token of a prompt, which models of the
// same size differ in several times over:
//
//  1. It is learned by model from what answers show: the time to the first event, less
//     what is not reading (firstBase), over the tokens that the server had not kept.
//  2. Most first events waited for something else as well, so a low quantile of these
//     is taken, followed by steps: a value below moves the estimate down by a large
//     step, one above up by a small one.
//  3. Short prompts tell nothing of reading (leastTold).
//
// Choice, demand and so placement reckon in this time. With one rate for all models the
// slow ones seemed too light and the fast ones too heavy, by up to eight times.

const (
	// readFirst is the time in milliseconds to read a token that is assumed of a model
	// before its first answer.
	readFirst = 1 / 38.0
	// readQuantile is the quantile that is followed, and readStep the factor, as a
	// logarithm, of a step at the quantile 1.
	readQuantile = 0.15
	readStep     = 0.15
	// minRead and maxRead bound the estimate, in milliseconds a token.
	minRead = 0.0005
	maxRead = 1.0
	// firstBase is the time in milliseconds to the first event without any reading.
	firstBase = 14.0
	// leastTold is how many unread tokens a prompt must have to tell anything.
	leastTold = 300
)

// reading learns how long models take to read.
type reading struct {
	mu    sync.Mutex
	token map[string]float64 // milliseconds, by model
}

func newReading() *reading { return &reading{token: map[string]float64{}} }

// perToken returns the time in milliseconds that a model takes for a token.
func (r *reading) perToken(model string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v, ok := r.token[model]; ok {
		return v
	}
	return readFirst
}

// note takes in the time to a first event, in milliseconds from the attempt, of a prompt
// of which a server had so many tokens to read.
func (r *reading) note(model string, unread int, first float64) {
	if unread < leastTold { // (3)
		return
	}
	seen := max(0, first-firstBase) / float64(unread) // (1)
	r.mu.Lock()
	defer r.mu.Unlock()
	v, ok := r.token[model]
	if !ok {
		v = readFirst
	}
	step := readStep * readQuantile // (2)
	if seen < v {
		step = -readStep * (1 - readQuantile)
	}
	r.token[model] = min(maxRead, max(minRead, v*math.Exp(step)))
}
