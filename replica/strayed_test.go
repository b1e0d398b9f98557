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

// A box that voted once, or was to, and does not any more hears no leader by the agreement. It went on naming the one
// that it had heard last, whoever led since: all that it passed on, announcements, orders of the operator, reading
// back, went to that box and waited there in vain, until it was restarted. Seen as a race of operators that was never in force
// on all boxes: one of six boxes answered no status for 30 s.
func TestAMemberThatHearsNoLeaderNamesNone(t *testing.T) {
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
		time.Sleep(5 * time.Second) // far longer than twice ElectionMin, and some looks at the clock
		g.Expect(r.Status().Leader).To(BeEmpty())
	})
}
