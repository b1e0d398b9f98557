package box

import (
	"testing"

	. "github.com/onsi/gomega"

	"leverdrum/level"
	"leverdrum/wire"
)

func TestChooseLessor(t *testing.T) {
	members := func(leaders level.Level) map[string]*wire.Member {
		m := map[string]*wire.Member{}
		for _, name := range []string{"d1", "d2", "d3"} {
			m[name] = &wire.Member{Box: name, Disk: true, Level: uint32(level.Newest)}
		}
		m["d2"].Level = uint32(leaders)
		m["e1"] = &wire.Member{Box: "e1", Level: uint32(level.Newest)}
		return m
	}
	responsiveExcept := func(silent ...string) func(string) bool {
		return func(box string) bool {
			for _, s := range silent {
				if s == box {
					return false
				}
			}
			return true
		}
	}
	for _, c := range []struct {
		name    string
		leaders level.Level
		leader  string
		leads   bool
		answers func(string) bool
		want    string
	}{
		{"the leader", level.Newest, "d2", true, responsiveExcept(), "d2"},
		{"a slow leader that certainly leads", level.Newest, "d2", true, responsiveExcept("d2"), "d2"},
		{"an unresponsive leader", level.Newest, "d2", false, responsiveExcept("d2"), "d1"},
		{"no known leader", level.Newest, "", false, responsiveExcept(), "d1"},
		{"an unresponsive leader and an unresponsive box with a disk", level.Newest, "d2", false, responsiveExcept("d1", "d2"), "d3"},
		{"no box responds", level.Newest, "d2", false, responsiveExcept("d1", "d2", "d3"), "e1"},
		{"a leader whose build does not support quotas", level.First, "d2", true, responsiveExcept(), "d1"},
	} {
		got := chooseLessor(members(c.leaders), lessorChoice{self: "e1", leader: c.leader, leaderCertain: c.leads, minLevel: level.Workspaces, responsive: c.answers})
		NewWithT(t).Expect(got).To(Equal(c.want), c.name)
	}
}
