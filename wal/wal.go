// Package wal stores a member's identity, write-ahead log and snapshots in one data folder.
//
// The folder holds:
//
//	identity        the identity of this box; written once, never changed
//	forming         what this box promised while the cluster was formed; missing otherwise
//	snapshot        the newest snapshot; replaced by rename
//	log-N           segment N of the log: batches of entries and votes
//
// Rules:
//
//  1. Every file consists of frames. A frame's header (length, payload checksum,
//     header checksum) and its payload are written in a single write, and a frame
//     is durable before the next one is written.
//  2. A crash can therefore tear only the last frame of the last segment, and any
//     part of that frame can be missing. It was never acknowledged, so it is
//     truncated. An invalid frame followed by a complete one means that acknowledged
//     records are lost: the folder is rejected and nothing is written to it.
//  3. After a failed sync the content of the disk is unknown, so the error is fatal
//     for the process (ErrSync). A full disk is not fatal: the partial frame is
//     truncated, and ErrDiskFull tells the caller that nothing was stored.
//  4. A snapshot is written completely to its own file before it replaces the old
//     one. Segments are removed only after that.
//  5. Entries of the log are used only if they connect to the snapshot: a record of
//     the log names the snapshot that it follows (Base), or the log contains the
//     snapshot's last entry. Otherwise the snapshot was replaced, but the new segment
//     was not written, and the old log is discarded. The next batch that is appended
//     then names the snapshot.
//  6. A batch that names a snapshot replaces all entries before it, those of older
//     segments too: a crash may have kept segments that were to be removed.
//  7. A folder of another box, another cluster or a newer format is rejected.
package wal

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"leverdrum/wire"
)

// Format is the version of the on-disk format that this build writes.
const Format = 1

// Names of the files in a data folder.
const (
	identityName  = "identity"
	formingName   = "forming"
	snapshotName  = "snapshot"
	segmentPrefix = "log-"
	tempSuffix    = ".new"
)

const (
	folderMode = 0o700
	fileMode   = 0o600
)

// Error is the class of this package's errors.
var Error = errs.Class("data folder")

// Errors of a store that could not read or write its records.
var (
	// ErrDiskFull: no space is left. Nothing of the batch was stored, and the store remains usable.
	ErrDiskFull = errors.New("the data folder is full; free disk space or raise its limit")
	// ErrSync: a write could not be made durable. The process must exit.
	ErrSync = errors.New("the disk did not confirm a write; replace the disk or restart the box")
	// ErrCorrupt: acknowledged records are lost or unreadable.
	ErrCorrupt = errors.New("acknowledged records are corrupted; empty the folder to let the box rejoin as a new member")
	// ErrForeign: the folder belongs to another box or cluster, or has a newer format.
	ErrForeign = errors.New("the folder belongs to another box or cluster, or has a newer format")
)

// Options configure a store.
type Options struct {
	// Folder is the data folder. It is created if it does not exist.
	Folder string
	// Box and Cluster must match the identity in the folder.
	Box, Cluster string
	// Limit is the maximum size of the folder in bytes. 0 means limited by the disk only.
	Limit int64
	// Incarnation goes into the new identity if the folder is empty.
	Incarnation string
}

// Store is an open data folder. It is not safe for concurrent use.
type Store struct {
	opts        Options
	files       filesystem
	identity    *wire.Identity
	loaded      Loaded
	base        *wire.Base // newest one in the log
	pendingBase *wire.Base // snapshot that the next batch must name, nil if the log connects to it (5)
	segment     file
	segmentName string
	seq         uint64
	segmentSize int64 // bytes of the open segment
	otherSize   int64 // bytes of all other files
}

// Loaded is the content of a folder when it was opened.
type Loaded struct {
	HardState *wire.HardState
	Snapshot  *wire.Snapshot
	Entries   []*wire.Entry
	// CommittedIndex is the highest index known to be committed.
	CommittedIndex uint64
	// Torn is set if an unacknowledged last frame was truncated.
	Torn bool
}

// Open opens a data folder, creating it if needed.
func Open(opts Options) (*Store, error) {
	return open(opts, osFiles{})
}

func open(opts Options, files filesystem) (*Store, error) {
	if err := files.makeFolder(opts.Folder); err != nil {
		return nil, Error.Wrap(err)
	}
	s := &Store{opts: opts, files: files}
	if err := s.openIdentity(); err != nil {
		return nil, err
	}
	if err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Identity returns the identity stored in the folder. Its cluster ID is empty
// until the box has joined a cluster.
func (s *Store) Identity() *wire.Identity { return s.identity }

// Loaded returns the content of the folder when it was last opened or reloaded.
func (s *Store) Loaded() Loaded { return s.loaded }

// SetClusterID durably stores the ID of the cluster that the box belongs to.
func (s *Store) SetClusterID(id string) error {
	next := proto.CloneOf(s.identity)
	next.ClusterId = id
	if err := s.replace(identityName, next); err != nil {
		return err
	}
	s.identity = next
	return nil
}

// Forming returns what the box has promised as a first member, nil if it is none.
func (s *Store) Forming() (*wire.Forming, error) {
	f := &wire.Forming{}
	err := s.readSingleFrame(formingName, f)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return nil, nil
	case err != nil:
		return nil, err
	}
	return f, nil
}

// SaveForming durably stores what the box has promised as a first member.
func (s *Store) SaveForming(f *wire.Forming) error { return s.replace(formingName, f) }

func (s *Store) path(name string) string { return filepath.Join(s.opts.Folder, name) }

func (s *Store) openIdentity() error {
	id := &wire.Identity{}
	err := s.readSingleFrame(identityName, id)
	if errors.Is(err, os.ErrNotExist) {
		return s.newIdentity()
	}
	if err != nil {
		return err
	}
	if reason := s.identityMismatch(id); reason != "" { // (7)
		return Error.Wrap(fmt.Errorf("%s: %w: %s", s.opts.Folder, ErrForeign, reason))
	}
	s.identity = id
	return nil
}

func (s *Store) newIdentity() error {
	names, err := s.segments()
	if err != nil {
		return err
	}
	if _, err := s.files.read(s.path(snapshotName)); err == nil || len(names) > 0 {
		return Error.Wrap(fmt.Errorf("%s: %w: records exist, but the identity file is missing", s.opts.Folder, ErrCorrupt))
	}
	s.identity = &wire.Identity{Format: Format, Box: s.opts.Box, Cluster: s.opts.Cluster, Incarnation: s.opts.Incarnation}
	return s.replace(identityName, s.identity)
}

func (s *Store) identityMismatch(id *wire.Identity) string {
	switch {
	case id.Format > Format:
		return fmt.Sprintf("format is %d, but this build supports up to %d", id.Format, Format)
	case id.Box != s.opts.Box:
		return fmt.Sprintf("it belongs to box %q, but this is box %q", id.Box, s.opts.Box)
	case id.Cluster != s.opts.Cluster:
		return fmt.Sprintf("it belongs to cluster %q, but this is cluster %q", id.Cluster, s.opts.Cluster)
	}
	return ""
}

// Reload discards the in-memory state and reads the folder again.
func (s *Store) Reload() error {
	s.closeSegment()
	s.loaded, s.base, s.pendingBase = Loaded{}, nil, nil
	if err := s.loadSnapshot(); err != nil {
		return err
	}
	names, err := s.segments()
	if err != nil {
		return err
	}
	for i, name := range names {
		if err := s.loadSegment(name, i == len(names)-1); err != nil {
			return err
		}
	}
	s.dropSnapshotEntries()
	return s.openSegment(names)
}

func (s *Store) loadSnapshot() error {
	snapshot := &wire.Snapshot{}
	err := s.readSingleFrame(snapshotName, snapshot)
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	if err != nil {
		return err
	}
	s.loaded.Snapshot = snapshot
	return nil
}

func (s *Store) loadSegment(name string, last bool) error {
	data, err := s.files.read(s.path(name))
	if err != nil {
		return Error.Wrap(err)
	}
	good, torn, err := eachFrame(data, s.replay)
	if err != nil {
		return Error.Wrap(fmt.Errorf("%s: at byte %d: %w", s.path(name), good, err))
	}
	if !torn {
		return nil
	}
	if !last { // (2)
		return Error.Wrap(fmt.Errorf("%s: at byte %d: %w", s.path(name), good, ErrCorrupt))
	}
	s.loaded.Torn = true
	return s.truncateTorn(name, int64(good))
}

// truncateTorn durably truncates a segment whose last frame is torn.
func (s *Store) truncateTorn(name string, size int64) error {
	f, err := s.files.open(s.path(name), false)
	if err != nil {
		return Error.Wrap(err)
	}
	defer f.Close()
	if err := f.Truncate(size); err != nil {
		return Error.Wrap(err)
	}
	if err := f.Sync(); err != nil { // (3)
		return Error.Wrap(fmt.Errorf("%w: %w", ErrSync, err))
	}
	return nil
}

func (s *Store) replay(payload []byte) error {
	b := &wire.Batch{}
	if err := proto.Unmarshal(payload, b); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if b.HardState != nil {
		s.loaded.HardState = b.HardState
	}
	if b.Base != nil { // (6)
		s.base = b.Base
		s.loaded.Entries, s.loaded.CommittedIndex = nil, b.Base.Index
	}
	s.loaded.CommittedIndex = max(s.loaded.CommittedIndex, b.Agreed)
	if len(b.Entries) == 0 {
		return nil
	}
	first := b.Entries[0].Index
	s.connectGap(first)
	keep := slices.IndexFunc(s.loaded.Entries, func(e *wire.Entry) bool { return e.Index >= first })
	if keep >= 0 {
		s.loaded.Entries = s.loaded.Entries[:keep]
	}
	s.loaded.Entries = append(s.loaded.Entries, b.Entries...)
	return nil
}

// connectGap handles a batch whose first entry does not follow the log. Builds up to 3fc56be appended it to a log that
// rule 5 had discarded, without naming the snapshot. That is the current one if the batch follows it.
func (s *Store) connectGap(first uint64) {
	last := s.base.GetIndex()
	if n := len(s.loaded.Entries); n > 0 {
		last = s.loaded.Entries[n-1].Index
	}
	if first <= last+1 {
		return
	}
	s.loaded.Entries = nil
	if index := s.loaded.Snapshot.GetIndex(); index == first-1 {
		s.base = &wire.Base{Index: index, Term: s.loaded.Snapshot.GetTerm()}
	}
}

// dropSnapshotEntries discards the entries that the snapshot includes, or all entries if
// they do not connect to the snapshot (5).
func (s *Store) dropSnapshotEntries() {
	index, term := s.loaded.Snapshot.GetIndex(), s.loaded.Snapshot.GetTerm()
	adjacent := s.base.GetIndex() == index && s.base.GetTerm() == term
	contained := slices.ContainsFunc(s.loaded.Entries, func(e *wire.Entry) bool { return e.Index == index && e.Term == term })
	if !adjacent && !contained {
		s.loaded.Entries = nil
		s.pendingBase = &wire.Base{Index: index, Term: term}
	}
	s.loaded.Entries = slices.DeleteFunc(s.loaded.Entries, func(e *wire.Entry) bool { return e.Index <= index })
}

// segments returns the names of the segment files, oldest first.
func (s *Store) segments() ([]string, error) {
	list, err := s.files.list(s.opts.Folder)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var names []string
	for name := range list {
		if strings.HasPrefix(name, segmentPrefix) && !strings.HasSuffix(name, tempSuffix) {
			names = append(names, name)
		}
	}
	slices.SortFunc(names, func(a, b string) int { return int(segmentNumber(a)) - int(segmentNumber(b)) })
	return names, nil
}

func segmentNumber(name string) uint64 {
	n, err := strconv.ParseUint(strings.TrimPrefix(name, segmentPrefix), 10, 32)
	if err != nil {
		return 0
	}
	return n
}

func (s *Store) openSegment(names []string) error {
	s.seq = 1
	if len(names) > 0 {
		s.seq = segmentNumber(names[len(names)-1])
	}
	s.segmentName = segmentPrefix + strconv.FormatUint(s.seq, 10)
	f, err := s.files.open(s.path(s.segmentName), false)
	if err != nil {
		return Error.Wrap(err)
	}
	s.segment = f
	if err := s.syncFolder(); err != nil {
		return err
	}
	return s.measureFiles()
}

// measureFiles sets the size of the open segment and the total size of all other files.
func (s *Store) measureFiles() error {
	list, err := s.files.list(s.opts.Folder)
	if err != nil {
		return Error.Wrap(err)
	}
	s.segmentSize, s.otherSize = list[s.segmentName], 0
	for name, size := range list {
		if name != s.segmentName {
			s.otherSize += size
		}
	}
	return nil
}

func (s *Store) closeSegment() {
	if s.segment != nil {
		s.segment.Close()
		s.segment = nil
	}
}

// Append durably writes a batch. After ErrDiskFull nothing of it was stored. Any other
// error is fatal.
func (s *Store) Append(b *wire.Batch) error {
	if s.pendingBase != nil { // (5)
		b = &wire.Batch{Entries: b.Entries, HardState: b.HardState, Agreed: b.Agreed, Base: s.pendingBase}
	}
	payload, err := proto.Marshal(b)
	if err != nil {
		return Error.Wrap(err)
	}
	frame := encodeFrame(payload)
	if s.opts.Limit > 0 && s.otherSize+s.segmentSize+int64(len(frame)) > s.opts.Limit {
		return Error.Wrap(ErrDiskFull)
	}
	if _, err := s.segment.WriteAt(frame, s.segmentSize); err != nil {
		return s.truncatePartialFrame(err)
	}
	if err := s.segment.Sync(); err != nil { // (3)
		return Error.Wrap(fmt.Errorf("%w: %w", ErrSync, err))
	}
	s.segmentSize += int64(len(frame))
	s.pendingBase = nil
	return nil
}

// truncatePartialFrame truncates a partially written frame (3).
func (s *Store) truncatePartialFrame(cause error) error {
	if err := s.segment.Truncate(s.segmentSize); err != nil {
		return Error.Wrap(fmt.Errorf("%w: %w", ErrSync, err))
	}
	if errors.Is(cause, syscall.ENOSPC) || errors.Is(cause, syscall.EDQUOT) {
		return Error.Wrap(fmt.Errorf("%w: %w", ErrDiskFull, cause))
	}
	return Error.Wrap(fmt.Errorf("%w: %w", ErrSync, cause))
}

// HasCapacity reports whether size more bytes fit within the folder's limit.
func (s *Store) HasCapacity(size int64) bool {
	return s.opts.Limit == 0 || s.otherSize+s.segmentSize+size <= s.opts.Limit
}

// SaveSnapshot durably writes a snapshot, starts a new segment with the vote and
// the entries after the snapshot, and removes the old segments (4).
func (s *Store) SaveSnapshot(snapshot *wire.Snapshot, hard *wire.HardState, tail []*wire.Entry) error {
	if err := s.replace(snapshotName, snapshot); err != nil {
		return err
	}
	old, err := s.segments()
	if err != nil {
		return err
	}
	s.seq++
	name := segmentPrefix + strconv.FormatUint(s.seq, 10)
	if err := s.replace(name, &wire.Batch{
		HardState: hard, Entries: tail, Base: &wire.Base{Index: snapshot.Index, Term: snapshot.Term},
	}); err != nil {
		return err
	}
	s.pendingBase = nil
	s.closeSegment()
	for _, n := range old {
		if err := s.files.remove(s.path(n)); err != nil {
			return Error.Wrap(err)
		}
	}
	return s.openSegment([]string{name})
}

// Close closes the store.
func (s *Store) Close() { s.closeSegment() }
