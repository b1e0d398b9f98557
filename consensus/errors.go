package consensus

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("consensus")

// What a node answers instead of acting.
var (
	// ErrNotLeader: the node does not lead, or not yet, or not any more.
	ErrNotLeader = Error.New("this member does not lead")
	// ErrChangeInProgress: another change of the voters is not finished.
	ErrChangeInProgress = Error.New("a change of the voters is under way")
	// ErrNoVoters: a change to no voters at all was asked for.
	ErrNoVoters = Error.New("a configuration needs at least one voter")
	// ErrCompactRange: the index is not agreed yet, or already compacted.
	ErrCompactRange = Error.New("only the agreed log behind the last snapshot can be compacted")
)
