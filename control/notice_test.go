package control

import (
	"context"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"leverdrum/consensus"
	"leverdrum/event"
	"leverdrum/meter"
	"leverdrum/replica"
	"leverdrum/wal"
	"leverdrum/wire"
)

// singleVoterStorage is a storage that starts with a cluster of one.
type singleVoterStorage struct{ replica.MemoryStorage }

func (singleVoterStorage) Loaded() wal.Loaded {
	return wal.Loaded{HardState: &wire.HardState{Term: 1}, Snapshot: &wire.Snapshot{Index: 1, Term: 1, Config: &wire.Config{Voters: []string{"b/i"}}}}
}

// newUnlistedLeader returns a controller whose box leads a cluster of one and is not listed yet.
func newUnlistedLeader(t *testing.T) *Controller {
	c, _ := newStoppableLeader(t)
	return c
}

// newStoppableLeader returns a controller whose box is not listed, and a function that stops its replica: nothing is committed
// after it has returned.
func newStoppableLeader(t *testing.T) (c *Controller, stop func()) {
	r, err := replica.New(replica.Options{
		Core:    consensus.Options{ID: "b/i", ElectionMin: 200 * time.Millisecond, Heartbeat: 20 * time.Millisecond, Lease: 160 * time.Millisecond, Seed: 1},
		Storage: singleVoterStorage{}, Send: func(*wire.Message) {}, CompactAfter: 1000, Fatal: func(err error) { t.Error(err) }, Log: zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	stop = sync.OnceFunc(r.Close)
	t.Cleanup(stop)
	c = New(Options{Replica: r, Meters: meter.New(), Log: zap.NewNop()})
	NewWithT(t).Eventually(c.leads, 10*time.Second).Should(BeTrue())
	return c, stop
}

// newLeader returns a controller whose box is listed, with a server that announced itself.
func newLeader(t *testing.T) *Controller {
	c := newUnlistedLeader(t)
	listWithServer(t, c)
	return c
}

// listWithServer lists the box of a controller, and a server that announced itself.
func listWithServer(t *testing.T, c *Controller) {
	g := NewWithT(t)
	member := &wire.Member{Box: "b", Incarnation: "i", Process: "p"}
	join := func() error {
		_, err := c.propose(context.Background(), &wire.Command{Kind: &wire.Command_Join{Join: member}})
		return err
	}
	g.Eventually(join, 10*time.Second).Should(Succeed())
	announce := func() error {
		return c.Announce(context.Background(), &wire.Announcement{Id: "s", Sequence: 1, Address: "127.0.0.1:1"})
	}
	g.Eventually(announce, 10*time.Second).Should(Succeed())
}

// Notices arrive on the goroutines of other boxes' calls while the leadership changes.
func TestNoticesDuringLeadershipChange(t *testing.T) {
	c := newLeader(t)
	var wg sync.WaitGroup
	wg.Go(func() {
		for range 50 {
			c.setLeading(true)
		}
	})
	wg.Go(func() {
		for range 50 {
			_ = c.RecordNotice(context.Background(), &wire.Forward{Box: "b", Unreached: []string{"s"}}) // the test is about the race
		}
	})
	wg.Wait()
}

// One crash was committed seven times.
func TestCrashIsCommittedOnce(t *testing.T) {
	g := NewWithT(t)
	c := newLeader(t)
	lines, logged := observer.New(zap.InfoLevel)
	c.opts.Log = zap.New(lines)
	crash := func() {
		_ = c.RecordNotice(context.Background(), &wire.Forward{Box: "b", Refusing: []string{"s"}}) // the result shows in the state
	}
	unresponsive := func() bool { return c.opts.Replica.View().Announcements.Get("s").Silent }
	var wg sync.WaitGroup
	for range 20 {
		wg.Go(crash)
	}
	wg.Wait()
	g.Eventually(func() bool { crash(); return unresponsive() }, 10*time.Second).Should(BeTrue())
	g.Expect(logged.FilterMessage(event.ServerUnresponsive.Title).Len()).To(Equal(1))
}

// The same deterministically, without relying on 20 concurrent reports.
func TestSuspicionIsActedOnOnce(t *testing.T) {
	g := NewWithT(t)
	c := newLeader(t)
	now := time.Now()
	g.Expect(c.noteSuspicion("s", "b", 1, true, now)).To(BeTrue())
	g.Expect(c.noteSuspicion("s", "b", 1, true, now)).To(BeFalse())
	g.Expect(c.noteSuspicion("s", "other", 1, true, now)).To(BeFalse())
}

// When the lease lapsed for a moment, as in 1 of 15 runs under load, the report was used up without
// effect.
func TestUncommittedSuspicionIsRetried(t *testing.T) {
	g := NewWithT(t)
	c, stop := newStoppableLeader(t)
	listWithServer(t, c)
	g.Expect(c.noteSuspicion("s", "b", 1, true, time.Now())).To(BeTrue())
	stop()
	c.markUnresponsive(context.Background(), "s", zap.Skip())
	g.Expect(c.noteSuspicion("s", "b", 1, true, time.Now())).To(BeTrue())
}
