// Package wal keeps a member's identity, log and snapshots in one data folder.
//
// The folder holds:
//
//	identity        who this box is; written once, never changed
//	snapshot        the newest snapshot; replaced by rename
//	log-N           batches of entries and votes since segment N began
//
// Rules:
//
//  1. Every file consists of frames. A frame's header (length, checksum of the
//     payload, checksum of the header) and its payload go out in one write, and
//     a frame is durable before the next one is written.
//  2. So only the last frame of the last segment can be torn by a crash, and any part
//     of it be missing. It was never acknowledged and is cut off. A bad frame with a
//     whole one behind it means that acknowledged records are gone: the folder is
//     refused, nothing is written.
//  3. A failed sync leaves unknown what is on the disk: the error is final for
//     the process (ErrSync). A full disk is not: the frame is cut off again, and
//     the caller gets ErrFull and knows that nothing was kept.
//  4. A snapshot is complete in a file of its own before it replaces the old
//     one; segments are removed only after that.
//  5. Entries of old segments count only if they connect to the snapshot: the
//     segment was begun behind it, or the log holds its last entry. Else a crash
//     came between the two files of rule 4 and the old log is dropped.
//  6. A folder of another box, another cluster or a newer format is refused.
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

// Format is the number of the layout that this version writes.
const Format = 1

// Names of the files in a data folder.
const (
	identityName  = "identity"
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

// What a store answers instead of keeping a record.
var (
	// ErrDiskFull: no room; nothing of the batch was kept and the store works on.
	ErrDiskFull = errors.New("no room in the data folder; free some space or raise limit")
	// ErrSync: the disk did not confirm; the process must end.
	ErrSync = errors.New("the disk did not confirm a write; replace the disk or restart the box")
	// ErrCorrupt: acknowledged records cannot be read.
	ErrCorrupt = errors.New("acknowledged records cannot be read; empty the folder so that the box rejoins as a new member")
	// ErrForeign: the folder is not of this box and cluster, or of a newer format.
	ErrForeign = errors.New("the folder belongs elsewhere")
)

// Options say where and for whom a store is.
type Options struct {
	// Folder is the data folder; it is made if it does not exist.
	Folder string
	// Box and Cluster are compared with the identity in the folder.
	Box, Cluster string
	// Limit bounds the bytes of the folder; 0 means no bound but the disk.
	Limit int64
	// Incarnation names a new identity when the folder is empty.
	Incarnation string
}

// Store is an open data folder. It is not safe for concurrent use.
type Store struct {
	opts     Options
	identity *wire.Identity
	loaded   Loaded
	base     *wire.Base // of the newest segment
	segment  *os.File
	seq      uint64
	size     int64 // bytes of the open segment
	other    int64 // bytes of all other files
}

// Loaded is what a folder held when it was opened.
type Loaded struct {
	HardState *wire.HardState
	Snapshot  *wire.Snapshot
	Entries   []*wire.Entry
	// CommittedIndex is the newest index that is known to be agreed.
	CommittedIndex uint64
	// Torn tells that an unacknowledged last frame was cut off.
	Torn bool
}

// Open reads a folder, or makes a new one.
func Open(opts Options) (*Store, error) {
	if err := os.MkdirAll(opts.Folder, folderMode); err != nil {
		return nil, Error.Wrap(err)
	}
	s := &Store{opts: opts}
	if err := s.openIdentity(); err != nil {
		return nil, err
	}
	if err := s.Reload(); err != nil {
		return nil, err
	}
	return s, nil
}

// Identity returns who the folder says this box is. The cluster id is empty
// until the box is part of a cluster.
func (s *Store) Identity() *wire.Identity { return s.identity }

// Loaded returns what the folder held when it was opened or reloaded last.
func (s *Store) Loaded() Loaded { return s.loaded }

// SetClusterID makes the cluster that the box belongs to durable.
func (s *Store) SetClusterID(id string) error {
	next := proto.CloneOf(s.identity)
	next.ClusterId = id
	if err := s.replace(identityName, next); err != nil {
		return err
	}
	s.identity = next
	return nil
}

func (s *Store) path(name string) string { return filepath.Join(s.opts.Folder, name) }

func (s *Store) openIdentity() error {
	id := &wire.Identity{}
	err := s.readOne(identityName, id)
	if errors.Is(err, os.ErrNotExist) {
		return s.newIdentity()
	}
	if err != nil {
		return err
	}
	if reason := s.foreign(id); reason != "" { // (6)
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
	if _, err := os.Stat(s.path(snapshotName)); err == nil || len(names) > 0 {
		return Error.Wrap(fmt.Errorf("%s: %w: it has records but no identity", s.opts.Folder, ErrCorrupt))
	}
	s.identity = &wire.Identity{Format: Format, Box: s.opts.Box, Cluster: s.opts.Cluster, Incarnation: s.opts.Incarnation}
	return s.replace(identityName, s.identity)
}

func (s *Store) foreign(id *wire.Identity) string {
	switch {
	case id.Format > Format:
		return fmt.Sprintf("its format is %d, this version reads up to %d", id.Format, Format)
	case id.Box != s.opts.Box:
		return fmt.Sprintf("it is of box %q, this is box %q", id.Box, s.opts.Box)
	case id.Cluster != s.opts.Cluster:
		return fmt.Sprintf("it is of cluster %q, this is cluster %q", id.Cluster, s.opts.Cluster)
	}
	return ""
}

// Reload forgets what is in memory and reads the folder again.
func (s *Store) Reload() error {
	s.closeSegment()
	s.loaded, s.base = Loaded{}, nil
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
	s.dropCovered()
	return s.openSegment(names)
}

func (s *Store) loadSnapshot() error {
	snapshot := &wire.Snapshot{}
	err := s.readOne(snapshotName, snapshot)
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
	data, err := os.ReadFile(s.path(name))
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
	return Error.Wrap(os.Truncate(s.path(name), int64(good)))
}

func (s *Store) replay(payload []byte) error {
	b := &wire.Batch{}
	if err := proto.Unmarshal(payload, b); err != nil {
		return fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	if b.HardState != nil {
		s.loaded.HardState = b.HardState
	}
	if b.Base != nil {
		s.base = b.Base
	}
	s.loaded.CommittedIndex = max(s.loaded.CommittedIndex, b.Agreed)
	if len(b.Entries) == 0 {
		return nil
	}
	first := b.Entries[0].Index
	keep := slices.IndexFunc(s.loaded.Entries, func(e *wire.Entry) bool { return e.Index >= first })
	if keep >= 0 {
		s.loaded.Entries = s.loaded.Entries[:keep]
	}
	s.loaded.Entries = append(s.loaded.Entries, b.Entries...)
	return nil
}

// dropCovered leaves only the entries behind the snapshot, and none that do not
// connect to it (5).
func (s *Store) dropCovered() {
	index, term := s.loaded.Snapshot.GetIndex(), s.loaded.Snapshot.GetTerm()
	begun := s.base.GetIndex() == index && s.base.GetTerm() == term
	held := slices.ContainsFunc(s.loaded.Entries, func(e *wire.Entry) bool { return e.Index == index && e.Term == term })
	if !begun && !held {
		s.loaded.Entries = nil
	}
	s.loaded.Entries = slices.DeleteFunc(s.loaded.Entries, func(e *wire.Entry) bool { return e.Index <= index })
}

// segments returns the names of the log files, oldest first.
func (s *Store) segments() ([]string, error) {
	list, err := os.ReadDir(s.opts.Folder)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	var names []string
	for _, e := range list {
		if strings.HasPrefix(e.Name(), segmentPrefix) && !strings.HasSuffix(e.Name(), tempSuffix) {
			names = append(names, e.Name())
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
	f, err := os.OpenFile(s.path(segmentPrefix+strconv.FormatUint(s.seq, 10)), os.O_CREATE|os.O_RDWR, fileMode)
	if err != nil {
		return Error.Wrap(err)
	}
	s.segment = f
	if s.size, err = f.Seek(0, 2); err != nil {
		return Error.Wrap(err)
	}
	if err := s.syncFolder(); err != nil {
		return err
	}
	return s.measure()
}

// measure sums the bytes of the files other than the open segment.
func (s *Store) measure() error {
	list, err := os.ReadDir(s.opts.Folder)
	if err != nil {
		return Error.Wrap(err)
	}
	s.other = 0
	for _, e := range list {
		info, err := e.Info()
		if err != nil || e.Name() == filepath.Base(s.segment.Name()) {
			continue
		}
		s.other += info.Size()
	}
	return nil
}

func (s *Store) closeSegment() {
	if s.segment != nil {
		s.segment.Close()
		s.segment = nil
	}
}

// Append makes a batch durable. After ErrFull nothing of it was kept; any other
// error is final.
func (s *Store) Append(b *wire.Batch) error {
	payload, err := proto.Marshal(b)
	if err != nil {
		return Error.Wrap(err)
	}
	frame := encodeFrame(payload)
	if s.opts.Limit > 0 && s.other+s.size+int64(len(frame)) > s.opts.Limit {
		return Error.Wrap(ErrDiskFull)
	}
	if _, err := s.segment.WriteAt(frame, s.size); err != nil {
		return s.undo(err)
	}
	if err := s.segment.Sync(); err != nil { // (3)
		return Error.Wrap(fmt.Errorf("%w: %w", ErrSync, err))
	}
	s.size += int64(len(frame))
	return nil
}

// undo cuts off a frame that was written in part (3).
func (s *Store) undo(cause error) error {
	if err := s.segment.Truncate(s.size); err != nil {
		return Error.Wrap(fmt.Errorf("%w: %w", ErrSync, err))
	}
	if errors.Is(cause, syscall.ENOSPC) || errors.Is(cause, syscall.EDQUOT) {
		return Error.Wrap(fmt.Errorf("%w: %w", ErrDiskFull, cause))
	}
	return Error.Wrap(fmt.Errorf("%w: %w", ErrSync, cause))
}

// HasCapacity reports whether the folder can take size more bytes under its limit.
func (s *Store) HasCapacity(size int64) bool {
	return s.opts.Limit == 0 || s.other+s.size+size <= s.opts.Limit
}

// SaveSnapshot makes a snapshot durable, begins a new segment that holds the
// vote and the entries behind it, and removes the old ones (4).
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
	s.closeSegment()
	for _, n := range old {
		if err := os.Remove(s.path(n)); err != nil {
			return Error.Wrap(err)
		}
	}
	return s.openSegment([]string{name})
}

// Close ends the use of the folder.
func (s *Store) Close() { s.closeSegment() }
