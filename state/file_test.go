package state_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"leverdrum/standin"
	"leverdrum/state"
	"leverdrum/wire"
)

func applyEntry(t interface{ Fatal(...any) }, s *state.State, a *wire.ApplyFleet) state.Result {
	data, err := proto.Marshal(&wire.Command{Kind: &wire.Command_Apply{Apply: a}})
	if err != nil {
		t.Fatal(err)
	}
	return s.Apply(&wire.Entry{Index: s.Index + 1, Term: 1, Kind: wire.EntryKind_ENTRY_COMMAND, Data: data})
}

// Packed or not, from the log or from a snapshot, all boxes must get the same text.
func TestPackedFileRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		whole, follower := state.New(), state.New()
		for number := range uint64(6) {
			text := strings.Repeat(rapid.StringN(0, 30, -1).Draw(t, "part"), rapid.IntRange(0, 200).Draw(t, "times"))
			a := standin.NumberedFile(number+1, text)
			baseState := whole
			if rapid.Bool().Draw(t, "alone") {
				baseState = nil
			}
			packed := state.PackFile(a, baseState)
			g.Expect(applyEntry(t, whole, a).Apply).To(Equal(state.Accepted))
			g.Expect(applyEntry(t, follower, packed).Apply).To(Equal(state.Accepted))
			g.Expect(follower.Text).To(Equal(a.Text))
			if rapid.Bool().Draw(t, "restart") {
				next, err := state.Decode(follower.Encode())
				g.Expect(err).NotTo(HaveOccurred())
				g.Expect(next.Text).To(Equal(a.Text))
				follower = next
			}
			text, err := state.FileText(follower.Encode())
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(text).To(Equal(a.Text))
		}
	})
}

func TestFilePackedAgainstOtherBaseIsInvalid(t *testing.T) {
	g := NewWithT(t)
	s := state.New()
	first := standin.NumberedFile(1, "one")
	g.Expect(applyEntry(t, s, first).Apply).To(Equal(state.Accepted))
	stale := state.PackFile(standin.NumberedFile(3, "three"), s)
	g.Expect(applyEntry(t, s, standin.NumberedFile(2, "two")).Apply).To(Equal(state.Accepted))
	g.Expect(applyEntry(t, s, stale).Apply).To(Equal(state.Invalid))
	g.Expect(s.Version.Number).To(BeEquivalentTo(2))
	corrupted := state.PackFile(standin.NumberedFile(4, "four"), s)
	corrupted.Packed = corrupted.Packed[:len(corrupted.Packed)-1]
	g.Expect(applyEntry(t, s, corrupted).Apply).To(Equal(state.Invalid))
}

// Logs and snapshots written before files were packed contain the plain text.
func TestUnpackedTextIsAccepted(t *testing.T) {
	g := NewWithT(t)
	s := state.New()
	a := standin.NumberedFile(1, "one")
	g.Expect(applyEntry(t, s, a).Apply).To(Equal(state.Accepted))
	w := s.Encode()
	w.FleetPacked, w.FleetText = nil, a.Text
	old, err := state.Decode(w)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(old.Text).To(Equal(a.Text))
	again, err := state.UnpackFile(a)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(proto.Equal(again, a)).To(BeTrue())
}
