package keyed

import (
	"time"

	"leverdrum/claim"
)

const (
	// firstPullInterval is the time between the first two requests for a slot. It doubles with each request, up to
	// maxPullInterval.
	firstPullInterval = 50 * time.Millisecond
	maxPullInterval   = 20 * time.Second
)

// pullBackoff reduces the rate of requests to holders that do not hand a slot over. Some never can: after many
// changes of the list of boxes at once, this box may have missed the epochs in between, and no holder was ready in
// the epoch that is requested. A new epoch, or a holder that has handed over, resets the backoff.
type pullBackoff map[int]*slotBackoff

type slotBackoff struct {
	epoch       uint64
	holderCount int // holders that have not handed over
	attempts    int
	nextAt      time.Duration // time of the next request
}

// due returns the pulls that are due now and counts them as attempted.
func (p pullBackoff) due(now time.Duration, pulls []claim.Pull) []claim.Pull {
	p.prune(pulls)
	var list []claim.Pull
	for _, pull := range pulls {
		backoff := p[pull.Slot]
		if backoff == nil || backoff.epoch != pull.Epoch || backoff.holderCount != len(pull.From) {
			backoff = &slotBackoff{epoch: pull.Epoch, holderCount: len(pull.From), nextAt: now}
			p[pull.Slot] = backoff
		}
		if now < backoff.nextAt {
			continue
		}
		backoff.nextAt = now + min(maxPullInterval, firstPullInterval<<min(backoff.attempts, 20))
		backoff.attempts++
		list = append(list, pull)
	}
	return list
}

// prune removes slots that have no pull pending any more.
func (p pullBackoff) prune(pulls []claim.Pull) {
	if len(p) <= len(pulls) {
		return
	}
	pending := map[int]bool{}
	for _, pull := range pulls {
		pending[pull.Slot] = true
	}
	for slot := range p {
		if !pending[slot] {
			delete(p, slot)
		}
	}
}

// untilNext returns the time until the next pull is due, at most limit.
func (p pullBackoff) untilNext(now, limit time.Duration) time.Duration {
	for _, backoff := range p {
		limit = min(limit, max(firstPullInterval, backoff.nextAt-now))
	}
	return limit
}
