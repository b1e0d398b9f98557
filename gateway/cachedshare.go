package gateway

import "sync"

const (
	// defaultUncachedShare is the share of the tokens in shared parts that is assumed to need a prefill where
	// load is not shared, and before the first request of a model.
	defaultUncachedShare = 0.3
	// cachedShareRequests is the number of requests over which the share is taken.
	cachedShareRequests = 100
	// maxSharedTokens is the highest plausible number of tokens in shared parts. Callers state them.
	maxSharedTokens = 10_000_000
)

// cachedShares holds how much of the shared parts of prompts was cached at the chosen servers, by model.
type cachedShares struct {
	mu      sync.Mutex
	byModel map[string]*cachedShare
}

// cachedShare holds the latest requests of a model that had shared parts.
type cachedShare struct {
	requests      []foundTokens // a ring once it is full
	next          int           // index of the oldest request of a full ring
	shared, found int           // sums over the requests
}

type foundTokens struct{ shared, found int }

func newCachedShares() *cachedShares { return &cachedShares{byModel: map[string]*cachedShare{}} }

// record adds a request whose shared parts have the given number of tokens, of which found were cached.
func (c *cachedShares) record(model string, shared, found int) {
	if shared <= 0 || shared > maxSharedTokens {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.byModel[model]
	if s == nil {
		s = &cachedShare{}
		c.byModel[model] = s
	}
	added := foundTokens{shared, min(max(0, found), shared)}
	s.shared += added.shared
	s.found += added.found
	if len(s.requests) < cachedShareRequests {
		s.requests = append(s.requests, added)
		return
	}
	oldest := &s.requests[s.next]
	s.shared -= oldest.shared
	s.found -= oldest.found
	*oldest = added
	s.next = (s.next + 1) % cachedShareRequests
}

// uncached returns the share of the tokens in shared parts that the model's latest requests did not find
// cached.
func (c *cachedShares) uncached(model string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.byModel[model]
	if s == nil {
		return defaultUncachedShare
	}
	return float64(s.shared-s.found) / float64(s.shared)
}

// recordCachedShare records, at the first attempt, what part of the prompt was cached at its server or could be
// fetched by it.
func (j *job) recordCachedShare(c choice) {
	if j.load != nil && j.forKnownModel() {
		j.g.cachedShares.record(j.prompt.Model, sharedTokens(j.prompt), j.prompt.Tokens-c.prefillTokens)
	}
}

// expectedPrefill returns the milliseconds of prefill that the request needs at an average server.
func (j *job) expectedPrefill() float64 {
	shared, uncached := sharedTokens(j.prompt), defaultUncachedShare
	source := j.loadSource()
	if source != nil {
		uncached = j.g.cachedShares.uncached(j.prompt.Model)
	}
	perToken, _ := j.prefillTime(source)
	return perToken * (float64(j.prompt.Tokens-min(shared, j.prompt.Tokens)) + uncached*float64(shared))
}
