package replica

import (
	"leverdrum/wal"
	"leverdrum/wire"
)

// MemoryStorage is the storage of a box without a disk. It keeps nothing itself: the
// core holds the log, and a restart makes the box a new member (rule 5.1 of
// package consensus).
type MemoryStorage struct{}

// Append keeps nothing.
func (MemoryStorage) Append(*wire.Batch) error { return nil }

// SaveSnapshot keeps nothing.
func (MemoryStorage) SaveSnapshot(*wire.Snapshot, *wire.HardState, []*wire.Entry) error { return nil }

// Reload does nothing: the member never withdraws.
func (MemoryStorage) Reload() error { return nil }

// Loaded returns nothing.
func (MemoryStorage) Loaded() wal.Loaded { return wal.Loaded{} }

// HasCapacity is always there.
func (MemoryStorage) HasCapacity(int64) bool { return true }
