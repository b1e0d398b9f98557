package replica

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"leverdrum/consensus"
	"leverdrum/wire"
)

// A box that does not vote woke up 50 times a second to look at a clock that means nothing
// to it.
func TestAMemberWithoutAVoteRests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, err := New(Options{
			Core:    consensus.Options{ID: "b/1", ElectionMin: 200 * time.Millisecond, Heartbeat: 20 * time.Millisecond, Lease: 160 * time.Millisecond, Seed: 1},
			Storage: MemoryStorage{}, Send: func(*wire.Message) {}, CompactAfter: 1000, Fatal: func(error) {}, Log: zap.NewNop(),
		})
		g.Expect(err).NotTo(HaveOccurred())
		defer r.Close()
		time.Sleep(time.Second)
		g.Expect(r.tickEvery()).To(Equal(restingTick))
		before := r.ticks.Load()
		time.Sleep(10 * time.Second)
		g.Expect(r.ticks.Load() - before).To(BeNumerically("<=", 10))
	})
}

// One that votes campaigns as soon as before.
func TestAVoterLooksAtTheClock(t *testing.T) {
	g := NewWithT(t)
	r := leader(t)
	g.Expect(r.tickEvery()).To(Equal(tick))
}
