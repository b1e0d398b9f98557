package wal

import (
	"errors"
	"fmt"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"testing"

	"leverdrum/wire"
)

var errStopped = errors.New("the process was stopped")

// restartMode is what of the unsynced changes a stopped process leaves.
type restartMode int

const (
	keepAll     restartMode = iota // the process was killed
	loseAll                        // the machine lost power
	loseNames                      // it lost power after the contents of files had reached the disk
	loseAndTear                    // it lost power while the contents of files were written; half of what was unsynced is there
	restartModes
)

// inode is a file of a simulated disk.
type inode struct{ data, synced []byte }

// simulatedDisk has the files of one folder. It stops its process after a number of operations that change something.
type simulatedDisk struct {
	names, syncedNames map[string]*inode
	operations, stopAt int // stopAt 0: never
	stopped            bool
}

func newSimulatedDisk() *simulatedDisk {
	return &simulatedDisk{names: map[string]*inode{}, syncedNames: map[string]*inode{}}
}

// change performs an operation, unless the process was stopped before.
func (d *simulatedDisk) change(operation func()) error {
	if d.stopped {
		return errStopped
	}
	d.operations++
	operation()
	if d.operations == d.stopAt {
		d.stopped = true
		return errStopped
	}
	return nil
}

// restart leaves what the next process finds, which stops after a number of operations.
func (d *simulatedDisk) restart(mode restartMode, stopAt int) {
	if mode == loseAll || mode == loseNames || mode == loseAndTear {
		d.names = maps.Clone(d.syncedNames)
	}
	for _, f := range d.names {
		switch added := len(f.data) - len(f.synced); {
		case mode == loseAll, mode == loseAndTear && added <= 0:
			f.data = slices.Clone(f.synced)
		case mode == loseAndTear:
			f.data = slices.Clone(f.data[:len(f.synced)+added/2])
		}
		f.synced = slices.Clone(f.data)
	}
	d.syncedNames = maps.Clone(d.names)
	d.operations, d.stopAt, d.stopped = 0, stopAt, false
}

func (d *simulatedDisk) makeFolder(string) error { return nil }

func (d *simulatedDisk) list(string) (map[string]int64, error) {
	sizes := map[string]int64{}
	for name, f := range d.names {
		sizes[name] = int64(len(f.data))
	}
	return sizes, nil
}

func (d *simulatedDisk) read(path string) ([]byte, error) {
	f := d.names[filepath.Base(path)]
	if f == nil {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(f.data), nil
}

func (d *simulatedDisk) open(path string, truncate bool) (file, error) {
	name := filepath.Base(path)
	f := d.names[name]
	if f != nil && (!truncate || len(f.data) == 0) {
		return &simulatedFile{d, f}, nil
	}
	err := d.change(func() {
		if f == nil {
			f = &inode{}
			d.names[name] = f
		}
		f.data = nil
	})
	return &simulatedFile{d, f}, err
}

func (d *simulatedDisk) rename(from, to string) error {
	return d.change(func() {
		d.names[filepath.Base(to)] = d.names[filepath.Base(from)]
		delete(d.names, filepath.Base(from))
	})
}

func (d *simulatedDisk) remove(path string) error {
	return d.change(func() { delete(d.names, filepath.Base(path)) })
}

func (d *simulatedDisk) syncFolder(string) error {
	return d.change(func() { d.syncedNames = maps.Clone(d.names) })
}

type simulatedFile struct {
	disk  *simulatedDisk
	inode *inode
}

func (f *simulatedFile) WriteAt(b []byte, offset int64) (int, error) {
	return len(b), f.disk.change(func() {
		f.inode.data = append(slices.Clone(f.inode.data[:offset]), b...)
	})
}

func (f *simulatedFile) Truncate(size int64) error {
	return f.disk.change(func() { f.inode.data = slices.Clone(f.inode.data[:size]) })
}

func (f *simulatedFile) Sync() error {
	return f.disk.change(func() { f.inode.synced = slices.Clone(f.inode.data) })
}

func (*simulatedFile) Close() error { return nil }

// contents is what a folder has to hold.
type contents struct {
	terms    []uint64 // terms[i] is the term of entry i+1, those that the snapshot includes too
	snapshot uint64
	term     uint64
	vote     string
	cluster  string
	ballot   uint64
}

func (c contents) clone() contents {
	c.terms = slices.Clone(c.terms)
	return c
}

func (c contents) last() uint64 { return uint64(len(c.terms)) }

func (c contents) entries(from uint64) (list []*wire.Entry) {
	for i := from; i <= c.last(); i++ {
		list = append(list, &wire.Entry{Index: i, Term: c.terms[i-1], Data: []byte("entry")})
	}
	return list
}

func (c contents) hard() *wire.HardState { return &wire.HardState{Term: c.term, Vote: c.vote} }

// step changes what a folder holds. It returns what it then has to hold, and does so.
type step func(s *Store, c contents) (contents, error)

// appendEntries appends entries, after dropping some.
func appendEntries(dropped, count int, nextTerm bool) step {
	return func(s *Store, c contents) (contents, error) {
		n := c.clone()
		n.terms = n.terms[:max(n.snapshot, n.last()-min(n.last(), uint64(dropped)))]
		if nextTerm {
			n.term++
			n.vote = ""
		}
		from := n.last() + 1
		for range count {
			n.terms = append(n.terms, n.term)
		}
		return n, s.Append(&wire.Batch{Entries: n.entries(from), HardState: n.hard(), Agreed: n.snapshot})
	}
}

func castVote(s *Store, c contents) (contents, error) {
	n := c.clone()
	n.term++
	n.vote = fmt.Sprint("voted-", n.term)
	return n, s.Append(&wire.Batch{HardState: n.hard()})
}

// compact takes a snapshot of the member's own entries but the last.
func compact(s *Store, c contents) (contents, error) {
	n := c.clone()
	n.snapshot = max(n.snapshot, n.last()-1)
	return n, s.SaveSnapshot(&wire.Snapshot{Index: n.snapshot, Term: n.terms[n.snapshot-1]}, n.hard(), n.entries(n.snapshot+1))
}

// takeOver replaces the log by a leader's snapshot that begins some entries before the log's end, or after it.
func takeOver(beyond int) step {
	return func(s *Store, c contents) (contents, error) {
		n := c.clone()
		n.term++
		n.vote = ""
		index := max(n.snapshot+1, uint64(int(n.last())+beyond))
		n.terms = slices.Clone(n.terms[:n.snapshot])
		for n.last() < index {
			n.terms = append(n.terms, n.term)
		}
		n.snapshot = index
		return n, s.SaveSnapshot(&wire.Snapshot{Index: index, Term: n.term}, n.hard(), nil)
	}
}

// adopt is how a first member joins its cluster (package box, identity.adopt).
func adopt(s *Store, c contents) (contents, error) {
	n := c.clone()
	n.cluster = "id"
	if s.Loaded().Snapshot == nil {
		n.snapshot, n.terms, n.term = 1, []uint64{1}, 1
		if err := s.SaveSnapshot(&wire.Snapshot{Index: 1, Term: 1}, n.hard(), nil); err != nil {
			return n, err
		}
		if err := s.Reload(); err != nil {
			return n, err
		}
	}
	return n, s.SetClusterID(n.cluster)
}

func promise(s *Store, c contents) (contents, error) {
	n := c.clone()
	n.ballot++
	return n, s.SaveForming(&wire.Forming{Promised: &wire.Ballot{Number: n.ballot}})
}

var steps = []step{
	promise, promise, adopt, appendEntries(0, 2, false), castVote, appendEntries(0, 3, true), compact, appendEntries(1, 2, true),
	takeOver(4), appendEntries(0, 2, false), appendEntries(0, 3, true), takeOver(-1), castVote, appendEntries(0, 1, false),
}

// check compares what a folder holds with what it has to hold: before, or after an interrupted step. It returns which it is.
func check(s *Store, before, after contents) (contents, error) {
	l := s.Loaded()
	found := contents{snapshot: l.Snapshot.GetIndex(), term: l.HardState.GetTerm(), vote: l.HardState.GetVote(), cluster: s.Identity().ClusterId}
	forming, err := s.Forming()
	if err != nil {
		return found, err
	}
	found.ballot = forming.GetPromised().GetNumber()
	var terms []uint64
	for i, e := range l.Entries {
		if e.Index != found.snapshot+uint64(i)+1 {
			return found, fmt.Errorf("entry %d stands %d after the snapshot at %d", e.Index, i+1, found.snapshot)
		}
		terms = append(terms, e.Term)
	}
	if last := found.snapshot + uint64(len(terms)); l.CommittedIndex > last {
		return found, fmt.Errorf("index %d counts as committed, but the log ends at %d", l.CommittedIndex, last)
	}
	for _, want := range []contents{before, after} {
		logged := found.snapshot == want.snapshot && slices.Equal(terms, want.terms[want.snapshot:]) && (found.snapshot == 0 || l.Snapshot.Term == want.terms[found.snapshot-1])
		voted := found.term == before.term && found.vote == before.vote || found.term == after.term && found.vote == after.vote
		known := found.cluster == before.cluster || found.cluster == after.cluster
		promised := found.ballot == before.ballot || found.ballot == after.ballot
		if logged && voted && known && promised {
			found.terms = slices.Clone(want.terms)
			return found, nil
		}
	}
	return found, fmt.Errorf("found %+v with terms %v, want %+v or %+v", found, terms, before, after)
}

// run performs steps until the process stops. It returns what the folder has to hold before and after the interrupted step, and how
// many steps were completed.
func run(s *Store, c contents, list []step) (before, after contents, done int) {
	for _, perform := range list {
		next, err := perform(s, c)
		if err != nil {
			return c, next, done
		}
		c = next
		done++
	}
	return c, c, done
}

// explore stops the process after each operation that changes something, in each mode, and calls next with what is then to be done.
// It returns the number of stops.
func explore(d *simulatedDisk, c contents, list []step, next func(d *simulatedDisk, before, after contents, rest []step, mode restartMode) error) (stops int, err error) {
	for stopAt := 1; ; stopAt++ {
		for mode := range restartModes {
			copied := d.clone()
			copied.restart(keepAll, stopAt)
			before, after, rest := c, c, list
			if s, err := open(Options{Folder: "data", Box: "one", Cluster: "c", Incarnation: "first"}, copied); err == nil {
				var done int
				before, after, done = run(s, c, list)
				rest = list[done:]
			} else if !copied.stopped {
				return stops, fmt.Errorf("opening: %w", err)
			}
			if !copied.stopped {
				return stops, nil
			}
			stops++
			if err := next(copied, before, after, rest, mode); err != nil {
				return stops, fmt.Errorf("stop %d, mode %d: %w", stopAt, mode, err)
			}
		}
	}
}

// clone returns a disk that is as it was when the process stopped.
func (d *simulatedDisk) clone() *simulatedDisk {
	copies := map[*inode]*inode{}
	copyOf := func(names map[string]*inode) map[string]*inode {
		list := map[string]*inode{}
		for name, f := range names {
			if copies[f] == nil {
				copies[f] = &inode{slices.Clone(f.data), slices.Clone(f.synced)}
			}
			list[name] = copies[f]
		}
		return list
	}
	return &simulatedDisk{names: copyOf(d.names), syncedNames: copyOf(d.syncedNames)}
}

// reopen opens the folder that a stopped process left and checks what it holds.
func reopen(d *simulatedDisk, before, after contents, mode restartMode) (*Store, contents, error) {
	d.restart(mode, 0)
	s, err := open(Options{Folder: "data", Box: "one", Cluster: "c", Incarnation: "first"}, d)
	if err != nil {
		return nil, contents{}, err
	}
	found, err := check(s, before, after)
	return s, found, err
}

// waysOn returns how a member may go on after a stop: it performs the interrupted step again, or does something else.
func waysOn(rest []step) [][]step {
	if len(rest) == 0 {
		return [][]step{rest}
	}
	return [][]step{rest, rest[1:]}
}

// exploreSecond stops the process that follows a stop, too, and checks what each process finds.
func exploreSecond(d *simulatedDisk, before, after contents, rest []step, mode restartMode) (pairs int, err error) {
	left := d.clone()
	_, found, err := reopen(d, before, after, mode)
	if err != nil {
		return 0, err
	}
	left.restart(mode, 0)
	for _, list := range waysOn(rest) {
		n, err := explore(left, found, list, func(d *simulatedDisk, before, after contents, rest []step, mode restartMode) error {
			for _, list := range waysOn(rest) {
				if err := finish(d.clone(), before, after, list, mode); err != nil {
					return err
				}
			}
			return nil
		})
		if pairs += n; err != nil {
			return pairs, err
		}
	}
	return pairs, nil
}

// finish performs the last steps without a stop and checks what a process then finds.
func finish(d *simulatedDisk, before, after contents, list []step, mode restartMode) error {
	s, found, err := reopen(d, before, after, mode)
	if err != nil {
		return err
	}
	end, _, done := run(s, found, list)
	if done < len(list) {
		return fmt.Errorf("%d of %d steps were completed after the second stop", done, len(list))
	}
	_, _, err = reopen(d, end, end, loseAll)
	return err
}

// Guards against any acknowledged entry, vote, term or promise that a stop of the process or a loss of power loses, at each operation
// on files, and against one that a second stop loses after the first (LOST).
func TestEveryPairOfStops(t *testing.T) {
	pairs := 0
	first, err := explore(newSimulatedDisk(), contents{}, steps, func(d *simulatedDisk, before, after contents, rest []step, mode restartMode) error {
		n, err := exploreSecond(d, before, after, rest, mode)
		pairs += n
		return err
	})
	if err != nil {
		t.Error(err)
	}
	t.Logf("%d first stops, %d pairs", first, pairs)
}
