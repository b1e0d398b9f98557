package state_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"leverdrum/fleet"
	"leverdrum/level"
	"leverdrum/state"
	"leverdrum/wire"
)

// withWorkspace is a file that builds below level.Workspaces reject.
const withWorkspace = "[fleet]\nnumber = 1\n[workspace w]\nkeys = a-key-of-the-workspace\n"

func applyOf(text string) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Apply{Apply: &wire.ApplyFleet{Number: 1, Text: text, Digest: fleet.Digest([]byte(text))}}}
}

func raise(l level.Level) *wire.Command {
	return &wire.Command{Kind: &wire.Command_Raise{Raise: &wire.RaiseLevel{Level: uint32(l)}}}
}

// applyAll applies commands to a new state and returns it with the last result.
func applyAll(t *testing.T, commands ...*wire.Command) (*state.State, state.Result) {
	st := state.New()
	var last state.Result
	for i, c := range commands {
		data, err := proto.Marshal(c)
		if err != nil {
			t.Fatal(err)
		}
		last = st.Apply(&wire.Entry{Index: uint64(i) + 1, Term: 1, Kind: wire.EntryKind_ENTRY_COMMAND, Data: data})
	}
	return st, last
}

func TestFileIsDecodedAtActiveLevel(t *testing.T) {
	g := NewWithT(t)
	_, before := applyAll(t, applyOf(withWorkspace))
	g.Expect(before.Apply).To(Equal(state.Invalid), "builds below the level reject it, too")
	st, after := applyAll(t, raise(level.Workspaces), applyOf(withWorkspace))
	g.Expect(after.Apply).To(Equal(state.Accepted))
	g.Expect(st.Fleet.Workspaces.ByName("w")).NotTo(BeNil())
}

func TestLevelNeverDecreasesAndIsInSnapshots(t *testing.T) {
	g := NewWithT(t)
	st, _ := applyAll(t, raise(level.Workspaces), raise(level.First), applyOf(withWorkspace))
	g.Expect(st.Level).To(Equal(level.Workspaces))
	again, err := state.Decode(st.Encode())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(again.Level).To(Equal(level.Workspaces))
	g.Expect(again.Fleet.Workspaces.ByName("w")).NotTo(BeNil())
}

func TestUnsupportedLevelOrCommandIsReported(t *testing.T) {
	g := NewWithT(t)
	_, result := applyAll(t, raise(level.Newest+1))
	g.Expect(result.UnknownLevel).To(HaveOccurred())
	_, result = applyAll(t, &wire.Command{UnixMs: 1})
	g.Expect(result.UnknownLevel).To(HaveOccurred())
	w := state.New().Encode()
	w.Level = uint32(level.Newest) + 1
	_, err := state.Decode(w)
	g.Expect(err).To(MatchError(ContainSubstring("start a build that supports it")))
}
