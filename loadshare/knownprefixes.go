package loadshare

import (
	"maps"
	"time"
)

// maxKnownPrefixes bounds the prefixes that a box knows. A hub sends at most 9,000 in the longest lifetime.
const maxKnownPrefixes = 65_536

// knownPrefixes are the prefixes that a box was told are cached, each until it expires.
type knownPrefixes struct {
	entries map[uint64]knownPrefix // by prefixKey
	order   []prefixNumber         // by when they were received; superseded ones are skipped
	last    uint64                 // number of the latest entry
}

// knownPrefix is when a prefix expires, and the number of its place in the order.
type knownPrefix struct {
	expiresAt time.Duration
	number    uint64
}

type prefixNumber struct{ key, number uint64 }

func newKnownPrefixes() *knownPrefixes { return &knownPrefixes{entries: map[uint64]knownPrefix{}} }

// set adds a prefix, or replaces its lifetime.
func (k *knownPrefixes) set(now time.Duration, server, prefix uint32, ttl time.Duration) {
	k.last++
	key := prefixKey(server, prefix)
	k.entries[key] = knownPrefix{now + ttl, k.last}
	k.order = append(k.order, prefixNumber{key, k.last})
	k.trim(now)
}

// trim removes the oldest entries while they have expired or are too many.
func (k *knownPrefixes) trim(now time.Duration) {
	n := 0
	for _, o := range k.order {
		e, known := k.entries[o.key]
		if known && e.number == o.number {
			if now <= e.expiresAt && len(k.entries) <= maxKnownPrefixes {
				break
			}
			delete(k.entries, o.key)
		}
		n++
	}
	k.order = k.order[n:] // append moves the rest when it needs space
	if len(k.order) > 2*maxKnownPrefixes {
		k.compact()
	}
}

// compact removes superseded entries from the order.
func (k *knownPrefixes) compact() {
	kept := make([]prefixNumber, 0, len(k.entries))
	for _, o := range k.order {
		if k.entries[o.key].number == o.number {
			kept = append(kept, o)
		}
	}
	k.order = kept
}

// has reports whether a prefix is known to be cached.
func (k *knownPrefixes) has(now time.Duration, server, prefix uint32) bool {
	e, known := k.entries[prefixKey(server, prefix)]
	return known && now <= e.expiresAt
}

// forget drops the servers that are not in the catalog.
func (k *knownPrefixes) forget(c *catalog) {
	maps.DeleteFunc(k.entries, func(key uint64, _ knownPrefix) bool { return !c.has(uint32(key >> 32)) })
}
