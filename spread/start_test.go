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

// kept is the disk of a voter whose cluster lost its power.
type kept struct {
	replica.MemoryStorage
	loaded wal.Loaded
}

func (k kept) Loaded() wal.Loaded { return k.loaded }

// entryOf is an entry with a fleet file of a number.
func entryOf(t *testing.T, index, number uint64) *wire.Entry {
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

// restarted is a fleet whose boxes have all just come back: voters a1, a2 and b1, of which
// some hold a second file that may or may not be accepted, and b2 without a disk. Nobody
// ever reaches those that are cut off, or hears of them.
func restarted(t *testing.T, ctx context.Context, cut, withSecond []string) *fleet {
	voters := []string{"a1/1", "a2/1", "b1/1"}
	f := newNetwork()
	f.network(func(from, to string) bool { return !slices.Contains(cut, from) && !slices.Contains(cut, to) })
	for _, box := range []string{"a1", "a2", "b1", "b2"} {
		self := &wire.Member{Box: box, Incarnation: "1", Hall: box[:1], Disk: box != "b2"}
		var storage replica.Storage = replica.MemoryStorage{}
		if self.Disk {
			l := wal.Loaded{
				Hard: &wire.HardState{Term: 1}, Snapshot: &wire.Snapshot{Index: 1, Term: 1, Config: &wire.Config{Voters: voters}},
				Entries: []*wire.Entry{entryOf(t, 2, 1)}, Agreed: 2,
			}
			if slices.Contains(withSecond, box) {
				l.Entries = append(l.Entries, entryOf(t, 3, 2))
			}
			storage = kept{loaded: l}
		}
		f.start(t, self, storage, consensus.Options{ID: state.MemberID(self), ElectionMin: time.Hour, Heartbeat: time.Second, Lease: time.Minute, Seed: 1}, "a1", "a2", "b1")
	}
	f.run(ctx)
	return f
}

func TestBoxesServeByTheVotersWordBeforeALeaderIsFound(t *testing.T) {
	for name, row := range map[string]struct {
		cut     []string // boxes that nobody reaches
		second  []string // voters that hold a newer file
		current bool
	}{
		"all back":                                 {nil, nil, true},
		"a majority of the voters":                 {[]string{"b1"}, nil, true},
		"one voter alone":                          {[]string{"a2", "b1"}, nil, false},
		"a newer file may be accepted":             {nil, []string{"a2"}, false},
		"a newer file at a voter that is not back": {[]string{"a2"}, []string{"a2"}, true},
		"a newer file that a majority holds":       {nil, []string{"a1", "b1"}, true},
		"a newer file that was surely accepted":    {[]string{"a2"}, []string{"a1", "b1"}, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				ctx, cancel := context.WithCancel(t.Context())
				f := restarted(t, ctx, row.cut, row.second)
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
