package spread

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"leverdrum/consensus"
	"leverdrum/replica"
	"leverdrum/wire"
)

// Guards against a parent without a known leader clearing the leader that probes had found. Each
// change of the leader restarts the round of requests, which then never reached a box that had
// updates.
func TestParentWithoutUpdatesNamesNoLeader(t *testing.T) {
	g := NewWithT(t)
	r, err := replica.New(replica.Options{
		Core:    consensus.Options{ID: "b/1", ElectionMin: time.Hour, Heartbeat: time.Second, Lease: time.Minute, Seed: 1},
		Storage: replica.MemoryStorage{}, Send: func(*wire.Message) {}, CompactAfter: 1000, Fatal: func(error) {}, Log: zap.NewNop(),
	})
	g.Expect(err).NotTo(HaveOccurred())
	defer r.Close()
	s := New(Options{Replica: r, Self: &wire.Member{Box: "b", Incarnation: "1"}, Log: zap.NewNop()})
	s.leader = "a/1" // found by a probe
	g.Expect(s.recordUpdate("p", r.Now(), &wire.FollowUpdate{})).NotTo(Succeed())
	g.Expect(s.Leader()).To(Equal("a/1"))
}
