package control

import (
	"sync"
	"testing"
	"time"

	"leverdrum/state"
	"leverdrum/wire"
)

// Announcements and the check for unresponsive servers run on two goroutines. The check read the
// time of the last announcement without the lock. The race detector, which CI runs on this package,
// finds this.
func TestUnresponsiveCheckHoldsLock(t *testing.T) {
	c := New(Options{})
	view := state.New()
	var wg sync.WaitGroup
	wg.Go(func() {
		for n := range uint64(1000) {
			c.noteAnnouncement(&wire.Announcement{Id: "s", Sequence: n}, nil, view)
		}
	})
	for range 1000 {
		c.unresponsive("s", time.Minute)
	}
	wg.Wait()
}
