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

// A parent that had heard of no leader made the box forget the one that probes had found: each change of the
// leader begins the round of questions anew, which then never came to a box that has news.
func TestAParentWithoutNewsNamesNoLeader(t *testing.T) {
	g := NewWithT(t)
	r, err := replica.New(replica.Options{
		Core:    consensus.Options{ID: "b/1", ElectionMin: time.Hour, Heartbeat: time.Second, Lease: time.Minute, Seed: 1},
		Storage: replica.MemoryStorage{}, Send: func(*wire.Message) {}, CompactAfter: 1000, Fatal: func(error) {}, Log: zap.NewNop(),
	})
	g.Expect(err).NotTo(HaveOccurred())
	defer r.Close()
	s := New(Options{Replica: r, Self: &wire.Member{Box: "b", Incarnation: "1"}, Log: zap.NewNop()})
	s.leader = "a/1" // by a probe
	g.Expect(s.noteNews("p", r.Now(), &wire.FollowUpdate{})).NotTo(Succeed())
	g.Expect(s.Leader()).To(Equal("a/1"))
}
