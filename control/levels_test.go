package control

import (
	"testing"

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
