package replica

import "github.com/zeebo/errs"

// Error is the class of this package's errors.
var Error = errs.Class("replica")

// What a replica answers instead of a result.
var (
	// ErrNotLeader: this box does not lead; nothing was proposed.
	ErrNotLeader = Error.New("this box does not lead")
	// ErrOutcomeUnknown: the command may or may not become agreed.
	ErrOutcomeUnknown = Error.New("whether the command became agreed is not known")
	// ErrDiskFull: the data folder has no room; nothing was proposed.
	ErrDiskFull = Error.New("the data folder has no room")
	// ErrBusy: too much waits already; nothing was proposed.
	ErrBusy = Error.New("too many events wait")
)
