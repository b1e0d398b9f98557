package replica

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"leverdrum/consensus"
	"leverdrum/wal"
	"leverdrum/wire"
)

// threeVoters is the storage of one of three voters.
type threeVoters struct{ MemoryStorage }

func (threeVoters) Loaded() wal.Loaded {
	return wal.Loaded{HardState: &wire.HardState{Term: 1}, Snapshot: &wire.Snapshot{Index: 1, Term: 1, Config: &wire.Config{Voters: []string{"a/1", "b/1", "c/1"}}}}
}

// laggingVoters are voters that vote and answer the leader, but do not have its entries yet.
type laggingVoters struct {
	rounds map[string]uint64 // last round answered, by voter
}

// answer returns nil if the round was answered already.
func (b laggingVoters) answer(m *wire.Message) *wire.Message {
	reply := &wire.Message{From: m.To, To: m.From, Term: m.Term, Round: m.Round}
	switch m.Type {
	case wire.MessageType_MESSAGE_PRE_VOTE:
		reply.Type = wire.MessageType_MESSAGE_PRE_VOTE_REPLY
	case wire.MessageType_MESSAGE_VOTE:
		reply.Type = wire.MessageType_MESSAGE_VOTE_REPLY
	default:
		if m.Round <= b.rounds[m.To] {
			return nil
		}
		b.rounds[m.To] = m.Round
		reply.Type, reply.Reject = wire.MessageType_MESSAGE_APPEND_REPLY, true
	}
	return reply
}

// Until an entry of its own term is committed, a leader's applied state may miss entries that an earlier
// leader had committed: fleet files, revoked keys, lowered quotas. It must not hold a lease before.
func TestLeaderHoldsNoLeaseBeforeItIsEstablished(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		sent := make(chan *wire.Message, 1000)
		r, err := New(Options{
			Core:    consensus.Options{ID: "a/1", ElectionMin: 200 * time.Millisecond, Heartbeat: 20 * time.Millisecond, Lease: 160 * time.Millisecond, Seed: 1},
			Storage: threeVoters{}, Send: func(m *wire.Message) { sent <- m }, CompactAfter: 1000, Fatal: func(error) {}, Log: zap.NewNop(),
		})
		g.Expect(err).NotTo(HaveOccurred())
		done := make(chan struct{})
		others := laggingVoters{map[string]uint64{}}
		var network sync.WaitGroup
		defer network.Wait()
		defer close(done)
		network.Go(func() {
			for {
				select {
				case m := <-sent:
					time.Sleep(time.Millisecond) // network delay
					if reply := others.answer(m); reply != nil {
						r.Receive(reply)
					}
				case <-done:
					return
				}
			}
		})
		defer r.Close()
		time.Sleep(2 * time.Second)
		g.Expect(r.Status().Role).To(Equal(consensus.Leader), "or the test proves nothing")
		g.Expect(r.Status().Established).To(BeFalse())
		_, held := r.Lease()
		g.Expect(held).To(BeFalse())
	})
}
