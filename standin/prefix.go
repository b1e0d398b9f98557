package standin

import (
	"encoding/json"
	"hash/fnv"
	"sync"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
)

// prefixes stands for an engine's cache of prompt prefixes: what a prompt shares
// with an earlier one, message by message, need not be read again.
type prefixes struct {
	perByte time.Duration
	mu      sync.Mutex
	kept    *lru.Cache[uint64, struct{}]
}

// newPrefixes returns a cache of so many messages' ends; reading one byte of a
// prompt takes perByte.
func newPrefixes(size int, perByte time.Duration) *prefixes {
	kept, err := lru.New[uint64, struct{}](max(1, size))
	if err != nil {
		panic(err)
	}
	return &prefixes{perByte: perByte, kept: kept}
}

// read returns how long the reading of a prompt takes, and keeps it.
func (p *prefixes) read(model string, messages []json.RawMessage) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := fnv.New64a()
	h.Write([]byte(model))
	took := time.Duration(0)
	cached := true
	for _, m := range messages {
		h.Write(m)
		if end := h.Sum64(); !cached || !p.kept.Contains(end) {
			cached = false
			took += time.Duration(len(m)) * p.perByte
			p.kept.Add(end, struct{}{})
		} else {
			p.kept.Get(end)
		}
	}
	return took
}
