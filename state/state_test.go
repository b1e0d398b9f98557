package state_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"leverdrum/fleet"
	"leverdrum/standin"
	"leverdrum/state"
	"leverdrum/wire"
)

func apply(st *state.State, number uint64, mark string) state.Result {
	text := "# " + mark + "\n[fleet]\nnumber = " + string(rune('0'+number)) + "\n[class c]\ndeadline = 1s\n"
	data, err := proto.Marshal(&wire.Command{Kind: &wire.Command_Apply{Apply: &wire.ApplyFleet{
		Number: number, Digest: fleet.Digest([]byte(text)), Text: text, Operator: mark,
	}}})
	if err != nil {
		panic(err)
	}
	return st.Apply(&wire.Entry{Index: st.Index + 1, Term: 1, Kind: wire.EntryKind_ENTRY_COMMAND, Data: data})
}

// TestApply applies files in order. Each row has the expected outcome of one file and the winner that is named.
func TestApply(t *testing.T) {
	st := state.New()
	for _, row := range []struct {
		number uint64
		mark   string
		want   state.ApplyOutcome
		winner string
	}{
		{2, "anna", state.Accepted, "anna"},
		{2, "anna", state.Resent, "anna"},
		{2, "timoci", state.Conflict, "anna"},
		{1, "timoci", state.Older, "anna"},
		{5, "timoci", state.Accepted, "timoci"},
		{2, "anna", state.Superseded, "anna"},
		{2, "timoci", state.Conflict, "anna"},
		{3, "anna", state.Older, "timoci"},
		{5, "anna", state.Conflict, "timoci"},
	} {
		g := NewWithT(t)
		r := apply(st, row.number, row.mark)
		g.Expect(r.Apply).To(Equal(row.want), "%+v", row)
		g.Expect(r.Winner.GetOperator()).To(Equal(row.winner), "%+v", row)
	}
	NewWithT(t).Expect(st.Version.Number).To(BeEquivalentTo(5))
}

func TestFileWithWrongDigestOrNumberIsInvalid(t *testing.T) {
	g := NewWithT(t)
	st := state.New()
	for _, a := range []*wire.ApplyFleet{
		{Number: 1, Digest: "x", Text: "[fleet]\nnumber = 1\n"},
		{Number: 1, Digest: fleet.Digest([]byte("[fleet]\nnumber = 2\n")), Text: "[fleet]\nnumber = 2\n"},
		{Number: 1, Digest: fleet.Digest([]byte("gibberish")), Text: "gibberish"},
	} {
		data, err := proto.Marshal(&wire.Command{Kind: &wire.Command_Apply{Apply: a}})
		g.Expect(err).NotTo(HaveOccurred())
		r := st.Apply(&wire.Entry{Index: st.Index + 1, Kind: wire.EntryKind_ENTRY_COMMAND, Data: data})
		g.Expect(r.Apply).To(Equal(state.Invalid))
		g.Expect(st.Fleet).To(BeNil())
	}
}

func TestSnapshotRoundTrip(t *testing.T) {
	g := NewWithT(t)
	st := state.New()
	apply(st, 1, "anna")
	for _, c := range []*wire.Command{
		{Kind: &wire.Command_Join{Join: &wire.Member{Box: "one", Incarnation: "i", Process: "p"}}},
		{Kind: &wire.Command_Join{Join: &wire.Member{Box: "two", Incarnation: "i", Process: "q", Leaving: true}}},
	} {
		data, err := proto.Marshal(c)
		g.Expect(err).NotTo(HaveOccurred())
		st.Apply(&wire.Entry{Index: st.Index + 1, Kind: wire.EntryKind_ENTRY_COMMAND, Data: data})
	}
	g.Expect(st.Epochs).To(HaveLen(1), "a draining box is no claim replica")
	again, err := state.Decode(st.Encode())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(proto.Equal(again.Encode(), st.Encode())).To(BeTrue())
}

// TestMovesExcludeFirstPlacement counts the loads of a model for which the file asks for two copies.
func TestMovesExcludeFirstPlacement(t *testing.T) {
	g := NewWithT(t)
	text := "[fleet]\nnumber = 1\n[hall a]\n[class c]\ndeadline = 1s\n[kind k]\nmemory = 1GiB\nchecks-fences = true\n[model m]\nversion = 1\nmemory = 1MiB\nclass = c\ncopies = 2\n"
	for _, name := range []string{"s0", "s1", "s2"} {
		text += "[server " + name + "]\naddress = 127.0.0.1:1\nhall = a\nkind = k\n"
	}
	st, err := standin.CommittedState(text)
	g.Expect(err).NotTo(HaveOccurred())
	order := func(action wire.OrderAction, server string) {
		r := standin.ApplyCommand(st, &wire.Command{Kind: &wire.Command_Issue{Issue: &wire.IssueOrder{Order: &wire.Order{
			Action: action, Server: server, ServerIncarnation: "i", Item: &wire.Item{Model: "m", Version: "1"}, Memory: 1 << 20,
		}}}})
		g.Expect(r.Err).NotTo(HaveOccurred())
		standin.ApplyCommand(st, &wire.Command{Kind: &wire.Command_Close{Close: &wire.CloseOrder{Id: r.Order.Id, Outcome: wire.OrderOutcome_OUTCOME_DONE}}})
	}
	for _, row := range []struct {
		action wire.OrderAction
		server string
		moves  uint64
	}{
		{wire.OrderAction_ORDER_LOAD, "s0", 0},
		{wire.OrderAction_ORDER_LOAD, "s1", 0},
		{wire.OrderAction_ORDER_LOAD, "s2", 1}, // more copies than the file asks for
		{wire.OrderAction_ORDER_UNLOAD, "s0", 1},
		{wire.OrderAction_ORDER_UNLOAD, "s1", 1},
		{wire.OrderAction_ORDER_LOAD, "s0", 2}, // a copy beyond the first placement: the model had two before
	} {
		order(row.action, row.server)
		g.Expect(st.Moves).To(Equal(row.moves), "%+v", row)
	}
}

func TestMalformedEntryChangesNothing(t *testing.T) {
	g := NewWithT(t)
	st := state.New()
	r := st.Apply(&wire.Entry{Index: 1, Kind: wire.EntryKind_ENTRY_COMMAND, Data: []byte{0xff}})
	g.Expect(r.Err).To(HaveOccurred())
	g.Expect(st.Index).To(BeEquivalentTo(1))
}
