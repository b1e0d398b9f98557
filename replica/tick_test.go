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

// A box that does not vote must not wake up 50 times per second for clock ticks that have
// no effect on it.
func TestNonVoterTicksRarely(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, err := New(Options{
			Core:    consensus.Options{ID: "b/1", ElectionMin: 200 * time.Millisecond, Heartbeat: 20 * time.Millisecond, Lease: 160 * time.Millisecond, Seed: 1},
			Storage: MemoryStorage{}, Send: func(*wire.Message) {}, CompactAfter: 1000, Fatal: func(error) {}, Log: zap.NewNop(),
		})
		g.Expect(err).NotTo(HaveOccurred())
		defer r.Close()
		time.Sleep(time.Second)
		g.Expect(r.tickInterval()).To(Equal(idleTick))
		before := r.ticks.Load()
		time.Sleep(10 * time.Second)
		g.Expect(r.ticks.Load() - before).To(BeNumerically("<=", 10))
	})
}

// A voter keeps the short interval, so that it campaigns without delay.
func TestVoterTicksOften(t *testing.T) {
	g := NewWithT(t)
	r := startLeader(t)
	g.Expect(r.tickInterval()).To(Equal(tick))
}
