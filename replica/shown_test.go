package replica_test

import (
	"context"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"leverdrum/wire"
)

// An order was closed, and its proposer went on before the view showed that: the order was
// sent a second time (soak seed 416881008403, an adapter beyond the slots).
func TestWhoProposedSeesItInTheView(t *testing.T) {
	g := NewWithT(t)
	r, _ := leading(t)
	for n := range 600 { // a large state takes long to show
		box := fmt.Sprintf("b%d", n)
		join := &wire.Command{Kind: &wire.Command_Join{Join: &wire.Member{Box: box, Incarnation: "1", Leaving: true}}}
		_, err := r.Propose(context.Background(), join)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.View().Members).To(HaveKey(box))
	}
}
