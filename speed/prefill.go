package speed

import (
	"cmp"
	"slices"
	"time"
)

// Rules of Prefill:
//
//  1. The time to the first event of an attempt without other prefill at its server, divided by the server's slowness, is a
//     fixed part that all models share, and the tokens to prefill times the time per token of the model.
//  2. The time per token is the median of the model's last modelSamples samples, less the fixed part. The weight of a sample
//     is the share of its expected time that its tokens take: errors are relative to the whole time, so that a short prompt
//     says little. Samples of fewer than minTokens tokens are left out.
//  3. The fixed part is a least-squares fit of the last fitSamples samples of all models, each with a time per token of its
//     own. Errors are relative to the expected time, and large ones count less: a request that the exchange did not show in
//     time makes a sample far too long. Where the samples say little, fixedPrior is assumed.
//  4. Samples with figures out of bounds are ignored. A model is forgotten after prefillTTL without a sample, and the one
//     without a sample for the longest time if there are more than maxModels.
const (
	modelSamples = 33
	// minEstimateSamples is the number of samples from which a time per token is given.
	minEstimateSamples = 3
	minTokens          = 300
	maxTokens          = 10_000_000
	maxPrefill         = 10 * time.Minute
	prefillTTL         = 10 * time.Minute
	// minPerToken and maxPerToken bound the time per token, maxFixed the fixed part.
	minPerToken = 500 * time.Nanosecond
	maxPerToken = time.Millisecond
	maxFixed    = 200 * time.Millisecond
	// fitSamples bounds the work of a fit; up to fitEachUntil samples it is repeated for each one, then for each fitEvery.
	fitSamples   = 256
	fitEachUntil = 64
	fitEvery     = 8
	fitSteps     = 6
	// fitTolerance is the relative error at which a sample counts half.
	fitTolerance = 0.25
	// fixedPrior counts as much as if it were known within 30 ms while single times are known within 10%:
	// (0.1 / 0.03 s) squared, in 1/s².
	fixedPrior       = 0.020
	fixedPriorWeight = 11.0
	// minExpected bounds the weight of samples with a short expected time, in seconds.
	minExpected = 0.001
)

// Prefill estimates prefill times at a server of average speed. It has no clock; it is not safe for concurrent use. Models
// are given by hashes of their names.
type Prefill struct {
	now    time.Duration
	models map[uint32]*prefillModel
	fit    []prefillSample // ring of the last fitSamples
	next   int             // place of the next sample in fit
	since  int             // samples since the last fit
	fixed  float64         // seconds
	fitted []*prefillModel // scratch of a fit
}

// prefillSample is a sample in tokens and seconds.
type prefillSample struct {
	model        *prefillModel
	tokens, took float64
}

// prefillModel is what is known of a model.
type prefillModel struct {
	recent   [modelSamples]prefillSample // ring; without the model
	count    int                         // samples of minTokens or more
	last     time.Duration
	perToken float64 // of the last fit, in seconds
	sums     fitSums
}

// fitSums are weighted sums of one model: of 1, tokens, times, tokens² and tokens x times.
type fitSums struct{ one, x, t, xx, xt float64 }

// NewPrefill returns a Prefill without samples.
func NewPrefill() *Prefill {
	return &Prefill{models: map[uint32]*prefillModel{}, fixed: fixedPrior}
}

// Add adds the time to the first event of an attempt for which a server of the given slowness prefilled tokens. It returns
// false if the figures are implausible (4).
func (p *Prefill) Add(now time.Duration, model uint32, tokens int, took time.Duration, slowness float64) bool {
	if tokens <= 0 || tokens > maxTokens || took <= 0 || took > maxPrefill || !(slowness >= minSlowness && slowness <= maxSlowness) {
		return false
	}
	x, t := float64(tokens), took.Seconds()/slowness // (1)
	if t > maxFixed.Seconds()+x*maxPerToken.Seconds() || tokens >= minTokens && t < x*minPerToken.Seconds() {
		return false
	}
	p.now = max(p.now, now)
	m := p.model(model)
	m.last = p.now
	if tokens >= minTokens { // (2)
		m.recent[m.count%modelSamples] = prefillSample{tokens: x, took: t}
		m.count++
	}
	p.addToFit(prefillSample{m, x, t})
	return true
}

func (p *Prefill) model(hash uint32) *prefillModel {
	m := p.models[hash]
	if m == nil {
		if len(p.models) >= maxModels {
			dropOldest(p.models, func(m *prefillModel) time.Duration { return m.last })
		}
		m = &prefillModel{}
		p.models[hash] = m
	}
	return m
}

// addToFit replaces the oldest sample of the fit, and fits again where that is due (3).
func (p *Prefill) addToFit(x prefillSample) {
	if len(p.fit) < fitSamples {
		p.fit = append(p.fit, x)
	} else {
		p.fit[p.next] = x
	}
	p.next = (p.next + 1) % fitSamples
	p.since++
	if len(p.fit) <= fitEachUntil || p.since >= fitEvery {
		p.since = 0
		p.fitFixed()
	}
}

// fitFixed computes the fixed part from the samples (3). It begins with the medians of the models, and weighs the samples
// by the errors of the step before.
func (p *Prefill) fitFixed() {
	p.fitted = p.fitted[:0]
	for _, s := range p.fit {
		if s.model.sums == (fitSums{}) {
			s.model.sums.one = 1 // is listed
			p.fitted = append(p.fitted, s.model)
			s.model.perToken = p.firstGuess(s)
		}
	}
	for range fitSteps {
		p.fitStep()
	}
	for _, m := range p.fitted {
		m.sums = fitSums{}
	}
}

// firstGuess returns the time per token with which the fit of the sample's model begins.
func (p *Prefill) firstGuess(s prefillSample) float64 {
	switch {
	case s.model.count > 0:
		return s.model.median(p.fixed)
	case s.model.perToken > 0:
		return s.model.perToken
	}
	return boundedPerToken((s.took - p.fixed) / s.tokens)
}

func (p *Prefill) fitStep() {
	for _, m := range p.fitted {
		m.sums = fitSums{}
	}
	for _, s := range p.fit {
		m := s.model
		expected := max(minExpected, p.fixed+m.perToken*s.tokens)
		off := (s.took/expected - 1) / fitTolerance
		w := 1 / (expected * expected * (1 + off*off))
		wx := w * s.tokens
		m.sums.one += w
		m.sums.x += wx
		m.sums.t += w * s.took
		m.sums.xx += wx * s.tokens
		m.sums.xt += wx * s.took
	}
	// The times per token are eliminated from the normal equations, which leaves one for the fixed part.
	weight, sum := fixedPriorWeight, fixedPriorWeight*fixedPrior
	for _, m := range p.fitted {
		weight += max(0, m.sums.one-m.sums.x*m.sums.x/m.sums.xx)
		sum += m.sums.t - m.sums.x*m.sums.xt/m.sums.xx
	}
	p.fixed = min(max(sum/weight, 0), maxFixed.Seconds())
	for _, m := range p.fitted {
		m.perToken = boundedPerToken((m.sums.xt - p.fixed*m.sums.x) / m.sums.xx)
	}
}

func boundedPerToken(seconds float64) float64 {
	return min(max(seconds, minPerToken.Seconds()), maxPerToken.Seconds())
}

// weighted is a value and its weight.
type weighted struct{ value, weight float64 }

// median returns the time per token of a model that has samples, in seconds (2).
func (m *prefillModel) median(fixed float64) float64 {
	var list [modelSamples]weighted
	n, total := min(m.count, modelSamples), 0.0
	for i, s := range m.recent[:n] {
		expected := fixed + max(m.perToken, minPerToken.Seconds())*s.tokens
		list[i] = weighted{(s.took - fixed) / s.tokens, s.tokens / expected}
		total += list[i].weight
	}
	slices.SortFunc(list[:n], func(a, b weighted) int { return cmp.Compare(a.value, b.value) })
	below := 0.0
	for i, w := range list[:n] {
		below += w.weight
		if below == total/2 && i+1 < n {
			return boundedPerToken((w.value + list[i+1].value) / 2)
		}
		if below >= total/2 {
			return boundedPerToken(w.value)
		}
	}
	return boundedPerToken(list[n-1].value)
}

// Fixed returns the part of the time to the first event that does not depend on the prompt.
func (p *Prefill) Fixed() time.Duration { return time.Duration(p.fixed * float64(time.Second)) }

// PerToken returns the prefill time of one token of a model; false with fewer than minEstimateSamples samples.
func (p *Prefill) PerToken(model uint32) (time.Duration, bool) {
	m := p.models[model]
	if m == nil || m.count < minEstimateSamples {
		return 0, false
	}
	return time.Duration(m.median(p.fixed) * float64(time.Second)), true
}

// Has reports whether samples of a model are kept.
func (p *Prefill) Has(model uint32) bool { return p.models[model] != nil }

// Models calls f with each model, in any order.
func (p *Prefill) Models(f func(model uint32)) {
	for hash := range p.models {
		f(hash)
	}
}

// Expire forgets the models that had no sample for prefillTTL, and returns them (4).
func (p *Prefill) Expire(now time.Duration) (expired []uint32) {
	for hash, m := range p.models {
		if now-m.last > prefillTTL {
			delete(p.models, hash)
			expired = append(expired, hash)
		}
	}
	return expired
}
