package replica

import (
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"leverdrum/consensus"
	"leverdrum/wal"
	"leverdrum/wire"
)

type aloneStorage struct{ MemoryStorage }

func (aloneStorage) Loaded() wal.Loaded {
	return wal.Loaded{Hard: &wire.HardState{Term: 1}, Snapshot: &wire.Snapshot{Index: 1, Term: 1, Config: &wire.Config{Voters: []string{"a/1"}}}}
}

// A machine that was suspended wakes up with the runtime's clock where it was. Another box may lead by then: the
// lease must be over before the first act, whatever the loop has seen of the time.
func TestALeaseIsOverOnceTheMachineHasSlept(t *testing.T) {
	g := NewWithT(t)
	start := time.Now()
	var slept atomic.Int64
	r, err := New(Options{
		Core:    consensus.Options{ID: "a/1", ElectionMin: 100 * time.Millisecond, Heartbeat: 20 * time.Millisecond, Lease: 80 * time.Millisecond, Seed: 1},
		Storage: aloneStorage{}, Send: func(*wire.Message) {}, CompactAfter: 100, Fatal: func(error) {}, Log: zap.NewNop(),
		Clock: func() time.Duration { return time.Since(start) + time.Duration(slept.Load()) },
	})
	g.Expect(err).NotTo(HaveOccurred())
	defer r.Close()
	lease := func() bool { _, held := r.Lease(); return held }
	g.Eventually(lease, 10*time.Second).Should(BeTrue())
	stopped, goOn := make(chan struct{}), make(chan struct{})
	g.Expect(r.post(func() { close(stopped); <-goOn })).To(BeTrue())
	<-stopped
	slept.Store(int64(5 * time.Second))
	held := lease()
	close(goOn)
	g.Expect(held).To(BeFalse())
	g.Eventually(lease, 10*time.Second).Should(BeTrue(), "once it has led anew")
}
