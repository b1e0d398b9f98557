package spread

import (
	"slices"
	"time"
)

// Rules for choosing the parent to ask:
//
//  1. The list of candidates begins with the tree's parent and the leader. The tree's parent
//     is asked until it fails.
//  2. A box that gave an update is asked again, identified by name, until it fails. A box
//     other than the tree's parent is asked for alternateParentTTL at most.
//  3. After a failure all candidates are tried in order, with the leader in between at every
//     leaderInterval-th attempt, because all other boxes have their updates from the leader.
//  4. Once all have failed, the delay between two requests grows, so that boxes that cannot
//     find a leader do not overload each other. A report of another leader restarts the
//     round, so that the new leader is asked soon.
//  5. The limit on an update's age grows with the distance from the leader. When a link
//     breaks, the box below it looks for another parent, and the boxes that ask through it
//     wait for it instead of all asking the leader. Where servers must get no requests for
//     long after their leaving was acknowledged (Options.DrainingDuration), it is a share of
//     that time: the rest is for finding another parent (search.go).

const (
	// alternateParentTTL is how long a box keeps a parent other than the tree's (2).
	alternateParentTTL = 10 * time.Second
	// leaderInterval is the number of attempts from one request to the leader to the next
	// (3).
	leaderInterval = 4
	// retryDelay is the wait before the next parent is asked, longRetryDelay the wait after
	// all have failed (4).
	retryDelay     = 50 * time.Millisecond
	longRetryDelay = 200 * time.Millisecond
	// staleBase is the update age at which a box that asks the leader looks for another
	// parent, stalePerHop is added for each box in between, and maxStaleAge is the upper
	// bound (5).
	staleBase   = 1500 * time.Millisecond
	stalePerHop = 500 * time.Millisecond
	maxStaleAge = 3 * time.Second
)

const (
	// drainingBase and drainingPerHop are staleBase and stalePerHop as percentages of
	// Options.DrainingDuration, maxDrainingAge is their upper bound (5).
	drainingBase   = 35
	drainingPerHop = 8
	maxDrainingAge = 50
)

// staleLimit returns the update age from which a box that received it over the given number of
// hops looks for another parent (5).
func (s *Distributor) staleLimit(hops int) time.Duration {
	limit := staleLimit(hops)
	if d := s.opts.DrainingDuration; d > 0 {
		limit = min(limit, d*time.Duration(min(maxDrainingAge, drainingBase+drainingPerHop*max(0, hops-1)))/100)
	}
	return limit
}

// parentChooser chooses the next box to ask from a list of candidates.
type parentChooser struct {
	parent      string // gave the last update; "": none since the last failure
	parentSince time.Time
	attempts    int    // requests since the last update
	leader      string // known leader during these attempts
}

// next returns the box to ask; candidates must not be empty.
func (c *parentChooser) next(candidates []string, leader string, now time.Time) string {
	if leader != c.leader { // (4)
		c.leader, c.attempts = leader, 0
	}
	if c.parent != "" && slices.Contains(candidates, c.parent) && (c.parent == candidates[0] || now.Sub(c.parentSince) < alternateParentTTL) {
		return c.parent // (1), (2)
	}
	if c.parent != "" {
		c.parent, c.attempts = "", 0
	}
	if c.attempts%leaderInterval == leaderInterval-1 && slices.Contains(candidates, leader) {
		return leader // (3)
	}
	return candidates[(c.attempts-c.attempts/leaderInterval)%len(candidates)]
}

// recordSuccess records that a box gave an update.
func (c *parentChooser) recordSuccess(box string, now time.Time) {
	if box != c.parent {
		c.parent, c.parentSince = box, now
	}
	c.attempts = 0
}

// recordFailure records that a box gave no update.
func (c *parentChooser) recordFailure(box string, candidates []string) {
	if box != c.parent {
		c.attempts++
		return
	}
	c.parent, c.attempts = "", 0
	if box == candidates[0] {
		c.attempts = 1
	}
}

// delay returns the wait before the next request (4).
func (c *parentChooser) delay(candidates []string) time.Duration {
	if c.attempts-c.attempts/leaderInterval > len(candidates) {
		return longRetryDelay
	}
	return retryDelay
}

// isStale reports whether an update of the given age is too old for a box that received it
// over the given number of hops (5).
func isStale(age time.Duration, hops int) bool { return age > staleLimit(hops) }

func staleLimit(hops int) time.Duration {
	return min(maxStaleAge, staleBase+stalePerHop*time.Duration(max(0, hops-1)))
}
