package replica

import (
	"fmt"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"leverdrum/consensus"
	"leverdrum/standin"
	"leverdrum/state"
	"leverdrum/wal"
	"leverdrum/wire"
)

// file returns a command with a fleet file of 5,000 lines.
func file(number uint64) *wire.Command {
	var b strings.Builder
	for i := range 5000 {
		fmt.Fprintln(&b, uint64(i)*0x9e3779b97f4a7c15)
	}
	return &wire.Command{Kind: &wire.Command_Apply{Apply: standin.NumberedFile(number, b.String())}}
}

// singleVoter is the storage of the only voter.
type singleVoter struct{ MemoryStorage }

func (singleVoter) Loaded() wal.Loaded {
	return wal.Loaded{HardState: &wire.HardState{Term: 1}, Snapshot: &wire.Snapshot{Index: 1, Term: 1, Config: &wire.Config{Voters: []string{"a/1"}}}}
}

func startLeader(t *testing.T) *Replica {
	g := NewWithT(t)
	r, err := New(Options{
		Core:    consensus.Options{ID: "a/1", ElectionMin: 200 * time.Millisecond, Heartbeat: 20 * time.Millisecond, Lease: 160 * time.Millisecond, Seed: 1},
		Storage: singleVoter{}, Send: func(*wire.Message) {}, CompactAfter: 1000, Fatal: func(error) {}, Log: zap.NewNop(),
	})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(r.Close)
	g.Eventually(func() bool { _, held := r.Lease(); return held && r.Status().Established }, 10*time.Second).Should(BeTrue())
	return r
}

// proposeAll appends all commands to the log before any is applied.
func proposeAll(t *testing.T, r *Replica, commands ...*wire.Command) []outcome {
	var proposals []*proposal
	err := r.ask(func() error {
		for _, c := range commands {
			encode, err := r.encoder(c)
			if err != nil {
				return err
			}
			p := &proposal{answer: make(chan outcome, 1)}
			proposals = append(proposals, p)
			r.propose(encode, p)
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	var list []outcome
	for _, p := range proposals {
		list = append(list, <-p.answer)
	}
	return list
}

// The second of two files in the log must not be packed against a file that is no longer in
// force when the second is applied.
func TestConsecutiveFilesAreAllAccepted(t *testing.T) {
	g := NewWithT(t)
	r := startLeader(t)
	for _, round := range [][]uint64{{1}, {2, 3, 4}, {5, 6}} {
		var commands []*wire.Command
		for _, number := range round {
			commands = append(commands, file(number))
		}
		for i, o := range proposeAll(t, r, commands...) {
			g.Expect(o.err).NotTo(HaveOccurred())
			g.Expect(o.result.Apply).To(Equal(state.Accepted), "file %d: %v", round[i], o.result.Err)
		}
	}
	g.Expect(r.View().Text).To(Equal(file(6).GetApply().Text))
}

// A change of a file must not go to all boxes, the voters and the disk as the whole file.
func TestLogHoldsOnlyChangesOfAFile(t *testing.T) {
	g := NewWithT(t)
	r := startLeader(t)
	proposeAll(t, r, file(1))
	first := r.View().Index
	proposeAll(t, r, file(2))
	entries, _, err := r.UpdatesSince(first)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(entries).To(HaveLen(1))
	g.Expect(proto.Size(entries[0])).To(BeNumerically("<", len(r.View().Text)/100))
}

// A command must not be marshaled later by the loop: its proposer may have changed it by then.
func TestCommandIsMarshaledOnPropose(t *testing.T) {
	g := NewWithT(t)
	r := startLeader(t)
	m := &wire.Member{Box: "b", Incarnation: "1", Hall: "then"}
	encode, err := r.encoder(&wire.Command{Kind: &wire.Command_Join{Join: m}})
	g.Expect(err).NotTo(HaveOccurred())
	m.Hall = "later"
	p := &proposal{answer: make(chan outcome, 1)}
	g.Expect(r.ask(func() error { r.propose(encode, p); return nil })).To(Succeed())
	g.Expect((<-p.answer).err).NotTo(HaveOccurred())
	g.Expect(r.View().Members["b"].Hall).To(Equal("then"))
}
