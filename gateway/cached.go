package gateway

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"leverdrum/dialect"
	"leverdrum/loadshare"
)

// choiceAt returns the choice of a server of the list with its work (5). source is the index of the
// server with the most cached tokens. Nothing is fetched from a server of another software version (16 in gateway.go).
func (w *criteria) choiceAt(list []*server, cached []int, source, i int) choice {
	c := choice{server: list[i]}
	available := cached[i]
	if list[source].version != c.server.version {
		source = largestOfVersion(list, cached, i)
	}
	if missing := cached[source] - available; w.fetchRate > 0 && missing >= minFetch {
		c.prefixSource = list[source]
		c.work = fetchSetup + float64(missing)*w.fetchRate
		c.fetchedTokens = missing
		available = cached[source]
	}
	c.overhead = w.overhead
	c.prefillTokens = w.prompt.Tokens - min(available, w.prompt.Tokens)
	c.work += float64(c.prefillTokens) * w.prefillRate
	return c
}

// minSharedPrefix is the least number of tokens of a prefix that boxes exchange.
const minSharedPrefix = 256

// prefixEnds returns how many tokens each prefix of a prompt has.
func prefixEnds(p dialect.Prompt) []int {
	ends := make([]int, len(p.Parts))
	tokens := 0
	for i, part := range p.Parts {
		tokens += part.Tokens
		ends[i] = tokens
	}
	return ends
}

// sharedPrefixes returns the range of the prefixes that boxes exchange: the shortest of at least
// minSharedPrefix tokens, without the whole prompt, whose last part is the request's own. Callers may list
// thousands of parts, and each prefix is looked up at each server.
func sharedPrefixes(ends []int) (first, end int) {
	end = max(0, len(ends)-1)
	for first < end && ends[first] < minSharedPrefix {
		first++
	}
	return first, min(end, first+loadshare.MaxPrefixesInUse)
}

// cachedTokensOf returns the number of cached prompt tokens for each server (2).
func cachedTokensOf(list []*server, w criteria) []int {
	cached := make([]int, len(list))
	if w.load != nil {
		ends := prefixEnds(w.prompt)
		first, end := sharedPrefixes(ends)
		for i, s := range list {
			cached[i] = s.cachedTokensShared(w, ends, first, end)
		}
		return cached
	}
	home := homeServer(list, w.keys)
	for i, s := range list {
		cached[i] = s.cachedTokens(w.prompt, w.keys)
		if cached[i] == 0 && s == home {
			cached[i] = sharedTokens(w.prompt)
		}
	}
	return cached
}

// cachedTokensShared returns the number of cached prompt tokens by this box's own requests and by those
// of the other boxes. The prefixes from first up to end may be known to other boxes.
func (s *server) cachedTokensShared(w criteria, ends []int, first, end int) int {
	own := s.longestPrefix(w.keys)
	for i := end - 1; i >= first && i > own; i-- {
		if w.load.HasPrefix(s.id, w.keys[i]) {
			return ends[i]
		}
	}
	if own < 0 {
		return 0
	}
	return ends[own]
}

// recordPrefixes reports to the other boxes which prefixes the server has cached since the attempt, and how
// many tokens that added to its cache.
func (j *job) recordPrefixes(c choice) {
	c.server.recordPrefixes(j.keys)
	if j.load == nil {
		return
	}
	capacity := 0
	if p := j.g.dir.table().pools[j.poolName]; p != nil && p.Kind != nil {
		capacity = p.Kind.CacheTokens
	}
	first, end := sharedPrefixes(prefixEnds(j.prompt))
	j.load.source.RecordPrefixes(c.server.id, j.keys[first:end], c.prefillTokens+c.fetchedTokens, capacity)
}

// largest returns the index of the server with the most cached tokens.
func largest(list []*server, cached []int) (index int) {
	for i := range list {
		if cached[i] > cached[index] {
			index = i
		}
	}
	return index
}

// largestOfVersion returns the index of the server with the most cached tokens among those of the software version of server i.
func largestOfVersion(list []*server, cached []int, i int) (index int) {
	index = i
	for k, s := range list {
		if s.version == list[i].version && cached[k] > cached[index] {
			index = k
		}
	}
	return index
}

// sharedTokens counts the tokens of the parts that other requests may share: all parts but the
// last.
func sharedTokens(p dialect.Prompt) (n int) {
	for i := range max(0, len(p.Parts)-1) {
		n += p.Parts[i].Tokens
	}
	return n
}

// homeServer returns the home server of rule 2.
func homeServer(list []*server, keys []uint64) *server {
	if len(keys) < 2 {
		return nil
	}
	shared := keys[len(keys)-2]
	var home *server
	var highest uint64
	for _, s := range list {
		if h := homeHash(shared, s); home == nil || h > highest {
			home, highest = s, h
		}
	}
	return home
}

// homeHash returns the hash by which the home server of shared parts is the highest.
func homeHash(shared uint64, s *server) uint64 {
	var pair [16]byte
	binary.LittleEndian.PutUint64(pair[:8], shared)
	binary.LittleEndian.PutUint64(pair[8:], s.hash)
	return xxhash.Sum64(pair[:])
}
