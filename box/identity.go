package box

import (
	"crypto/rand"
	"slices"
	"strings"
	"sync"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"leverdrum/forming"
	"leverdrum/internal/build"
	"leverdrum/level"
	"leverdrum/settings"
	"leverdrum/state"
	"leverdrum/wal"
	"leverdrum/wire"
)

// Error is the class of this package's errors.
var Error = errs.Class("box")

// incarnationLength is the length of an incarnation in characters. They are random,
// from an alphabet of 32 letters and digits, so an incarnation is practically unique.
const incarnationLength = 12

func newIncarnation() string { return strings.ToLower(rand.Text()[:incarnationLength]) }

// identity is how this box identifies itself to others. It implements peer.Identity.
type identity struct {
	mu        sync.Mutex
	self      *wire.Member
	cluster   string
	clusterID string
	store     *wal.Store        // nil without a disk
	acceptor  *forming.Acceptor // nil if this box is no first member
	adopted   chan struct{}
	level     func() level.Level // level in force, as far as known; nil before the cluster is found
}

func newIdentity(s *settings.Settings, store *wal.Store) *identity {
	id := &identity{cluster: s.Cluster, store: store, adopted: make(chan struct{})}
	id.self = &wire.Member{
		Box: s.Box, Incarnation: newIncarnation(), Hall: s.Hall, PeerAddress: s.PeerAdvertise, EntryAddress: s.EntryListen, Disk: store != nil, Process: newIncarnation(),
		AnnounceAddress: s.PlatformListen, Level: uint32(level.Newest), Build: build.Name(),
	}
	if store != nil {
		id.self.Incarnation = store.Identity().Incarnation
		id.clusterID = store.Identity().ClusterId
	}
	if id.clusterID != "" {
		close(id.adopted)
	}
	return id
}

// Self returns a copy of this box's member record.
func (i *identity) Self() *wire.Member {
	i.mu.Lock()
	defer i.mu.Unlock()
	return proto.CloneOf(i.self)
}

func (i *identity) setDraining() {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.self.Leaving = true
}

// Cluster returns the cluster's name and ID; the ID is "" before the box joins a cluster.
func (i *identity) Cluster() (name, id string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.cluster, i.clusterID
}

// openForming reads what this box promised as a first member, and makes the record at its first start.
func (i *identity) openForming(s *settings.Settings) error {
	if i.store == nil {
		return nil
	}
	record, err := i.store.Forming()
	if err != nil {
		return Error.Wrap(err)
	}
	if record == nil {
		if i.clusterID != "" || !slices.Contains(s.FirstMembers, s.Box) {
			return nil
		}
		record = &wire.Forming{FirstMembers: slices.Sorted(slices.Values(s.FirstMembers))}
		if err := i.store.SaveForming(record); err != nil {
			return Error.Wrap(err)
		}
	}
	i.acceptor = forming.NewAcceptor(state.MemberID(i.self), record, i.store.SaveForming)
	return nil
}

// firstMembers returns the names of the first members, nil if this box is none of them.
func (i *identity) firstMembers() []string {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.acceptor == nil {
		return nil
	}
	return i.acceptor.FirstMembers()
}

// promised returns the highest ballot that this box promised.
func (i *identity) promised() *wire.Ballot {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.acceptor.Promised()
}

// founding returns what the first members agreed on, nil if this box does not know.
func (i *identity) founding() *wire.Founding {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.foundingOf(i.clusterID)
}

// foundingOf returns the founding that this box accepted if it is the one of a cluster. Since the cluster exists, it was agreed on.
func (i *identity) foundingOf(clusterID string) *wire.Founding {
	if i.acceptor == nil || clusterID == "" || i.acceptor.Founding().GetClusterId() != clusterID {
		return nil
	}
	return i.acceptor.Founding()
}

// answerForm answers a step of a proposal. The error is one of forming.Acceptor's.
func (i *identity) answerForm(f *wire.Form) (*wire.FormAnswer, error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	switch {
	case i.clusterID != "":
		return &wire.FormAnswer{Formed: true, Member: state.MemberID(i.self), Founding: i.foundingOf(i.clusterID)}, nil
	case i.acceptor == nil:
		return &wire.FormAnswer{Member: state.MemberID(i.self)}, nil
	}
	return i.acceptor.Answer(f)
}

// Adopt records the cluster's ID unless one is set already, durably if the box has a disk.
func (i *identity) Adopt(id string) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.adopt(id, i.foundingOf(id))
}

// Join records the ID of the cluster that the first members agreed on, unless one is set already.
func (i *identity) Join(f *wire.Founding) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.adopt(f.ClusterId, f)
}

// adopt records the cluster's ID. A voter of its founding first writes the initial configuration to its disk: the others cannot
// elect a leader if the only one that has it is lost.
func (i *identity) adopt(id string, f *wire.Founding) error {
	if i.clusterID != "" || id == "" {
		return nil
	}
	if i.store != nil && slices.Contains(f.GetVoters(), state.MemberID(i.self)) && i.store.Loaded().Snapshot == nil {
		first := &wire.Snapshot{Index: 1, Term: 1, Config: &wire.Config{Voters: f.Voters}}
		if err := i.store.SaveSnapshot(first, &wire.HardState{Term: 1}, nil); err != nil {
			return Error.Wrap(err)
		}
		if err := i.store.Reload(); err != nil {
			return Error.Wrap(err)
		}
	}
	if i.store != nil {
		if err := i.store.SetClusterID(id); err != nil {
			return Error.Wrap(err)
		}
	}
	i.clusterID = id
	close(i.adopted)
	return nil
}

// setLevelSource sets the function that returns the level in force.
func (i *identity) setLevelSource(inForce func() level.Level) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.level = inForce
}

// Level returns the level in force, as far as this box knows.
func (i *identity) Level() level.Level {
	i.mu.Lock()
	inForce := i.level
	i.mu.Unlock()
	if inForce == nil {
		return level.First
	}
	return inForce()
}
