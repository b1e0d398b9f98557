package gateway

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"leverdrum/dialect"
)

// maxPrefixes bounds the number of prefixes remembered for one server.
const maxPrefixes = 512

// prefixCache is an LRU set of the prompt prefixes that this box recently sent to a server. A
// prefix is identified by all parts up to its end, the model and the adapter.
type prefixCache struct {
	order    *list.List // of uint64, newest first
	elements map[uint64]*list.Element
}

func newPrefixCache() *prefixCache {
	return &prefixCache{order: list.New(), elements: map[uint64]*list.Element{}}
}

func (k *prefixCache) has(key uint64) bool { return k.elements[key] != nil }

func (k *prefixCache) record(key uint64) {
	if e := k.elements[key]; e != nil {
		k.order.MoveToFront(e)
		return
	}
	k.elements[key] = k.order.PushFront(key)
	if k.order.Len() > maxPrefixes {
		last := k.order.Back()
		k.order.Remove(last)
		delete(k.elements, last.Value.(uint64))
	}
}

// prefixKeys returns a key for each prefix of a prompt.
func prefixKeys(p dialect.Prompt) []uint64 {
	keys := make([]uint64, len(p.Parts))
	sum := xxhash.Sum64String(p.Model + "/" + p.Adapter)
	var pair [16]byte
	for i, part := range p.Parts {
		binary.LittleEndian.PutUint64(pair[:8], sum)
		binary.LittleEndian.PutUint64(pair[8:], part.ID)
		sum = xxhash.Sum64(pair[:])
		keys[i] = sum
	}
	return keys
}

// cachedTokens returns the number of prompt tokens that the server has cached, as far as this box
// knows.
func (s *server) cachedTokens(p dialect.Prompt, keys []uint64) (tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.prefixes == nil {
		return 0
	}
	for i, key := range keys {
		if !s.prefixes.has(key) {
			break
		}
		tokens += p.Parts[i].Tokens
	}
	return tokens
}

// longestPrefix returns the index of the longest prefix that the server has cached, as far as this box
// knows; -1: none. Of a prompt with more parts than are remembered of a server, only the longest prefixes
// are looked up.
func (s *server) longestPrefix(keys []uint64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.prefixes == nil {
		return -1
	}
	for i := len(keys) - 1; i >= max(0, len(keys)-maxPrefixes); i-- {
		if s.prefixes.has(keys[i]) {
			return i
		}
	}
	return -1
}

func (s *server) recordPrefixes(keys []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.prefixes == nil {
		s.prefixes = newPrefixCache()
	}
	for _, key := range keys {
		s.prefixes.record(key)
	}
}
