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

// A box that was a voter or learner and no longer is receives no consensus messages. It must not go on naming the
// last leader it knew: its announcements, operator requests and reads were then forwarded to that box and timed out
// until a restart. In a test of concurrent operators, a file never came into force on all boxes: one of six boxes
// answered no status request for 30 s.
func TestMemberForgetsUnresponsiveLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		r, err := New(Options{
			Core:    consensus.Options{ID: "b/1", ElectionMin: 200 * time.Millisecond, Heartbeat: 20 * time.Millisecond, Lease: 160 * time.Millisecond, Seed: 1},
			Storage: MemoryStorage{}, Send: func(*wire.Message) {}, CompactAfter: 1000, Fatal: func(error) {}, Log: zap.NewNop(),
		})
		g.Expect(err).NotTo(HaveOccurred())
		defer r.Close()
		r.Receive(&wire.Message{Type: wire.MessageType_MESSAGE_APPEND, From: "a/1", To: "b/1", Term: 2})
		time.Sleep(50 * time.Millisecond)
		g.Expect(r.Status().Leader).To(Equal("a/1"))
		time.Sleep(5 * time.Second) // far longer than twice ElectionMin and several clock ticks
		g.Expect(r.Status().Leader).To(BeEmpty())
	})
}
