package replica

import (
	"leverdrum/wal"
	"leverdrum/wire"
)

// MemoryStorage is the storage of a box without a disk. It stores nothing: the
// core holds the log, and a restart makes the box a new member (rule 5.1 of
// package consensus).
type MemoryStorage struct{}

// Append stores nothing.
func (MemoryStorage) Append(*wire.Batch) error { return nil }

// SaveSnapshot stores nothing.
func (MemoryStorage) SaveSnapshot(*wire.Snapshot, *wire.HardState, []*wire.Entry) error { return nil }

// Reload does nothing: a member without a disk never withdraws.
func (MemoryStorage) Reload() error { return nil }

// Loaded returns an empty state.
func (MemoryStorage) Loaded() wal.Loaded { return wal.Loaded{} }

// HasCapacity returns true.
func (MemoryStorage) HasCapacity(int64) bool { return true }
