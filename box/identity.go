package box

import (
	"crypto/rand"
	"strings"
	"sync"

	"github.com/zeebo/errs"
	"google.golang.org/protobuf/proto"

	"leverdrum/internal/build"
	"leverdrum/level"
	"leverdrum/settings"
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
	store     *wal.Store // nil without a disk
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

// Adopt records the cluster's ID unless one is set already, durably if the box has a disk.
func (i *identity) Adopt(id string) error {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.clusterID != "" || id == "" {
		return nil
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
