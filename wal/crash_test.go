package wal

import (
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"leverdrum/internal/fixed"
	"leverdrum/wire"
)

// TestMain fixes the seed, so that every run gives the same result; -rapid.seed and -rapid.checks on the command line
// take precedence.
func TestMain(m *testing.M) {
	fixed.SetRapidFlags(100)
	os.Exit(m.Run())
}

// files returns the contents of a folder's files by name.
func files(t rapid.TB, folder string) map[string][]byte {
	list, err := os.ReadDir(folder)
	if err != nil {
		t.Fatal(err)
	}
	all := map[string][]byte{}
	for _, e := range list {
		data, err := os.ReadFile(filepath.Join(folder, e.Name()))
		if err != nil {
			t.Fatal(err)
		}
		all[e.Name()] = data
	}
	return all
}

// crashStates returns the contents that a folder may have after a crash in SaveSnapshot, given those before and after the call.
func crashStates(before, after map[string][]byte) []map[string][]byte {
	replaced := maps.Clone(before)
	replaced[snapshotName] = after[snapshotName]
	states := []map[string][]byte{before, replaced}
	both := maps.Clone(after)
	removed := []string{}
	for name, data := range before {
		if strings.HasPrefix(name, segmentPrefix) && after[name] == nil {
			both[name] = data
			removed = append(removed, name)
		}
	}
	slices.Sort(removed)
	for _, name := range removed {
		states = append(states, maps.Clone(both))
		delete(both, name)
	}
	return append(states, both)
}

// restore replaces the contents of a folder.
func restore(t rapid.TB, folder string, contents map[string][]byte) {
	if err := os.RemoveAll(folder); err != nil {
		t.Fatal(err)
	}
	if err := os.Mkdir(folder, folderMode); err != nil {
		t.Fatal(err)
	}
	for name, data := range contents {
		if err := os.WriteFile(filepath.Join(folder, name), data, fileMode); err != nil {
			t.Fatal(err)
		}
	}
}

// follower is a model of what a member must find in its folder: the terms of the entries, by index, that it has acknowledged.
type follower struct {
	t        *rapid.T
	folder   string
	store    *Store
	terms    []uint64 // terms[i] is the term of entry i+1
	snapshot uint64   // index of the newest snapshot
}

func (f *follower) open() {
	s, err := Open(Options{Folder: f.folder, Box: "one", Cluster: "c", Incarnation: "first"})
	if err != nil {
		f.t.Fatal(err)
	}
	f.store = s
}

func (f *follower) list(from, to uint64) []*wire.Entry {
	var list []*wire.Entry
	for i := from; i <= to; i++ {
		list = append(list, &wire.Entry{Index: i, Term: f.terms[i-1], Data: []byte("entry")})
	}
	return list
}

// appendEntries appends entries of the last term or of a later one, and may truncate the log behind the snapshot before.
func (f *follower) appendEntries() {
	last := uint64(len(f.terms))
	from := rapid.Uint64Range(f.snapshot, last).Draw(f.t, "after")
	term := uint64(1)
	if last > 0 {
		term = f.terms[last-1]
	}
	if from < last || rapid.Bool().Draw(f.t, "next term") {
		term++
	}
	f.terms = f.terms[:from]
	for range rapid.IntRange(1, 4).Draw(f.t, "count") {
		f.terms = append(f.terms, term)
	}
	to := uint64(len(f.terms))
	if err := f.store.Append(&wire.Batch{Entries: f.list(from+1, to), HardState: &wire.HardState{Term: term}, Agreed: f.snapshot}); err != nil {
		f.t.Fatal(err)
	}
}

// takeSnapshot replaces the log by a snapshot: a leader's, which may conflict with the log, or one of the member's own entries.
// It may crash on the way; the snapshot counts as stored only if the folder has it.
func (f *follower) takeSnapshot() {
	last := uint64(len(f.terms))
	index := rapid.Uint64Range(f.snapshot+1, last+3).Draw(f.t, "snapshot")
	terms := slices.Clone(f.terms)
	if index > last || rapid.Bool().Draw(f.t, "conflicts") {
		term := uint64(1)
		if last > 0 {
			term = f.terms[last-1] + 1
		}
		terms = slices.Concat(terms[:min(f.snapshot, index)], slices.Repeat([]uint64{term}, int(index-f.snapshot)))
	}
	before := files(f.t, f.folder)
	old := f.terms
	f.terms = terms
	snapshot := &wire.Snapshot{Index: index, Term: terms[index-1]}
	if err := f.store.SaveSnapshot(snapshot, &wire.HardState{Term: terms[len(terms)-1]}, f.list(index+1, uint64(len(terms)))); err != nil {
		f.t.Fatal(err)
	}
	states := crashStates(before, files(f.t, f.folder))
	n := rapid.IntRange(0, len(states)).Draw(f.t, "crash")
	if n == len(states) {
		f.snapshot = index
		return
	}
	f.store.Close()
	restore(f.t, f.folder, states[n])
	f.open()
	if n == 0 {
		f.terms = old
		return
	}
	f.snapshot = index
}

func (f *follower) restart() {
	f.store.Close()
	f.open()
}

// check compares what the folder holds with what the member has acknowledged.
func (f *follower) check() {
	l := f.store.Loaded()
	if l.Snapshot.GetIndex() != f.snapshot || (f.snapshot > 0 && l.Snapshot.Term != f.terms[f.snapshot-1]) {
		f.t.Fatalf("snapshot at %d in term %d, want %d", l.Snapshot.GetIndex(), l.Snapshot.GetTerm(), f.snapshot)
	}
	var terms []uint64
	for i, e := range l.Entries {
		if e.Index != f.snapshot+uint64(i)+1 {
			f.t.Fatalf("entry %d stands at position %d after the snapshot at %d", e.Index, i+1, f.snapshot)
		}
		terms = append(terms, e.Term)
	}
	if want := f.terms[f.snapshot:]; !slices.Equal(terms, want) {
		f.t.Fatalf("after the snapshot at %d: terms %v, want %v", f.snapshot, terms, want)
	}
	if last := f.snapshot + uint64(len(l.Entries)); l.CommittedIndex > last {
		f.t.Fatalf("index %d counts as committed, but the log ends at %d", l.CommittedIndex, last)
	}
}

// TestAcknowledgedEntriesSurviveCrashes guards against a member that drops, at a start, what it had acknowledged after an earlier
// crash in SaveSnapshot (docs/incidents/snapshot-takeover.md).
func TestAcknowledgedEntriesSurviveCrashes(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "data")
	rapid.Check(t, func(rt *rapid.T) {
		if err := os.RemoveAll(folder); err != nil {
			rt.Fatal(err)
		}
		f := &follower{t: rt, folder: folder}
		f.open()
		defer func() { f.store.Close() }()
		for range rapid.IntRange(1, 8).Draw(rt, "steps") {
			rapid.SampledFrom([]func(){f.appendEntries, f.takeSnapshot, f.restart}).Draw(rt, "step")()
			f.restart()
			f.check()
		}
	})
}
