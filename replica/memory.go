package replica

import (
	"leverdrum/wal"
	"leverdrum/wire"
)

// Memory is the storage of a box without a disk. It keeps nothing itself: the
// core holds the log, and a restart makes the box a new member (rule 5.1 of
// package consensus).
type Memory struct{}

// Append keeps nothing.
func (Memory) Append(*wire.Batch) error { return nil }

// SaveSnapshot keeps nothing.
func (Memory) SaveSnapshot(*wire.Snapshot, *wire.HardState, []*wire.Entry) error { return nil }

// Reload does nothing: the member never withdraws.
func (Memory) Reload() error { return nil }

// Loaded returns nothing.
func (Memory) Loaded() wal.Loaded { return wal.Loaded{} }

// Room is always there.
func (Memory) Room(int64) bool { return true }
