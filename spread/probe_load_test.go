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

// newRestartedLargeFleet returns a fleet in which the first box of each hall holds the list of
// all boxes on its disk. All boxes have just restarted, and there is no leader.
func newRestartedLargeFleet(t *testing.T, ctx context.Context, halls []string, perHall int) *fleet {
	f := newEmptyFleet()
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
	entries := []*wire.Entry{fileEntry(t, 2, 1)}
	for _, m := range members {
		entries = append(entries, commandEntry(t, uint64(len(entries)+2), &wire.Command{Kind: &wire.Command_Join{Join: m}}))
	}
	for _, m := range members {
		var storage replica.Storage = replica.MemoryStorage{}
		if m.Disk {
			storage = voterDisk{loaded: wal.Loaded{
				Hard: &wire.HardState{Term: 1}, Snapshot: &wire.Snapshot{Index: 1, Term: 1, Config: &wire.Config{Voters: voters}},
				Entries: entries, Agreed: entries[len(entries)-1].Index,
			}}
		}
		f.start(t, m, storage, consensus.Options{ID: state.MemberID(m), ElectionMin: time.Hour, Heartbeat: time.Second, Lease: time.Minute, Seed: 1}, seeds[:3]...)
	}
	f.run(ctx)
	return f
}

// maxStartupProbes is how often a box may probe a possible voter in the first second.
const maxStartupProbes = 12

// Guards against a flood of probes after a power loss of all boxes. Every 40 ms, until there was
// a leader, each box probed all others, each over a separate connection: each of 300 boxes asked
// 299 others where six know the answer.
func TestStartingBoxesProbeFewOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := newRestartedLargeFleet(t, ctx, []string{"a", "b", "c", "d", "e", "g"}, 20)
		defer f.close()
		defer cancel()
		time.Sleep(time.Second)
		for box, n := range f.boxes {
			g.Expect(n.spread.Current()).To(BeTrue(), box)
		}
		for _, voter := range []string{"a00", "c00", "g00"} {
			g.Expect(f.requestsTo(voter)).To(BeNumerically("<=", maxStartupProbes*len(f.boxes)), voter)
		}
		asked := f.requestCounts()
		for box, others := range asked {
			g.Expect(len(others)).To(BeNumerically("<=", 16), "%s asked %v", box, others)
		}
	})
}

// While there is no leader for longer, each box probes all others, since a majority of them can
// confirm that no newer file is active (5). The interval grows with the number of boxes.
func TestProbeRateIsBoundedWithoutLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := newRestartedLargeFleet(t, ctx, []string{"a", "b", "c", "d", "e", "g"}, 50)
		defer f.close()
		defer cancel()
		time.Sleep(7 * time.Second)
		before := f.probesFrom("d33")
		time.Sleep(6 * time.Second)
		g.Expect(f.probesFrom("d33") - before).To(And(BeNumerically(">=", 299), BeNumerically("<=", 6*300)))
	})
}
