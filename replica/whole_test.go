package replica

import (
	"testing"

	. "github.com/onsi/gomega"

	"leverdrum/wire"
)

// Boxes that start lack too much for entries. Each that asked had the whole state encoded
// and packed anew, 50 of them at once at each box that had it.
func TestAWholeStateIsPackedOnceForAllThatAsk(t *testing.T) {
	g := NewWithT(t)
	r := leader(t)
	proposeMany(t, r, 2*recentLength)
	first, at := wholeOf(t, r)
	proposeMany(t, r, 10)
	second, _ := wholeOf(t, r)
	g.Expect(&second[0]).To(BeIdenticalTo(&first[0]), "the same bytes, not packed again")
	// Who has taken it over gets the rest as entries.
	entries, whole, err := r.UpdatesSince(at)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(whole).To(BeEmpty())
	g.Expect(entries[0].Index).To(Equal(at + 1))
	g.Expect(entries[len(entries)-1].Index).To(Equal(r.View().Index))
}

// A whole state that is long behind, or whose entries are kept no more, is packed anew.
func TestAnOldWholeStateIsPackedAnew(t *testing.T) {
	for name, behind := range map[string]int{"a few more": wholeBehind + 1, "entries are gone": 2*recentLength + 1} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := leader(t)
			proposeMany(t, r, 2*recentLength)
			wholeOf(t, r)
			proposeMany(t, r, behind)
			_, at := wholeOf(t, r)
			g.Expect(at).To(Equal(r.View().Index))
			entries, whole, err := r.UpdatesSince(at)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(entries).To(BeEmpty())
			g.Expect(whole).To(BeEmpty())
		})
	}
}

// proposeMany has so many entries agreed that change nothing.
func proposeMany(t *testing.T, r *Replica, count int) {
	commands := make([]*wire.Command, count)
	for i := range commands {
		commands[i] = &wire.Command{Kind: &wire.Command_Withdraw{Withdraw: &wire.Withdraw{Id: "none"}}}
	}
	proposeAll(t, r, commands...)
}

// wholeOf returns the state that a new box gets, and its index.
func wholeOf(t *testing.T, r *Replica) ([]byte, uint64) {
	_, whole, err := r.UpdatesSince(0)
	if err != nil {
		t.Fatal(err)
	}
	st, err := unpackState(whole)
	if err != nil {
		t.Fatal(err)
	}
	return whole, st.Index
}
