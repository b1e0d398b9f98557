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
	// slowLink is the bandwidth of the slowest box links, in bytes per second;
	// children is the maximum number of boxes that ask one such box.
	slowLink = 10e6 / 8
	children = 8
	// maxTransferTime is the maximum transfer time of an update, somewhat below the request
	// timeout of package spread.
	maxTransferTime = 600 * time.Millisecond
)

// startLeader returns the leader of a single-voter cluster, and its first index.
func startLeader(t *testing.T) (*replica.Replica, uint64) {
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

// propose commits a configuration of about size bytes that compression cannot reduce.
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

// Boxes that lag several configurations behind must not get updates of up to a megabyte:
// eight children of a parent with a slow link could not receive them within the request
// timeout, so that whole data halls received no more updates.
func TestUpdatesFitSlowLinks(t *testing.T) {
	g := NewWithT(t)
	r, first := startLeader(t)
	for n := range 12 {
		propose(t, r, n+1, 25_000) // about the configuration size of the site where this failed
	}
	at := first
	for requests := 0; at < r.View().Index; requests++ {
		g.Expect(requests).To(BeNumerically("<", 12), "each update makes progress")
		entries, snapshot, err := r.UpdatesSince(at)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(snapshot).To(BeNil())
		g.Expect(requests > 0 || len(entries) < 12).To(BeTrue(), "they do not fit into one update")
		size := 0
		for _, e := range entries {
			size += proto.Size(e)
			at = e.Index
		}
		g.Expect(float64(size*children)/slowLink).To(BeNumerically("<", maxTransferTime.Seconds()), "%d bytes", size)
	}
}

// An entry larger than maxUpdateBytes is sent alone.
func TestLargeEntryIsSentAlone(t *testing.T) {
	g := NewWithT(t)
	r, first := startLeader(t)
	for n := range 2 {
		propose(t, r, n+1, 300_000)
	}
	entries, _, err := r.UpdatesSince(first)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(entries).To(HaveLen(1))
}
