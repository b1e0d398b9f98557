package replica_test

import (
	"context"
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"leverdrum/wire"
)

// A proposer that continued before the view included its closed order sent the order a second
// time (soak seed 416881008403, an adapter beyond the slots).
func TestViewIncludesCommandAfterPropose(t *testing.T) {
	g := NewWithT(t)
	r, _ := startLeader(t)
	for n := range 600 { // publishing a large state takes long
		box := fmt.Sprintf("b%d", n)
		join := &wire.Command{Kind: &wire.Command_Join{Join: &wire.Member{Box: box, Incarnation: "1", Leaving: true}}}
		_, err := r.Propose(context.Background(), join)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(r.View().Members).To(HaveKey(box))
	}
}
