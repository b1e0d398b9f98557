package membership_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/membership"
	"leverdrum/wire"
)

func member(box, hall string, disk bool) *wire.Member {
	return &wire.Member{Box: box, Incarnation: "i", Hall: hall, Disk: disk}
}

// input returns a cluster of three voters with disks in two halls, and two other boxes
// without disks.
func input() membership.Input {
	in := membership.Input{
		Self: "a/i", Voters: []string{"a/i", "b/i", "c/i"}, WantedVoters: 3, RepairAfter: 5 * time.Second,
		Members: map[string]*wire.Member{
			"a": member("a", "h1", true), "b": member("b", "h2", true), "c": member("c", "h1", true),
			"d": member("d", "h1", false), "e": member("e", "h2", false),
		},
		ContactAge: map[string]time.Duration{"b/i": 0, "c/i": 0}, CaughtUp: map[string]bool{"b/i": true, "c/i": true},
		ReportAge: map[string]time.Duration{"b/i": 0, "c/i": 0, "d/i": 0, "e/i": 0},
	}
	return in
}

func TestPlan(t *testing.T) {
	const long = time.Minute
	for name, c := range map[string]struct {
		change func(in *membership.Input)
		learn  string
		voters []string
	}{
		"nothing to do": {change: func(*membership.Input) {}},
		"a voter unresponsive for less than RepairAfter is kept": {change: func(in *membership.Input) { in.ContactAge["b/i"] = 4 * time.Second }},
		"a box in the hall of the lost voter comes first (3)": {
			change: func(in *membership.Input) { in.ContactAge["b/i"] = long }, learn: "e/i",
		},
		"a replacement that caught up becomes a voter (4)": {
			change: func(in *membership.Input) {
				in.ContactAge["b/i"], in.ContactAge["e/i"], in.CaughtUp["e/i"] = long, 0, true
			},
			voters: []string{"a/i", "c/i", "e/i"},
		},
		"a replacement that has not caught up does not (4)": {
			change: func(in *membership.Input) { in.ContactAge["b/i"], in.ContactAge["e/i"] = long, 0 },
		},
		"a box with an old report is skipped (3)": {
			change: func(in *membership.Input) { in.ContactAge["b/i"], in.ReportAge["e/i"] = long, long }, learn: "d/i",
		},
		"a draining box is skipped (3)": {
			change: func(in *membership.Input) { in.ContactAge["b/i"], in.Members["e"].Leaving = long, true }, learn: "d/i",
		},
		"without a replacement nothing changes (7)": {
			change: func(in *membership.Input) { in.ContactAge["b/i"], in.ReportAge = long, nil },
		},
		"a box that came back without its disk is another member (2)": {
			change: func(in *membership.Input) {
				in.Members["b"] = &wire.Member{Box: "b", Incarnation: "new", Hall: "h2", Disk: true}
				in.ReportAge["b/new"] = 0
			},
			learn: "b/new",
		},
		"a draining voter is replaced immediately (2)": {
			change: func(in *membership.Input) { in.Members["c"].Leaving = true }, learn: "d/i",
		},
		"a box with a disk replaces a voter without one (6)": {
			change: func(in *membership.Input) {
				in.Voters = []string{"a/i", "c/i", "e/i"}
				in.ContactAge["e/i"], in.CaughtUp["e/i"] = 0, true
			},
			voters: []string{"a/i", "c/i", "b/i"},
		},
		"a missing voter is added (1)": {
			change: func(in *membership.Input) { in.Voters = []string{"a/i", "b/i"}; delete(in.ContactAge, "c/i") }, learn: "c/i",
		},
	} {
		t.Run(name, func(t *testing.T) {
			in := input()
			c.change(&in)
			action := membership.Plan(in)
			g := NewWithT(t)
			g.Expect(action.Learner).To(Equal(c.learn))
			g.Expect(action.Voters).To(Equal(c.voters))
		})
	}
}
