package keyed

import (
	"time"

	"leverdrum/claim"
)

const (
	// askFirst is the time between the first two questions for a slot, askMost that
	// between later ones at most.
	askFirst = 50 * time.Millisecond
	askMost  = 20 * time.Second
)

// pace has holders that do not hand a slot over asked less and less often. Some never
// can: after so many changes of the list at once that epochs between were not heard of,
// nobody was ready in the epoch that is asked for. A change or a gain begins anew.
type pace map[int]*paced

type paced struct {
	epoch uint64
	from  int // how many have not handed over
	asked int
	at    time.Duration // when to ask next
}

// due returns those of the pulls that are to be made now, and counts them as made.
func (p pace) due(now time.Duration, pulls []claim.Pull) []claim.Pull {
	p.forget(pulls)
	var list []claim.Pull
	for _, pull := range pulls {
		x := p[pull.Slot]
		if x == nil || x.epoch != pull.Epoch || x.from != len(pull.From) {
			x = &paced{epoch: pull.Epoch, from: len(pull.From), at: now}
			p[pull.Slot] = x
		}
		if now < x.at {
			continue
		}
		x.at = now + min(askMost, askFirst<<min(x.asked, 20))
		x.asked++
		list = append(list, pull)
	}
	return list
}

// forget drops slots that there is nothing to pull for any more.
func (p pace) forget(pulls []claim.Pull) {
	if len(p) <= len(pulls) {
		return
	}
	still := map[int]bool{}
	for _, pull := range pulls {
		still[pull.Slot] = true
	}
	for slot := range p {
		if !still[slot] {
			delete(p, slot)
		}
	}
}

// next returns how long it is until something is due, most at the most.
func (p pace) next(now, most time.Duration) time.Duration {
	for _, x := range p {
		most = min(most, max(askFirst, x.at-now))
	}
	return most
}
