package spread

import (
	"slices"
	"time"
)

// maxConfirmations bounds the states of which it is kept when a leader confirmed them.
const maxConfirmations = 64

// confirmations has when a leader last confirmed that an index was the newest, by index, in rising order.
type confirmations []confirmation

type confirmation struct {
	index uint64
	at    time.Duration // on the replica's clock
}

func (c *confirmations) add(index uint64, at time.Duration) {
	i, found := slices.BinarySearchFunc(*c, index, func(c confirmation, index uint64) int { return int(c.index) - int(index) })
	if found {
		(*c)[i].at = max((*c)[i].at, at)
		return
	}
	*c = slices.Insert(*c, i, confirmation{index, at})
	if len(*c) > maxConfirmations {
		*c = slices.Delete(*c, 0, 1)
	}
}

// ConfirmedAge returns how long ago a leader last confirmed that there was nothing newer than an index, false if that is not known.
// What this box learned after that index was committed since then.
func (s *Distributor) ConfirmedAge(index uint64) (time.Duration, bool) {
	now := s.opts.Replica.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range slices.Backward(s.confirmations) {
		if c.index <= index {
			return now - c.at, true
		}
	}
	return 0, false
}
