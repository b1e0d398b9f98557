package control

import (
	"sync"
	"testing"
	"time"

	"leverdrum/state"
	"leverdrum/wire"
)

// What a server says and the look at its silence come on two goroutines. The look read the time of the last word outside the
// lock: for the race detector, which CI runs on this package.
func TestSilenceIsLookedAtUnderTheLock(t *testing.T) {
	c := New(Options{})
	view := state.New()
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := range uint64(1000) {
			c.note(&wire.Announcement{Id: "s", Sequence: n}, nil, view)
		}
	})
	for range 1000 {
		c.silent("s", time.Minute)
	}
	wg.Wait()
}
