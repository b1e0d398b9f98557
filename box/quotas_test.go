package box

import (
	"testing"

	. "github.com/onsi/gomega"

	"leverdrum/level"
	"leverdrum/wire"
)

func TestWhoIsAskedForQuotas(t *testing.T) {
	members := func(leaders level.Level) map[string]*wire.Member {
		m := map[string]*wire.Member{}
		for _, name := range []string{"d1", "d2", "d3"} {
			m[name] = &wire.Member{Box: name, Disk: true, Level: uint32(level.Newest)}
		}
		m["d2"].Level = uint32(leaders)
		m["e1"] = &wire.Member{Box: "e1", Level: uint32(level.Newest)}
		return m
	}
	mute := func(silent ...string) func(string) bool {
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
		{"the leader", level.Newest, "d2", true, mute(), "d2"},
		{"a leader that is slow and surely leads", level.Newest, "d2", true, mute("d2"), "d2"},
		{"a leader that is silent", level.Newest, "d2", false, mute("d2"), "d1"},
		{"none is known", level.Newest, "", false, mute(), "d1"},
		{"a box with a disk that is silent, too", level.Newest, "d2", false, mute("d1", "d2"), "d3"},
		{"nobody answers", level.Newest, "d2", false, mute("d1", "d2", "d3"), "e1"},
		{"a leader whose build knows no quotas", level.First, "d2", true, mute(), "d1"},
	} {
		got := lessorOf(members(c.leaders), lessorChoice{self: "e1", leader: c.leader, leads: c.leads, since: level.Workspaces, answers: c.answers})
		NewWithT(t).Expect(got).To(Equal(c.want), c.name)
	}
}
