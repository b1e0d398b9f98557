// Package level numbers what all boxes must know before any of them acts on it, so that builds of
// different levels agree on the same state while one replaces the other.
//
// Rules:
//
//  1. The level in force is part of the agreed state, 0 at first. It changes by an entry of the log
//     alone, and never back.
//  2. What a level brings is not proposed, and what is agreed is not read by it, below that level: a
//     state at an index is the same for every build that knows the level in force.
//  3. The leader raises the level once every listed box says that its build knows the next one, and
//     has said so for a time that operators set: until then the build before can be brought back.
//     Where no fleet file was ever in force there is nothing to bring back, and it raises at once.
//  4. A box that is away is listed until it has been silent for a minute. One that comes back later
//     with a build below the level in force is refused by those that know it, by name.
//  5. A box that meets an entry, or a snapshot, of a level that its build does not know stops, since
//     it cannot hold the state that the others hold from there on.
package level

import "fmt"

// Level is a number of the table.
type Level uint32

// The levels.
const (
	// First is what a build without levels knows.
	First Level = iota
	// Workspaces: fleet files in INI may have workspaces, and a configuration in which two hold a key
	// is refused.
	Workspaces
	// ServerLimits: what backend servers name as their limits is agreed.
	ServerLimits
	// ServerBackoffs: boxes tell the leader of long rests that backend servers ask for.
	ServerBackoffs
	// Evacuations: data halls whose backend servers get nothing are agreed, and so is which servers warm up.
	Evacuations
	// end is behind the newest.
	end
)

// Newest is the newest level that this build knows.
const Newest = end - 1

// rows say what each level brought, for people.
var rows = [end]string{
	First:          "the agreed state of the first builds",
	Workspaces:     "workspaces in fleet files",
	ServerLimits:   "limits that backend servers name",
	ServerBackoffs: "long rests that backend servers ask for",
	Evacuations:    "evacuations of data halls, and servers that warm up",
}

func (l Level) String() string {
	if l >= end {
		return fmt.Sprintf("level %d, which this build does not know", uint32(l))
	}
	return fmt.Sprintf("level %d (%s)", uint32(l), rows[l])
}
