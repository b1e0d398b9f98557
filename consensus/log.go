package consensus

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"leverdrum/wire"
)

// log holds the entries after the newest snapshot, and the configurations
// among them.
type log struct {
	snapshot *wire.Snapshot
	entries  []*wire.Entry
	configs  []indexedConfig
}

type indexedConfig struct {
	index  uint64
	config *wire.Config
}

var noConfig = &wire.Config{}

func (l *log) init(snapshot *wire.Snapshot, entries []*wire.Entry) {
	l.snapshot = snapshot
	l.entries = nil
	l.configs = nil
	for _, e := range entries {
		if e.Index > l.lastIndex() {
			l.append(e)
		}
	}
}

func (l *log) snapshotIndex() uint64 { return l.snapshot.GetIndex() }

func (l *log) lastIndex() uint64 { return l.snapshotIndex() + uint64(len(l.entries)) }

func (l *log) lastTerm() uint64 { return l.term(l.lastIndex()) }

// term returns the term at an index, or 0 if the log no longer or does not yet hold it.
func (l *log) term(index uint64) uint64 {
	if index == l.snapshotIndex() {
		return l.snapshot.GetTerm()
	}
	if index < l.snapshotIndex() || index > l.lastIndex() {
		return 0
	}
	return l.at(index).Term
}

func (l *log) at(index uint64) *wire.Entry { return l.entries[index-l.snapshotIndex()-1] }

// from returns the entries from an index on.
func (l *log) from(index uint64) []*wire.Entry {
	if index <= l.snapshotIndex() {
		return l.entries
	}
	if index > l.lastIndex() {
		return nil
	}
	return l.entries[index-l.snapshotIndex()-1:]
}

// batch returns entries from an index on whose data fits into limit bytes, but at
// least one if there is any.
func (l *log) batch(index uint64, limit int) []*wire.Entry {
	all := l.from(index)
	size := 0
	for i, e := range all {
		size += len(e.Data)
		if i > 0 && size > limit {
			return slices.Clone(all[:i])
		}
	}
	return slices.Clone(all)
}

func (l *log) append(e *wire.Entry) {
	l.entries = append(l.entries, e)
	if e.Kind != wire.EntryKind_ENTRY_CONFIG {
		return
	}
	c := &wire.Config{}
	if err := proto.Unmarshal(e.Data, c); err != nil {
		panic("consensus: cannot decode a configuration entry: " + err.Error())
	}
	l.configs = append(l.configs, indexedConfig{e.Index, c})
}

// truncate drops the entries from an index on.
func (l *log) truncate(index uint64) {
	l.entries = slices.Clone(l.entries[:index-l.snapshotIndex()-1])
	l.configs = slices.DeleteFunc(l.configs, func(c indexedConfig) bool { return c.index >= index })
}

func (l *log) compact(index uint64, state []byte) {
	snapshot := &wire.Snapshot{Index: index, Term: l.term(index), Config: l.configAt(index), State: state}
	l.entries = slices.Clone(l.from(index + 1))
	l.snapshot = snapshot
	l.configs = slices.DeleteFunc(l.configs, func(c indexedConfig) bool { return c.index <= index })
}

// config returns the newest configuration.
func (l *log) config() *wire.Config { return l.configAt(l.lastIndex()) }

func (l *log) configAt(index uint64) *wire.Config {
	for _, c := range slices.Backward(l.configs) {
		if c.index <= index {
			return c.config
		}
	}
	if c := l.snapshot.GetConfig(); c != nil {
		return c
	}
	return noConfig
}

// configsAfter returns the configurations after an index.
func (l *log) configsAfter(index uint64) []*wire.Config {
	var list []*wire.Config
	for _, c := range l.configs {
		if c.index > index {
			list = append(list, c.config)
		}
	}
	return list
}

func (l *log) configIndex() uint64 {
	if len(l.configs) == 0 {
		return l.snapshotIndex()
	}
	return l.configs[len(l.configs)-1].index
}

// sortedKeys returns the keys in order, so that effects do not depend on map order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }
