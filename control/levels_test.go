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

func TestLevelRequiresAllListedBoxesAndVoters(t *testing.T) {
	memberAt := func(box string, l level.Level) *wire.Member {
		return &wire.Member{Box: box, Incarnation: "i", Level: uint32(l)}
	}
	for _, c := range []struct {
		name    string
		members []*wire.Member
		voters  []string
		want    bool
	}{
		{"all support it", []*wire.Member{memberAt("a", 1), memberAt("b", 1)}, []string{"a/i"}, true},
		{"one box does not", []*wire.Member{memberAt("a", 1), memberAt("b", 0)}, []string{"a/i"}, false},
		{"a voter is not listed", []*wire.Member{memberAt("a", 1)}, []string{"a/i", "b/i"}, false},
		{"a voter is listed under another incarnation", []*wire.Member{memberAt("a", 1)}, []string{"a/j"}, false},
		{"no box is listed", nil, nil, false},
	} {
		view := state.New()
		for _, m := range c.members {
			view.Members[m.Box] = m
		}
		NewWithT(t).Expect(allSupport(view, c.voters, level.Workspaces)).To(Equal(c.want), c.name)
	}
}

// In a new cluster whose boxes supported two levels above the current one, the first file raised
// only one level. The second waited as long as an upgrade settles, although there was no earlier
// version to return to.
func TestFirstFileRaisesToNewestLevel(t *testing.T) {
	g := NewWithT(t)
	c := newLeader(t)
	member := &wire.Member{Box: "b", Incarnation: "i", Process: "p", Level: uint32(level.Newest)}
	_, err := c.propose(context.Background(), &wire.Command{Kind: &wire.Command_Join{Join: member}})
	g.Expect(err).NotTo(HaveOccurred())
	c.RaiseInitialLevel(context.Background())
	g.Expect(c.opts.Replica.View().Level).To(Equal(level.Newest))
}

// A first file that arrived before the boxes were listed, as it does within moments of a start on a
// loaded machine, kept the cluster at level 0 for ten minutes, and server limits were not
// committed. It failed two of six runs of the box test when five other tests ran at the same time.
func TestFirstFileWaitsForVoterList(t *testing.T) {
	g := NewWithT(t)
	c := newUnlistedLeader(t)
	time.AfterFunc(300*time.Millisecond, func() {
		member := &wire.Member{Box: "b", Incarnation: "i", Process: "p", Level: uint32(level.Newest)}
		_, _ = c.propose(context.Background(), &wire.Command{Kind: &wire.Command_Join{Join: member}}) // it leads
	})
	c.RaiseInitialLevel(context.Background())
	g.Expect(c.opts.Replica.View().Level).To(Equal(level.Newest))
}
