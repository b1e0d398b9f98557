package gateway

import (
	"container/list"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"leverdrum/dialect"
)

// maxKept bounds the parts that are remembered of one server.
const maxKept = 512

// kept remembers which prompt parts a server was lately sent by this box, the
// newest first. A part counts with all that stand before it, and for one model
// and adapter.
type kept struct {
	order *list.List // of uint64
	where map[uint64]*list.Element
}

func newKept() *kept { return &kept{order: list.New(), where: map[uint64]*list.Element{}} }

func (k *kept) has(key uint64) bool { return k.where[key] != nil }

func (k *kept) note(key uint64) {
	if e := k.where[key]; e != nil {
		k.order.MoveToFront(e)
		return
	}
	k.where[key] = k.order.PushFront(key)
	if k.order.Len() > maxKept {
		last := k.order.Back()
		k.order.Remove(last)
		delete(k.where, last.Value.(uint64))
	}
}

// chain names each part of a prompt together with all before it.
func chain(p dialect.Prompt) []uint64 {
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

// keptTokens returns how many tokens of the prompt the server has, as far as this
// box knows.
func (s *server) keptTokens(p dialect.Prompt, keys []uint64) (tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.kept == nil {
		return 0
	}
	for i, key := range keys {
		if !s.kept.has(key) {
			break
		}
		tokens += p.Parts[i].Tokens
	}
	return tokens
}

func (s *server) noteKept(keys []uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.kept == nil {
		s.kept = newKept()
	}
	for _, key := range keys {
		s.kept.note(key)
	}
}
