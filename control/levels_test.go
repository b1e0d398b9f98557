package control

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/level"
	"leverdrum/state"
	"leverdrum/wire"
)

func TestALevelWaitsForAllListedBoxesAndVoters(t *testing.T) {
	knows := func(box string, l level.Level) *wire.Member {
		return &wire.Member{Box: box, Incarnation: "i", Level: uint32(l)}
	}
	for _, c := range []struct {
		name    string
		members []*wire.Member
		voters  []string
		want    bool
	}{
		{"all know it", []*wire.Member{knows("a", 1), knows("b", 1)}, []string{"a/i"}, true},
		{"one box does not", []*wire.Member{knows("a", 1), knows("b", 0)}, []string{"a/i"}, false},
		{"a voter is not listed", []*wire.Member{knows("a", 1)}, []string{"a/i", "b/i"}, false},
		{"a voter is listed under another incarnation", []*wire.Member{knows("a", 1)}, []string{"a/j"}, false},
		{"nobody is listed", nil, nil, false},
	} {
		view := state.New()
		for _, m := range c.members {
			view.Members[m.Box] = m
		}
		NewWithT(t).Expect(allKnow(view, c.voters, level.Workspaces)).To(Equal(c.want), c.name)
	}
}

// A new cluster, whose boxes knew two levels more than the one in force, had the first raised with its first file and waited for
// the second as long as an upgrade settles, though there was nothing to bring back.
func TestTheFirstFileRaisesToTheNewestLevel(t *testing.T) {
	g := NewWithT(t)
	c := newLeader(t)
	member := &wire.Member{Box: "b", Incarnation: "i", Process: "p", Level: uint32(level.Newest)}
	_, err := c.propose(context.Background(), &wire.Command{Kind: &wire.Command_Join{Join: member}})
	g.Expect(err).NotTo(HaveOccurred())
	c.RaiseInitialLevel(context.Background())
	g.Expect(c.opts.Replica.View().Level).To(Equal(level.Newest))
}

// A first file that came before the boxes were listed, as it does within moments of a start beside other work, kept the cluster
// at level 0 for ten minutes: what servers name was not agreed (two of six runs of the box's test beside five others).
func TestTheFirstFileWaitsForTheList(t *testing.T) {
	g := NewWithT(t)
	c := newUnlistedLeader(t)
	time.AfterFunc(300*time.Millisecond, func() {
		member := &wire.Member{Box: "b", Incarnation: "i", Process: "p", Level: uint32(level.Newest)}
		_, _ = c.propose(context.Background(), &wire.Command{Kind: &wire.Command_Join{Join: member}}) // it leads
	})
	c.RaiseInitialLevel(context.Background())
	g.Expect(c.opts.Replica.View().Level).To(Equal(level.Newest))
}
