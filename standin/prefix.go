package standin

import (
	"encoding/json"
	"hash/fnv"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// prefixCache simulates a model server's cache of prompt prefixes. Messages that a prompt shares with the beginning of an
// earlier one need no prefill.
type prefixCache struct {
	perByte time.Duration
	mu      sync.Mutex
	ends    *lru.Cache[uint64, struct{}]
}

// newPrefixCache returns a cache of size prefix ends, one per message. The prefill of one prompt byte takes perByte.
func newPrefixCache(size int, perByte time.Duration) *prefixCache {
	ends, err := lru.New[uint64, struct{}](max(1, size))
	if err != nil {
		panic(err)
	}
	return &prefixCache{perByte: perByte, ends: ends}
}

// prefill returns the prefill time of a prompt and adds the prompt to the cache.
func (p *prefixCache) prefill(model string, messages []json.RawMessage) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := fnv.New64a()
	h.Write([]byte(model))
	duration := time.Duration(0)
	cached := true
	for _, m := range messages {
		h.Write(m)
		if end := h.Sum64(); !cached || !p.ends.Contains(end) {
			cached = false
			duration += time.Duration(len(m)) * p.perByte
			p.ends.Add(end, struct{}{})
		} else {
			p.ends.Get(end)
		}
	}
	return duration
}
