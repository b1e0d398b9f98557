package replica

import (
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"leverdrum/consensus"
	"leverdrum/wire"
)

// slowDisk takes 5 ms to make a batch durable, and counts the batches.
type slowDisk struct {
	singleVoter
	batches *atomic.Int64
}

func (d slowDisk) Append(*wire.Batch) error {
	d.batches.Add(1)
	time.Sleep(5 * time.Millisecond)
	return nil
}

// A leader that proposed the orders of one decision one by one, each after the commit of
// the one before, loaded adapters that requests waited for a median of 3 s after the first.
func TestProposeAllSharesBatches(t *testing.T) {
	g := NewWithT(t)
	var batches atomic.Int64
	r, err := New(Options{
		Core:    consensus.Options{ID: "a/1", ElectionMin: 200 * time.Millisecond, Heartbeat: 20 * time.Millisecond, Lease: 160 * time.Millisecond, Seed: 1},
		Storage: slowDisk{batches: &batches}, Send: func(*wire.Message) {}, CompactAfter: 1000, Fatal: func(error) {}, Log: zap.NewNop(),
	})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(r.Close)
	g.Eventually(func() bool { _, held := r.Lease(); return held && r.Status().Established }, 10*time.Second).Should(BeTrue())
	const commands = 40
	var list []*wire.Command
	for i := range commands {
		list = append(list, &wire.Command{Kind: &wire.Command_Join{Join: &wire.Member{Box: fmt.Sprint("b", i), Incarnation: "1"}}})
	}
	before := batches.Load()
	first := r.View().Index
	for i, o := range r.ProposeAll(t.Context(), list) {
		g.Expect(o.Err).NotTo(HaveOccurred())
		g.Expect(r.View().Roster[i].Member).To(Equal(fmt.Sprint("b", i, "/1")), "in order")
	}
	g.Expect(r.View().Index - first).To(BeEquivalentTo(commands))
	g.Expect(batches.Load() - before).To(BeNumerically("<=", commands/4))
}
