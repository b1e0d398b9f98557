package state_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"leverdrum/level"
	"leverdrum/state"
	"leverdrum/wire"
)

func versioned(id, version string) *wire.Announcement {
	return &wire.Announcement{Id: id, Service: "p", Address: "10.0.0.1:" + id, Hall: "h", Version: version}
}

func forget(id string) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Withdraw{Withdraw: &wire.Withdraw{Id: id, Forget: true}}}
}

func retire(since uint64, versions ...*wire.DepartedVersion) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Retire{Retire: &wire.RetireVersions{Versions: versions, Since: since}}}
}

var v1 = state.ServiceVersion{Service: "p", Version: "v1"}

// Guards against a version that a snapshot, a clone or a later server of it removes from the history, and against one that an
// outdated retirement removes.
func TestDepartedVersionsAreKeptUntilRetired(t *testing.T) {
	g := NewWithT(t)
	l := newTestLog(t)
	l.announce(versioned("0", "v1"))
	l.apply(forget("0"))
	g.Expect(l.st.Versions.Departed).To(BeEmpty(), "builds below the level do not support it")
	l.apply(raise(level.VersionHistory))
	since := l.st.Index
	l.announce(versioned("1", "v1"))
	l.announce(versioned("2", "v1"))
	l.announce(versioned("3", "v2"))
	l.apply(forget("1"))
	g.Expect(l.st.Versions.Departed).To(BeEmpty(), "another server has the version")
	before := l.st.Clone()
	l.apply(forget("2"))
	first := l.st.Index
	g.Expect(l.st.Versions.Departed).To(Equal(map[state.ServiceVersion]uint64{v1: first}))
	g.Expect(before.Versions.Departed).To(BeEmpty(), "a clone does not change with the original")

	again, err := state.Decode(l.st.Encode())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Versions).To(Equal(l.st.Versions))

	l.announce(versioned("4", "v1"))
	l.apply(forget("4"))
	l.apply(retire(0, &wire.DepartedVersion{Service: "p", Version: "v1", Index: first}))
	g.Expect(l.st.Versions.Departed).To(HaveKey(v1), "it departed again")
	l.apply(retire(since+1, &wire.DepartedVersion{Service: "p", Version: "v1", Index: l.st.Versions.Departed[v1]}))
	g.Expect(l.st.Versions.Departed).To(BeEmpty())
	g.Expect(l.st.Versions.Complete).To(BeFalse(), "another history")
	l.apply(retire(since))
	g.Expect(l.st.Versions.Complete).To(BeTrue())
}

// Guards against a server that starts again as another version: its previous incarnation is removed in the same entry.
func TestReplacedVersionDeparts(t *testing.T) {
	g := NewWithT(t)
	l := newTestLog(t)
	l.apply(raise(level.VersionHistory))
	for born, version := range []string{"v1", "v2"} {
		a := versioned(fmt.Sprint(born), version)
		a.Name, a.BornMs = "s", uint64(born)+1
		l.announce(a)
	}
	g.Expect(l.st.Versions.Departed).To(Equal(map[state.ServiceVersion]uint64{v1: l.st.Index}))
}

// Guards against a history that counts as complete although requests were served before it began, or although the voters keep
// nothing when they are killed.
func TestHistoryIsCompleteOnlyInANewDurableCluster(t *testing.T) {
	raiseDurable := func(durable bool) *wire.Command {
		return &wire.Command{Kind: &wire.Command_Raise{Raise: &wire.RaiseLevel{Level: uint32(level.VersionHistory), Durable: durable}}}
	}
	for name, c := range map[string]struct {
		commands []*wire.Command
		want     bool
	}{
		"new":                     {[]*wire.Command{raiseDurable(true)}, true},
		"voters without disks":    {[]*wire.Command{raiseDurable(false)}, false},
		"with a fleet file":       {[]*wire.Command{applyOf("[fleet]\nnumber = 1\n"), raiseDurable(true)}, false},
		"raised again":            {[]*wire.Command{raiseDurable(false), raiseDurable(true)}, false},
		"a fleet file came later": {[]*wire.Command{raiseDurable(true), applyOf("[fleet]\nnumber = 1\n")}, true},
	} {
		st, _ := applyAll(t, c.commands...)
		NewWithT(t).Expect(st.Versions.Complete).To(Equal(c.want), name)
	}
}

// Guards against a history that grows without bound, and against one that counts as complete after it lost versions.
func TestTooManyDepartedVersionsBeginANewHistory(t *testing.T) {
	g := NewWithT(t)
	l := newTestLog(t)
	l.apply(raise(level.VersionHistory))
	l.apply(retire(l.st.Index))
	g.Expect(l.st.Versions.Complete).To(BeTrue())
	for n := range 5000 {
		l.announce(versioned("1", fmt.Sprint(n)))
		g.Expect(len(l.st.Versions.Departed)).To(BeNumerically("<=", 1024))
	}
	g.Expect(l.st.Versions.Complete).To(BeFalse())
}

// Guards against boxes that derive different histories from the same entries, with and without snapshots, and against a version
// with a server or lately without one that is missing from it.
func TestHistoryFollowsFromEntries(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		l := newTestLog(t)
		l.apply(raise(level.VersionHistory))
		other := l.st.Clone()
		inService := map[string]string{}
		lately := map[string]bool{}
		for range rapid.IntRange(1, 60).Draw(rt, "entries") {
			id, version := rapid.StringMatching("[0-5]").Draw(rt, "id"), rapid.StringMatching("v[0-3]").Draw(rt, "version")
			var c *wire.Command
			switch rapid.IntRange(0, 3).Draw(rt, "kind") {
			case 0:
				c = forget(id)
				delete(inService, id)
			case 1:
				c = retire(0, &wire.DepartedVersion{Service: "p", Version: version, Index: l.st.Versions.Departed[state.ServiceVersion{Service: "p", Version: version}]})
				delete(lately, version)
			default:
				c = &wire.Command{Kind: &wire.Command_Announce{Announce: versioned(id, version)}}
				inService[id] = version
			}
			l.apply(c)
			data, _ := proto.Marshal(c)
			other.Apply(&wire.Entry{Index: l.st.Index, Term: 1, Kind: wire.EntryKind_ENTRY_COMMAND, Data: data})
			if rapid.Bool().Draw(rt, "snapshot") {
				decoded, err := state.Decode(proto.CloneOf(other.Encode()))
				if err != nil {
					rt.Fatal(err)
				}
				other = decoded
			}
			if !proto.Equal(l.st.Encode(), other.Encode()) {
				rt.Fatal("the states differ")
			}
			recorded := map[string]bool{}
			for v := range l.st.Announcements.Versions() {
				recorded[v.Version] = true
			}
			for v := range l.st.Versions.Departed {
				recorded[v.Version] = true
			}
			for _, v := range inService {
				lately[v] = true
			}
			for v := range lately {
				if !recorded[v] {
					rt.Fatalf("%s is missing", v)
				}
			}
		}
	})
}
