package loadshare

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"leverdrum/wire"
)

// Stream is a two-way stream of frames to another box. One goroutine may send while another receives. The sender may
// change a frame again once Send has returned. Close ends both, and may be called at any time.
type Stream interface {
	Send(*wire.LoadUpdate) error
	// Receive reads the next frame into an empty message.
	Receive(*wire.LoadUpdate) error
	Close() error
}

// Options configures a Sharer.
type Options struct {
	// Self is the member ID of this box, and Hall its data hall.
	Self, Hall string
	// Open opens a stream to a member.
	Open func(ctx context.Context, member string, kind wire.LoadStream_Kind) (Stream, error)
	// Now returns the time since any fixed moment. It is read for each call of Others and Slowness.
	Now func() time.Duration
	// Ignored counts input that is ignored, by one of the reasons below. It may be called often, and must not block.
	Ignored func(why string)
	// Attached is called with the member that is this box's hub from now on, "" for none; may be nil.
	Attached func(hub string)
	// Speeds is told of the speeds that this box estimates while it is a hub; may be nil.
	Speeds SpeedObserver
	// KnownPrefixes is told how many prefixes this box knows to be cached while it is a hub, at most every second and at
	// the end; may be nil.
	KnownPrefixes func(count int)
}

// Reasons for which input is ignored.
const (
	IgnoredRange    = "range"           // an implausible figure
	IgnoredServer   = "unknown-server"  // a server that is not announced, or that shares its hash with another
	IgnoredSamples  = "sample-overflow" // more samples, or uses of prefixes, than are sent
	IgnoredRowCount = "too-many-rows"   // more entries in a frame, or servers from a hub, than allowed
	// IgnoredDuplicate is the reason for an entry of demand for what the message has stated before.
	IgnoredDuplicate = "duplicate"
)

const (
	// maxQueuedSamples bounds the samples of a box or hub that wait to be sent.
	maxQueuedSamples = 256
	// maxSamplesInFrame bounds the samples in one frame. With maxSamplesPerSecond it bounds the hub's work.
	maxSamplesInFrame = 32
	// maxServers bounds the servers in a box's view.
	maxServers = 16384
)

// Sharer is one box's part of the exchange. It is safe for concurrent use. The methods of a nil Sharer
// do nothing and know nothing.
type Sharer struct {
	options    Options
	servers    atomic.Pointer[catalog]
	workspaces atomic.Pointer[catalog]
	topology   atomic.Pointer[Topology]
	candidates atomic.Pointer[map[string][]string]
	configured chan struct{} // holds an item after a change of the topology
	hub        *hub

	ownMu      sync.Mutex
	own        *ownRows
	demand     ownDemand
	samples    []*wire.SpeedSample
	prefills   []*wire.PrefillSample
	uses       []*wire.CachedPrefixes
	outcomes   outcomeQueue
	detachedAt time.Duration // when the last stream to a hub that answered ended
	ownChanged chan struct{} // holds an item after a change

	viewMu  sync.RWMutex
	view    *view
	failing atomic.Pointer[map[string]failingServer] // of the view, by server
	changed chan struct{}                            // nil until requested

	failedMu sync.Mutex
	failed   map[string]failure // members that did not work as a hub
}

// Topology is what a Sharer takes from the replicated state.
type Topology struct {
	Members []Member
	// Servers are the ids of the announced backend servers.
	Servers []string
	// Workspaces are the names of all workspaces.
	Workspaces []string
	// Pools are the pools whose load is shared; if there are none, no stream is opened.
	Pools map[string]bool
}

// New returns a Sharer that shares nothing until Configure is called.
func New(o Options) *Sharer {
	s := &Sharer{
		options: o, configured: make(chan struct{}, 1), own: newOwnRows(), outcomes: newOutcomeQueue(), ownChanged: make(chan struct{}, 1), view: newView(), failed: map[string]failure{},
	}
	s.hub = newHub(s)
	s.Configure(Topology{})
	return s
}

// Configure sets the topology. The caller must not change it afterwards.
func (s *Sharer) Configure(t Topology) {
	if s == nil {
		return
	}
	servers, ordered := newCatalog(t.Servers), candidates(t.Members)
	s.servers.Store(servers)
	s.workspaces.Store(newCatalog(t.Workspaces))
	s.candidates.Store(&ordered)
	s.topology.Store(&t)
	s.viewMu.Lock()
	s.view.forget(servers)
	s.publishFailing()
	s.viewMu.Unlock()
	s.hub.forget(servers)
	notify(s.configured)
}

// notify puts an item into a channel of capacity one, unless it has one.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Active reports whether load is shared for a pool.
func (s *Sharer) Active(pool string) bool {
	return s != nil && s.topology.Load().Pools[pool]
}

// Sharing reports whether load is shared for any pool.
func (s *Sharer) Sharing() bool { return len(s.topology.Load().Pools) > 0 }

// Begin records the start of an attempt at a server; prefill is its estimated prefill time.
func (s *Sharer) Begin(server string, prefill time.Duration) { s.addOwn(server, prefill, 1) }

// FirstEvent records that the attempt's first event has arrived, or that it ended without one.
func (s *Sharer) FirstEvent(server string, prefill time.Duration) { s.addOwn(server, -prefill, 0) }

// End records the end of an attempt.
func (s *Sharer) End(server string) { s.addOwn(server, 0, -1) }

func (s *Sharer) addOwn(server string, prefill time.Duration, running int) {
	if s == nil || server == "" {
		return
	}
	s.ownMu.Lock()
	s.own.add(hashOf(server), prefill, running)
	if len(s.own.pending) > maxServers {
		s.own.discardUnchanged()
	}
	s.ownMu.Unlock()
	notify(s.ownChanged)
}

// Sample records the typical gap between the events of a stream, and whether one of its gaps exceeded
// the route's target.
func (s *Sharer) Sample(server, model string, gap time.Duration, stalled bool) {
	if s == nil || gap <= 0 || !s.Sharing() {
		return
	}
	hash, known := s.servers.Load().resolve(server)
	if !known {
		s.options.Ignored(IgnoredServer)
		return
	}
	sample := &wire.SpeedSample{Server: hash, Model: hashOf(model), GapUs: uint32(min(gap, maxGap).Microseconds()), Stalled: stalled}
	enqueue(s, &s.samples, sample)
}

// enqueue adds a sample to a list that waits to be sent. It returns false, and counts the sample, if the list is full.
func enqueue[T any](s *Sharer, list *[]T, sample T) bool {
	s.ownMu.Lock()
	full := len(*list) >= maxQueuedSamples
	if !full {
		*list = append(*list, sample)
	}
	s.ownMu.Unlock()
	if full {
		s.options.Ignored(IgnoredSamples)
	}
	return !full
}

// maxGap is the longest gap that a sample states.
const maxGap = 10 * time.Minute

// Others returns what all other boxes have outstanding at a server. It returns false if that is not
// known, or if nothing was received from the hub for maxAge.
func (s *Sharer) Others(server string) (Outstanding, bool) {
	if s == nil {
		return Outstanding{}, false
	}
	hash, known := s.servers.Load().resolve(server)
	if !known {
		return Outstanding{}, false
	}
	now := s.options.Now()
	s.viewMu.RLock()
	defer s.viewMu.RUnlock()
	if !s.view.fresh(now) {
		return Outstanding{}, false
	}
	return s.view.others[hash].outstanding(), true
}

// Own returns what this box has outstanding at a server.
func (s *Sharer) Own(server string) Outstanding {
	if s == nil {
		return Outstanding{}
	}
	s.ownMu.Lock()
	defer s.ownMu.Unlock()
	r := s.own.rows[hashOf(server)]
	if r == nil {
		return Outstanding{}
	}
	return Outstanding{Prefill: r.prefill, Running: r.running}
}

// Age returns the time since the last frame of a hub; false if there was none.
func (s *Sharer) Age() (time.Duration, bool) {
	if s == nil {
		return 0, false
	}
	now := s.options.Now()
	s.viewMu.RLock()
	defer s.viewMu.RUnlock()
	return now - s.view.heardAt, s.view.heard
}

// Slowness returns by what factor a server takes longer than the average one; 1 if unknown.
func (s *Sharer) Slowness(server string) float64 {
	if v, known := s.speedOf(server); known {
		return v.slowness
	}
	return 1
}

// StalledShare returns the share of recent streams of a server that had a gap over their target.
func (s *Sharer) StalledShare(server string) float64 {
	v, _ := s.speedOf(server)
	return v.stalledShare
}

func (s *Sharer) speedOf(server string) (serverSpeed, bool) {
	if s == nil {
		return serverSpeed{}, false
	}
	hash, known := s.servers.Load().resolve(server)
	if !known {
		return serverSpeed{}, false
	}
	now := s.options.Now()
	s.viewMu.RLock()
	defer s.viewMu.RUnlock()
	return s.view.speed(hash, now)
}

// RecordDemand adds to the demand for a pool by requests of a rank and workspace ("" for none).
func (s *Sharer) RecordDemand(pool string, rank int, workspace string, d Demand) {
	if s == nil || rank < 0 || rank > maxRank {
		return
	}
	if d.Waiting != 0 { // also where load is no longer shared: else what ended would wait for ever
		s.ownMu.Lock()
		s.demand.recordWaiting(pool, rank, d.Waiting)
		s.ownMu.Unlock()
	}
	if !s.Active(pool) || d == (Demand{Waiting: d.Waiting}) {
		return
	}
	var hash uint32
	if workspace != "" {
		hash = hashOf(workspace)
	}
	s.ownMu.Lock()
	defer s.ownMu.Unlock()
	s.demand.record(pool, rank, hash, d)
}

// Pool returns the demand for a pool over all boxes; false if it is not known.
func (s *Sharer) Pool(pool string) (PoolLoad, bool) {
	if s == nil {
		return PoolLoad{}, false
	}
	now := s.options.Now()
	s.viewMu.RLock()
	defer s.viewMu.RUnlock()
	d, known := s.view.demandFor(pool, now)
	if !known {
		return PoolLoad{}, false
	}
	return d.load(s.workspaces.Load()), true
}

// Changed returns a channel that is closed at the next update.
func (s *Sharer) Changed() <-chan struct{} {
	if s == nil {
		return nil
	}
	s.viewMu.Lock()
	defer s.viewMu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}
