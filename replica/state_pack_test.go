package replica

import (
	"testing"

	. "github.com/onsi/gomega"

	"leverdrum/wire"
)

// Starting boxes lag too far behind for entries. The state must not be encoded and packed for
// each request: 50 boxes at once asked each box that had it.
func TestStateIsPackedOnceForManyRequests(t *testing.T) {
	g := NewWithT(t)
	r := startLeader(t)
	proposeMany(t, r, 2*recentLength)
	first, at := requestState(t, r)
	proposeMany(t, r, 10)
	second, _ := requestState(t, r)
	g.Expect(&second[0]).To(BeIdenticalTo(&first[0]), "the same bytes, not packed again")
	// A box that has applied it gets the rest as entries.
	entries, packed, err := r.UpdatesSince(at)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(packed).To(BeEmpty())
	g.Expect(entries[0].Index).To(Equal(at + 1))
	g.Expect(entries[len(entries)-1].Index).To(Equal(r.View().Index))
}

// A packed state that lags too far behind, or after which entries are no longer kept, is packed again.
func TestOldPackedStateIsReplaced(t *testing.T) {
	for name, lag := range map[string]int{"lag above the limit": maxPackedLag + 1, "entries are no longer kept": 2*recentLength + 1} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			r := startLeader(t)
			proposeMany(t, r, 2*recentLength)
			requestState(t, r)
			proposeMany(t, r, lag)
			_, at := requestState(t, r)
			g.Expect(at).To(Equal(r.View().Index))
			entries, packed, err := r.UpdatesSince(at)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(entries).To(BeEmpty())
			g.Expect(packed).To(BeEmpty())
		})
	}
}

// proposeMany commits count entries that change nothing.
func proposeMany(t *testing.T, r *Replica, count int) {
	commands := make([]*wire.Command, count)
	for i := range commands {
		commands[i] = &wire.Command{Kind: &wire.Command_Withdraw{Withdraw: &wire.Withdraw{Id: "none"}}}
	}
	proposeAll(t, r, commands...)
}

// requestState returns the packed state that a new box gets, and its index.
func requestState(t *testing.T, r *Replica) ([]byte, uint64) {
	_, packed, err := r.UpdatesSince(0)
	if err != nil {
		t.Fatal(err)
	}
	st, err := unpackState(packed)
	if err != nil {
		t.Fatal(err)
	}
	return packed, st.Index
}
