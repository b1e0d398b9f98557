// Package level defines feature levels. A level numbers features that all boxes must support before
// any of them uses them, so that builds of different levels derive the same state during an upgrade.
//
// Rules:
//
//  1. The active level is part of the replicated state and starts at 0. It changes only by a log
//     entry and never decreases.
//  2. Below a level, its features are not proposed, and committed entries are not interpreted by its
//     rules: the state at an index is the same for every build that supports the active level.
//  3. The leader raises the level once every listed box has reported, for a time set by operators,
//     that its build supports the next level. Until then operators can roll back to the previous
//     build. If no fleet file was ever active there is nothing to roll back, and the leader raises
//     the level immediately.
//  4. A disconnected box stays listed until it has been unresponsive for a minute. If it returns later
//     with a build below the active level, boxes that support the level reject it by name.
//  5. A box that receives an entry or a snapshot of a level that its build does not support stops,
//     since it cannot derive the same state as the others from there on.
package level

import "fmt"

// Level is a feature level.
type Level uint32

// Feature levels.
const (
	// First has the features of builds that predate levels.
	First Level = iota
	// Workspaces: INI fleet files may define workspaces. A configuration in which two workspaces have
	// the same key is rejected.
	Workspaces
	// ServerLimits: the limits that backend servers report are replicated.
	ServerLimits
	// ServerBackoffs: boxes report long backoffs requested by backend servers to the leader.
	ServerBackoffs
	// Evacuations: evacuated data halls, whose backend servers get no requests or loads, are replicated, and so is which
	// servers are warming up.
	Evacuations
	// SharedLoad: boxes exchange the load of backend servers (package loadshare).
	SharedLoad
	// Relays: boxes relay requests for others that cannot reach the backend servers.
	Relays
	// StreamOrigins: boxes exchange at which software version streams began (package origin).
	StreamOrigins
	// PromptParts: parts of prompts that crash backend servers are replicated, and blocked (package crasher).
	PromptParts
	// ProvisionalBlocks: the first block of a suspect is provisional while other servers terminate as well (package crasher).
	ProvisionalBlocks
	// SharedExposure: boxes report which requests run on, and so refute evidence against prompt parts that others report (package
	// crasher).
	SharedExposure
	// VersionHistory: the software versions of servers that have left are replicated for as long as callers may resume their
	// streams.
	VersionHistory
	// ConfirmedVersions: boxes ask each other whether a leader has confirmed what they know of software versions (package origin),
	// and report at which version streams wait for a model.
	ConfirmedVersions
	// end is one above the newest level.
	end
)

// Newest is the highest level that this build supports.
const Newest = end - 1

// descriptions describe the features of each level for operators.
var descriptions = [end]string{
	First:             "the replicated state of the first builds",
	Workspaces:        "workspaces in fleet files",
	ServerLimits:      "limits reported by backend servers",
	ServerBackoffs:    "long backoffs requested by backend servers",
	Evacuations:       "evacuations of data halls, and warm-up of servers",
	SharedLoad:        "load of backend servers exchanged between boxes",
	StreamOrigins:     "the software versions at which streams began, for callers who resume them at another box",
	PromptParts:       "prompt parts that crash backend servers are blocked",
	ProvisionalBlocks: "the first block of a suspected crasher is provisional while other servers terminate as well",
	SharedExposure:    "requests that run on refute evidence against their prompt parts that any box reports",
	VersionHistory:    "the software versions that services lately had, so that streams can be resumed after the loss of all boxes",
	ConfirmedVersions: "a stream is resumed at the only software version of its service once a leader has confirmed that there is no other",
	Relays:            "requests relayed for boxes that cannot reach the backend servers",
}

func (l Level) String() string {
	if l >= end {
		return fmt.Sprintf("level %d, which this build does not support", uint32(l))
	}
	return fmt.Sprintf("level %d (%s)", uint32(l), descriptions[l])
}
