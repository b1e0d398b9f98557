// Package cow implements a copy-on-write ordered map with cheap clones: a clone shares all unchanged nodes with its
// original, and a change copies only the path to the changed node.
package cow

import (
	"cmp"
	"iter"

	"github.com/tidwall/btree"
)

// Map is an ordered map. Any number of goroutines may read a map that is not being changed, also while a clone of it is
// being changed.
type Map[K, V any] struct {
	tree *btree.BTreeG[entry[K, V]]
}

type entry[K, V any] struct {
	key   K
	value V
}

// New returns an empty map in the natural order of its keys.
func New[K cmp.Ordered, V any]() *Map[K, V] { return NewFunc[K, V](cmp.Compare[K]) }

// NewFunc returns an empty map ordered by compare.
func NewFunc[K, V any](compare func(a, b K) int) *Map[K, V] {
	less := func(a, b entry[K, V]) bool { return compare(a.key, b.key) < 0 }
	return &Map[K, V]{btree.NewBTreeGOptions(less, btree.Options{NoLocks: true, Degree: degree})}
}

// degree limits a node to about twice as many entries. A change copies one node of each level.
const degree = 16

// Lookup returns the value of a key and whether the key is present.
func (m *Map[K, V]) Lookup(key K) (V, bool) {
	e, ok := m.tree.Get(entry[K, V]{key: key})
	return e.value, ok
}

// Get returns the value of a key, or the zero value.
func (m *Map[K, V]) Get(key K) V {
	v, _ := m.Lookup(key)
	return v
}

// Set sets the value of a key.
func (m *Map[K, V]) Set(key K, value V) { m.tree.Set(entry[K, V]{key, value}) }

// Delete removes a key.
func (m *Map[K, V]) Delete(key K) { m.tree.Delete(entry[K, V]{key: key}) }

// Len returns the number of keys.
func (m *Map[K, V]) Len() int { return m.tree.Len() }

// All iterates over the map in key order. The map must not be changed during the iteration.
func (m *Map[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		m.tree.Scan(func(e entry[K, V]) bool { return yield(e.key, e.value) })
	}
}

// From iterates over the map in key order, starting at the first key not less than the given one. The map must not be
// changed during the iteration.
func (m *Map[K, V]) From(key K) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		m.tree.Ascend(entry[K, V]{key: key}, func(e entry[K, V]) bool { return yield(e.key, e.value) })
	}
}

// Clone returns an independent copy.
func (m *Map[K, V]) Clone() *Map[K, V] { return &Map[K, V]{m.tree.IsoCopy()} }
