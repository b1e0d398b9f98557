package spread_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"leverdrum/consensus"
	files "leverdrum/fleet"
	"leverdrum/replica"
	"leverdrum/state"
	"leverdrum/wal"
	"leverdrum/wire"
)

// voterDisk is the disk of a voter whose cluster lost power.
type voterDisk struct {
	replica.MemoryStorage
	loaded wal.Loaded
}

func (d voterDisk) Loaded() wal.Loaded { return d.loaded }

// fileEntry is an entry with the fleet file of the given number.
func fileEntry(t *testing.T, index, number uint64) *wire.Entry {
	text := fmt.Sprintf("[fleet]\nnumber = %d\n[hall a]\n", number)
	return commandEntry(t, index, &wire.Command{Kind: &wire.Command_Apply{Apply: &wire.ApplyFleet{Number: number, Text: text, Digest: files.Digest([]byte(text))}}})
}

func commandEntry(t *testing.T, index uint64, c *wire.Command) *wire.Entry {
	data, err := proto.Marshal(c)
	if err != nil {
		t.Fatal(err)
	}
	return &wire.Entry{Index: index, Term: 1, Kind: wire.EntryKind_ENTRY_COMMAND, Data: data}
}

// newRestartedFleet returns a fleet whose boxes have all just restarted: voters a1, a2 and b1, and
// b2 without a disk. Some of the voters hold a second file that may or may not be accepted. The
// unreachable boxes never exchange requests with others.
func newRestartedFleet(t *testing.T, ctx context.Context, unreachable, withSecondFile []string) *fleet {
	voters := []string{"a1/1", "a2/1", "b1/1"}
	f := newEmptyFleet()
	f.setReachability(func(from, to string) bool {
		return !slices.Contains(unreachable, from) && !slices.Contains(unreachable, to)
	})
	for _, box := range []string{"a1", "a2", "b1", "b2"} {
		self := &wire.Member{Box: box, Incarnation: "1", Hall: box[:1], Disk: box != "b2"}
		var storage replica.Storage = replica.MemoryStorage{}
		if self.Disk {
			l := wal.Loaded{
				Hard: &wire.HardState{Term: 1}, Snapshot: &wire.Snapshot{Index: 1, Term: 1, Config: &wire.Config{Voters: voters}},
				Entries: []*wire.Entry{fileEntry(t, 2, 1)}, Agreed: 2,
			}
			if slices.Contains(withSecondFile, box) {
				l.Entries = append(l.Entries, fileEntry(t, 3, 2))
			}
			storage = voterDisk{loaded: l}
		}
		f.start(t, self, storage, consensus.Options{ID: state.MemberID(self), ElectionMin: time.Hour, Heartbeat: time.Second, Lease: time.Minute, Seed: 1}, "a1", "a2", "b1")
	}
	f.run(ctx)
	return f
}

func TestBoxesAreCurrentByVoterPositions(t *testing.T) {
	for name, row := range map[string]struct {
		unreachable []string // boxes that no other box reaches
		second      []string // voters that hold a newer file
		current     bool
	}{
		"all restarted":                            {nil, nil, true},
		"a majority of the voters":                 {[]string{"b1"}, nil, true},
		"one voter alone":                          {[]string{"a2", "b1"}, nil, false},
		"a newer file may be accepted":             {nil, []string{"a2"}, false},
		"a newer file at an unreachable voter":     {[]string{"a2"}, []string{"a2"}, true},
		"a newer file that a majority holds":       {nil, []string{"a1", "b1"}, true},
		"a newer file that was certainly accepted": {[]string{"a2"}, []string{"a1", "b1"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, cancel := context.WithCancel(t.Context())
				f := newRestartedFleet(t, ctx, row.unreachable, row.second)
				defer f.close()
				defer cancel()
				time.Sleep(500 * time.Millisecond)
				for _, box := range []string{"a1", "b2"} {
					g.Expect(f.boxes[box].spread.Current()).To(Equal(row.current), box)
					if len(row.second) > 1 {
						g.Expect(f.boxes[box].replica.View().Version.GetNumber()).To(BeEquivalentTo(2), box)
					}
				}
			})
		})
	}
}
