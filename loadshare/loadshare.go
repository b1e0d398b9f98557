// Package loadshare distributes to every box what all boxes have outstanding at each backend server, how fast
// the servers are, how long prefill takes, and which prefixes of prompts they have cached.
//
// docs/design/hard-load.md has the messages, their sizes and what happens when a part fails.
package loadshare

import "time"

// maxAge is the age of the last frame from the hub beyond which the load of other boxes counts as unknown. Trials with
// figures that were 200 ms old gained nothing over a box's own.
const maxAge = 300 * time.Millisecond

// Outstanding is the load of one backend server.
type Outstanding struct {
	// Prefill is the estimated prefill time of requests whose first event has not arrived, at the
	// speed of an average server.
	Prefill time.Duration
	// Running is the number of requests that have not ended.
	Running int
}

// Demand is what one request asks of a pool, or what became of it.
// Waiting is a change of what waits: positive when a request begins to wait in a box, and the same negative when it ends.
type Demand struct {
	Offered  time.Duration // estimated prefill time
	Admitted time.Duration
	Refused  int
	Late     int
	Waiting  time.Duration
}

// RankLoad is the demand of one rank of urgency in a pool, over all boxes.
type RankLoad struct {
	Offered, Admitted float64 // prefill time a second, in seconds
	Refused, Late     float64 // requests a second
	Waiting           float64 // prefill that waits in boxes, in seconds
}

// WorkspaceLoad is the demand of one workspace in one rank, over all boxes, in seconds of prefill time a second.
type WorkspaceLoad struct{ Offered, Admitted float64 }

// PoolLoad is the demand for a pool over all boxes.
type PoolLoad struct {
	Ranks map[int]RankLoad
	// Workspaces are by rank and name; those that are not listed or not known are summed under "".
	Workspaces map[int]map[string]WorkspaceLoad
}
