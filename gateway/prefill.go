package gateway

import (
	"math"
	"sync"
	"time"
)

// Rules for the prefill time per token, in which models of the same size differ several times
// over:
//
//  1. It is learned per model from responses: the time to the first event, less the part that is
//     no prefill (firstEventOverhead), divided by the tokens that the server had not cached.
//  2. Most first events waited for something else as well. The estimate therefore follows a low
//     quantile by stochastic steps: a sample below it decreases it by a large step, one above
//     increases it by a small one.
//  3. Short prompts carry no information about prefill (minPrefillTokens).
//  4. Where boxes share their load (LoadSource), the times that all boxes learned together apply
//     where they are known, and a box's own estimate elsewhere.
//  5. There a box does not assume that a prefix of which nothing is known is cached, although it may
//     be. Tokens of parts that other requests share are then no reason to decrease the estimate: they
//     were counted in samples whose servers had them cached, which reduced it to a fraction of the
//     true time.
//
// The choice of servers, demand and so placement use this time. With one rate for all models the
// slow ones appeared too light and the fast ones too heavy, by up to eight times.

const (
	// defaultPrefillRate is the assumed time in milliseconds to prefill a token before a model's
	// first response.
	defaultPrefillRate = 1 / 38.0
	// prefillQuantile is the quantile that is followed. prefillStep is the logarithm of the step
	// factor at quantile 1.
	prefillQuantile = 0.15
	prefillStep     = 0.15
	// minPrefillRate and maxPrefillRate bound the estimate, in milliseconds a token.
	minPrefillRate = 0.0005
	maxPrefillRate = 1.0
	// firstEventOverhead is the time in milliseconds to the first event without any prefill.
	firstEventOverhead = 14.0
	// minPrefillTokens is the least number of uncached tokens for which a sample is used.
	minPrefillTokens = 300
)

// prefillRates estimates the prefill time per token, by model.
type prefillRates struct {
	mu      sync.Mutex
	byModel map[string]float64 // milliseconds a token
}

func newPrefillRates() *prefillRates { return &prefillRates{byModel: map[string]float64{}} }

// perToken returns the prefill time of a model in milliseconds a token.
func (r *prefillRates) perToken(model string) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if v, ok := r.byModel[model]; ok {
		return v
	}
	return defaultPrefillRate
}

// record adds the time from the attempt to its first event, in milliseconds, for a prompt of which at
// least the tokens least, and at most the tokens most, were prefilled (5).
func (r *prefillRates) record(model string, least, most int, firstEvent float64) {
	if most < minPrefillTokens { // (3)
		return
	}
	prefill := max(0, firstEvent-firstEventOverhead) // (1)
	r.mu.Lock()
	defer r.mu.Unlock()
	v, ok := r.byModel[model]
	if !ok {
		v = defaultPrefillRate
	}
	var step float64 // (2)
	switch {
	case least >= minPrefillTokens && prefill/float64(least) < v:
		step = -prefillStep * (1 - prefillQuantile)
	case prefill/float64(most) >= v:
		step = prefillStep * prefillQuantile
	default:
		return
	}
	r.byModel[model] = min(maxPrefillRate, max(minPrefillRate, v*math.Exp(step)))
}

// prefillTime returns the milliseconds in which an average server prefills one token of the request's
// model, and those of the time to the first event that do not depend on the prompt; 0: not known (4).
func (j *job) prefillTime(source LoadSource) (perToken, overhead float64) {
	if source != nil {
		if token, fixed, ok := source.PrefillTime(j.prompt.Model); ok {
			return milliseconds(token), milliseconds(fixed)
		}
	}
	return j.g.prefillRates.perToken(j.prompt.Model), 0
}

// recordPrefillTime adds the time to the first event of an attempt to this box's own estimate.
func (j *job) recordPrefillTime(c choice, took time.Duration) {
	if c.prefixSource != nil || !j.forKnownModel() {
		return
	}
	least := c.prefillTokens
	if j.load != nil {
		least = min(least, j.prompt.Tokens-sharedTokens(j.prompt)) // (5)
	}
	j.g.prefillRates.record(j.prompt.Model, least, c.prefillTokens, atAverageSpeed(milliseconds(took), c.slowness))
}

// atAverageSpeed returns the time in milliseconds to the first event that an average server would have
// needed instead of one with the given slowness; 0: unknown. The rates are those of an average server.
func atAverageSpeed(firstEvent, slowness float64) float64 {
	if slowness <= 0 {
		return firstEvent
	}
	return firstEventOverhead + (firstEvent-firstEventOverhead)/slowness
}
