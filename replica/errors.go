package replica

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("replica")

// Errors that a Replica returns.
var (
	// ErrNotLeader: this box is not the leader; nothing was proposed.
	ErrNotLeader = Error.New("this box is not the leader")
	// ErrOutcomeUnknown: the command may or may not be committed.
	ErrOutcomeUnknown = Error.New("the outcome is unknown: the command may or may not be committed")
	// ErrDiskFull: the data folder is full; nothing was proposed.
	ErrDiskFull = Error.New("the data folder is full")
	// ErrBusy: the event queue is full; nothing was proposed.
	ErrBusy = Error.New("the event queue is full")
)
