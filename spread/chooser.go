package spread

import (
	"slices"
	"time"
)

// Rules for the choice of the box to ask:
//
//  1. The list begins with the tree's parent and the leader. The tree's parent is asked
//     until it fails.
//  2. A box that gave news is asked again, by its name, until it fails; one that is not
//     the tree's parent for preferAgain at most.
//  3. After a failure all of the list are asked in turn, and the leader between them at
//     each leaderTurn: whoever else has news has it from the leader.
//  4. Once all have failed the pause between two questions grows, so that boxes that no
//     leader can be found for do not keep each other busy. Word of another leader begins
//     the round anew: it is asked soon.
//  5. News may be the older the further a box is from the leader: when a link breaks,
//     the box below it looks for another parent, and those that ask through it wait for
//     it instead of all asking the leader.

const (
	// preferAgain is how long a box stays with another parent than the tree's (2).
	preferAgain = 10 * time.Second
	// leaderTurn is how many questions pass from one to the leader to the next (3).
	leaderTurn = 4
	// retryPause is the wait before the next parent is asked, retryLong that after all
	// have failed (4).
	retryPause = 50 * time.Millisecond
	retryLong  = 200 * time.Millisecond
	// staleFirst is the age of news at which a box that asks the leader looks for
	// another parent, staleStep what each box between them adds, staleMost the most (5).
	staleFirst = 1500 * time.Millisecond
	staleStep  = 500 * time.Millisecond
	staleMost  = 3 * time.Second
)

// chooser says which box of a list to ask next.
type chooser struct {
	parent string // gave news last; "": none since the last failure
	since  time.Time
	turn   int    // questions since one gave news last
	leader string // of the questions since, as far as it was known
}

// next returns whom to ask; the list must not be empty.
func (c *chooser) next(list []string, leader string, now time.Time) string {
	if leader != c.leader { // (4)
		c.leader, c.turn = leader, 0
	}
	if c.parent != "" && slices.Contains(list, c.parent) && (c.parent == list[0] || now.Sub(c.since) < preferAgain) {
		return c.parent // (1), (2)
	}
	if c.parent != "" {
		c.parent, c.turn = "", 0
	}
	if c.turn%leaderTurn == leaderTurn-1 && slices.Contains(list, leader) {
		return leader // (3)
	}
	return list[(c.turn-c.turn/leaderTurn)%len(list)]
}

// news notes that a box gave news.
func (c *chooser) news(box string, now time.Time) {
	if box != c.parent {
		c.parent, c.since = box, now
	}
	c.turn = 0
}

// failed notes that a box gave none.
func (c *chooser) failed(box string, list []string) {
	if box != c.parent {
		c.turn++
		return
	}
	c.parent, c.turn = "", 0
	if box == list[0] {
		c.turn = 1
	}
}

// pause is the wait before the next question (4).
func (c *chooser) pause(list []string) time.Duration {
	if c.turn-c.turn/leaderTurn > len(list) {
		return retryLong
	}
	return retryPause
}

// stale reports whether news of an age is too old for a box that has it by way of so
// many others (5).
func stale(age time.Duration, boxes int) bool {
	return age > min(staleMost, staleFirst+staleStep*time.Duration(max(0, boxes-1)))
}
