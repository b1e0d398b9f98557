package consensus

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("consensus")

// Errors that a Node returns.
var (
	// ErrNotLeader: the node is not the leader, not yet ready to serve as one, or about to hand over.
	ErrNotLeader = Error.New("this member is not the leader")
	// ErrChangeInProgress: another change of the voters is not finished.
	ErrChangeInProgress = Error.New("a change of the voters is in progress")
	// ErrNoVoters: the requested configuration has no voters.
	ErrNoVoters = Error.New("a configuration needs at least one voter")
	// ErrCompactRange: the index is not committed yet, or already compacted.
	ErrCompactRange = Error.New("only committed entries after the last snapshot can be compacted")
)
