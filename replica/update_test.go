package replica_test

import (
	"context"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"leverdrum/consensus"
	"leverdrum/replica"
	"leverdrum/wire"
)

const (
	// slowLink is the link of the smallest boxes, in bytes a second, children how many
	// boxes ask one of them at most.
	slowLink = 10e6 / 8
	children = 8
	// inTime is the time that an update may take on the way, with some to spare of
	// what package spread allows for a question.
	inTime = 600 * time.Millisecond
)

// leading returns a member that leads a cluster of one, and the index that it begins at.
func leading(t *testing.T) (*replica.Replica, uint64) {
	g := NewWithT(t)
	r, err := replica.New(replica.Options{
		Core:    consensus.Options{ID: "a/1", ElectionMin: 200 * time.Millisecond, Heartbeat: 20 * time.Millisecond, Lease: 160 * time.Millisecond, Seed: 1},
		Storage: formed{}, Send: func(*wire.Message) {}, CompactAfter: 1000, Fatal: func(error) {}, Log: zap.NewNop(),
	})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(r.Close)
	g.Eventually(func() bool { _, held := r.Lease(); return held && r.Status().Established }, 10*time.Second).Should(BeTrue())
	return r, r.View().Index
}

// propose has a configuration agreed that takes about so many bytes however it is packed.
func propose(t *testing.T, r *replica.Replica, number, size int) {
	const bits, alphabet = 6, "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ+/"
	letters := rand.New(rand.NewPCG(1, uint64(number)))
	var text strings.Builder
	for range size * 8 / bits {
		text.WriteByte(alphabet[letters.IntN(len(alphabet))])
	}
	apply := &wire.ApplyFleet{Number: uint64(number), Text: text.String()}
	if _, err := r.Propose(context.Background(), &wire.Command{Kind: &wire.Command_Apply{Apply: apply}}); err != nil {
		t.Fatal(err)
	}
}

// Boxes that were some configurations behind got an update of up to a megabyte, which
// eight children of a parent with a slow link could never take in within a question's
// time: whole halls stood still.
func TestUpdatesPassSlowLinksInTime(t *testing.T) {
	g := NewWithT(t)
	r, first := leading(t)
	for n := range 12 {
		propose(t, r, n+1, 25_000) // about a configuration of that site
	}
	at := first
	for asked := 0; at < r.View().Index; asked++ {
		g.Expect(asked).To(BeNumerically("<", 12), "each update brings something on")
		entries, snapshot, err := r.UpdatesSince(at)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(snapshot).To(BeNil())
		g.Expect(asked > 0 || len(entries) < 12).To(BeTrue(), "they do not fit into one update")
		size := 0
		for _, e := range entries {
			size += proto.Size(e)
			at = e.Index
		}
		g.Expect(float64(size*children)/slowLink).To(BeNumerically("<", inTime.Seconds()), "%d bytes", size)
	}
}

// A single entry that is larger goes by itself.
func TestALargeEntryGoesByItself(t *testing.T) {
	g := NewWithT(t)
	r, first := leading(t)
	for n := range 2 {
		propose(t, r, n+1, 300_000)
	}
	entries, _, err := r.UpdatesSince(first)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(entries).To(HaveLen(1))
}
