package spread_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/consensus"
	"leverdrum/replica"
	"leverdrum/state"
	"leverdrum/wal"
	"leverdrum/wire"
)

// restartedMany is a fleet of boxes in halls, whose first boxes hold the list of all of them
// on their disks: all have just come back, and nobody leads.
func restartedMany(t *testing.T, ctx context.Context, halls []string, perHall int) *fleet {
	f := newNetwork()
	var members []*wire.Member
	var voters, seeds []string
	for _, hall := range halls {
		for i := range perHall {
			m := &wire.Member{Box: fmt.Sprintf("%s%02d", hall, i), Incarnation: "1", Hall: hall, Disk: i == 0}
			members = append(members, m)
			if m.Disk {
				voters, seeds = append(voters, state.MemberID(m)), append(seeds, m.Box)
			}
		}
	}
	entries := []*wire.Entry{entryOf(t, 2, 1)}
	for _, m := range members {
		entries = append(entries, commandEntry(t, uint64(len(entries)+2), &wire.Command{Kind: &wire.Command_Join{Join: m}}))
	}
	for _, m := range members {
		var storage replica.Storage = replica.MemoryStorage{}
		if m.Disk {
			storage = kept{loaded: wal.Loaded{
				Hard: &wire.HardState{Term: 1}, Snapshot: &wire.Snapshot{Index: 1, Term: 1, Config: &wire.Config{Voters: voters}},
				Entries: entries, Agreed: entries[len(entries)-1].Index,
			}}
		}
		f.start(t, m, storage, consensus.Options{ID: state.MemberID(m), ElectionMin: time.Hour, Heartbeat: time.Second, Lease: time.Minute, Seed: 1}, seeds[:3]...)
	}
	f.run(ctx)
	return f
}

// mostLooks is how often a box may look at one that may vote in the first second.
const mostLooks = 12

// Boxes that had lost their power all at once looked at all others every 40 ms, each over a
// connection of its own, until one led: 299 boxes asked by each of 300 where six know
// the answer.
func TestBoxesThatStartLookAtFewOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := restartedMany(t, ctx, []string{"a", "b", "c", "d", "e", "g"}, 20)
		defer f.close()
		defer cancel()
		time.Sleep(time.Second)
		for box, n := range f.boxes {
			g.Expect(n.spread.Current()).To(BeTrue(), box)
		}
		for _, voter := range []string{"a00", "c00", "g00"} {
			g.Expect(f.answered(voter)).To(BeNumerically("<=", mostLooks*len(f.boxes)), voter)
		}
		asked := f.asked()
		for box, others := range asked {
			g.Expect(len(others)).To(BeNumerically("<=", 16), "%s asked %v", box, others)
		}
	})
}

// Where nobody leads for longer, each box looks at all others, since a majority of them may
// say that nothing newer is in force (5): the more of them there are, the more rarely.
func TestWithoutALeaderTheQuestionsOfABoxAreBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := restartedMany(t, ctx, []string{"a", "b", "c", "d", "e", "g"}, 50)
		defer f.close()
		defer cancel()
		time.Sleep(7 * time.Second)
		before := f.probed("d33")
		time.Sleep(6 * time.Second)
		g.Expect(f.probed("d33") - before).To(And(BeNumerically(">=", 299), BeNumerically("<=", 6*300)))
	})
}
