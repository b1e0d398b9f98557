// Package replica runs one member: it passes time and messages to the consensus
// core, persists what the core requests, applies committed entries, and answers
// those who wait for them.
//
// A box without a vote runs a replica too. It receives the committed entries from
// its parent (package spread) and, while it is becoming a voter, from the leader.
// Whichever arrives first is applied, since both carry the same entries.
package replica

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"leverdrum/consensus"
	"leverdrum/state"
	"leverdrum/wal"
	"leverdrum/wire"
)

// Storage stores what must survive a restart. A box without a disk uses MemoryStorage.
type Storage interface {
	// Append makes a batch durable, or stores nothing and returns wal.ErrDiskFull,
	// or fails permanently.
	Append(*wire.Batch) error
	// SaveSnapshot replaces the log up to the snapshot.
	SaveSnapshot(snapshot *wire.Snapshot, hard *wire.HardState, tail []*wire.Entry) error
	// Reload reads the durable state again.
	Reload() error
	// Loaded returns the durable state as of the last Reload.
	Loaded() wal.Loaded
	// HasCapacity reports whether that many more bytes can be stored.
	HasCapacity(bytes int64) bool
}

// Options configure a Replica.
type Options struct {
	Core    consensus.Options
	Storage Storage
	// Send sends a message; it must not block.
	Send func(*wire.Message)
	// CompactAfter is the number of log entries at which a snapshot is taken.
	CompactAfter int
	// Clock is monotonic, advances while the machine is suspended, and reads 0 no later than
	// Storage was read. If nil, the runtime's is used, which stops while the machine is suspended.
	Clock func() time.Duration
	// Fatal is called once if the process must not continue.
	Fatal func(error)
	Log   *zap.Logger
}

const (
	// tick is the interval between two clock ticks, idleTick that of a member for which
	// the passing of time causes no events. Most boxes do not vote, and 50 ticks per
	// second were most of the wakeups of such a box while nothing changed.
	tick     = 20 * time.Millisecond
	idleTick = time.Second
	// queueLength bounds the queued events.
	queueLength = 4096
	// batchLength bounds the events that share one write to the disk.
	batchLength = 256
	// recentLength is how many committed entries are kept for child boxes.
	recentLength = 2048
	// reserve is the capacity in bytes that a proposal must leave in the data folder,
	// for votes and the entries of other leaders.
	reserve = 64 << 10
	// diskFullPause is how long a member whose disk was full waits before it reads its
	// data folder and takes part again.
	diskFullPause = time.Second
)

// Replica is one running member.
type Replica struct {
	opts   Options
	core   *consensus.Node
	master *state.State
	events chan func()
	stop   chan struct{}
	done   chan struct{}

	waiting          map[uint64]*proposal
	reads            map[uint64]chan error
	nextToken        uint64
	pausedUntil      time.Time
	recent           []*wire.Entry
	applied          []answeredProposal // proposals to be answered once the view includes them
	newestLoggedFile uint64             // index of the newest fleet file in the log

	ticks      atomic.Int64 // count of clock ticks, for tests
	packMu     sync.Mutex
	lastPacked packedState // last packed state, for boxes that lag far behind

	view    atomic.Pointer[state.State]
	status  atomic.Pointer[Status]
	changed atomic.Pointer[chan struct{}]
}

// Status is a replica's consensus status.
type Status struct {
	Role   consensus.Role
	Term   uint64
	Leader string
	Commit uint64
	// Voters are the voters; while a change is in progress, all whose votes may be
	// needed. Settled is false then.
	Voters  []string
	Settled bool
	// LeaseStart is when the last round that a quorum answered was sent, on the
	// replica's own clock (Now). LeaseHeld is false on other members, and on a leader that is
	// not Established: its applied state may miss what an earlier leader had committed.
	LeaseStart time.Duration
	LeaseHeld  bool
	// Alone is set on a leader that is the only voter, whose lease does not expire.
	Alone bool
	// Established leaders have a committed entry of their own term.
	Established bool
	// LogPosition is what this member reports to others while they have no leader.
	LogPosition consensus.LogPosition
	// NewestFile is the index of the newest fleet file in the log, committed or not, as
	// far as this member holds the log.
	NewestFile uint64
	// LastSeen maps peers to when they last answered, CaughtUp to whether they hold
	// all committed entries. Both are set on a leader only.
	LastSeen map[string]time.Duration
	CaughtUp map[string]bool
}

// New starts a replica from the state in its storage.
func New(opts Options) (*Replica, error) {
	if opts.Clock == nil {
		start := time.Now()
		opts.Clock = func() time.Duration { return time.Since(start) }
	}
	r := &Replica{
		opts:   opts,
		events: make(chan func(), queueLength), stop: make(chan struct{}), done: make(chan struct{}),
		waiting: map[uint64]*proposal{}, reads: map[uint64]chan error{},
	}
	first := make(chan struct{})
	r.changed.Store(&first)
	if err := r.restore(); err != nil {
		return nil, err
	}
	r.view.Store(r.master.Clone())
	r.publishStatus()
	go r.run()
	return r, nil
}

// restore builds core and state from the storage. A newer applied state in memory
// is kept: the state never reverts.
func (r *Replica) restore() error {
	l := r.opts.Storage.Loaded()
	restored, err := decodeSnapshot(l.Snapshot)
	if err != nil {
		return err
	}
	if r.master == nil || restored.Index > r.master.Index {
		r.master = restored
	}
	core := r.opts.Core
	core.Committed = l.CommittedIndex
	r.core = consensus.New(core, r.Now(), l.HardState, l.Snapshot, l.Entries)
	r.trackFleetFiles(l.Entries)
	return r.applyTo(r.core.Commit())
}

func decodeSnapshot(s *wire.Snapshot) (*state.State, error) {
	if len(s.GetState()) == 0 {
		st := state.New()
		st.Index = s.GetIndex()
		return st, nil
	}
	return decodeState(s.State)
}

func decodeState(data []byte) (*state.State, error) {
	w := &wire.State{}
	if err := proto.Unmarshal(data, w); err != nil {
		return nil, Error.Wrap(err)
	}
	st, err := state.Decode(w)
	return st, Error.Wrap(err)
}

// Now returns the time on the replica's monotonic clock. Durations with an upper bound, such as a lease or the age
// of an update or a claim, must use it.
func (r *Replica) Now() time.Duration { return r.opts.Clock() }

// ID returns the member's id.
func (r *Replica) ID() string { return r.opts.Core.ID }

// View returns the newest committed state that this box has applied. It must not
// be modified.
func (r *Replica) View() *state.State { return r.view.Load() }

// Status returns the current consensus status.
func (r *Replica) Status() *Status { return r.status.Load() }

// Changed returns a channel that is closed at the next change of View.
func (r *Replica) Changed() <-chan struct{} { return *r.changed.Load() }

// Lease returns how long ago this box was last certain to lead from a state that includes everything
// committed before, and whether it still is. It must be called immediately before an action that only a
// leader may take.
func (r *Replica) Lease() (time.Duration, bool) {
	s := r.Status()
	if s.LeaseHeld && s.Alone {
		return 0, true
	}
	age := r.Now() - s.LeaseStart
	return age, s.LeaseHeld && age < r.opts.Core.Lease
}

// Leads returns nil if this box was certain to lead at some time during the call, and View includes everything that any box had
// applied when it began. Lease does not ensure the latter: a leader sends out what is committed before it publishes its own View, and
// others may have proved more to be committed than it knows (package consensus, rule 2.3).
func (r *Replica) Leads(ctx context.Context) error {
	if r.Status().Role != consensus.Leader {
		return ErrNotLeader
	}
	settled := false
	err := r.ask(func() error {
		if _, held := r.core.LeaseAge(r.Now()); !held || !r.core.Established() {
			return ErrNotLeader
		}
		settled = r.core.Commit() == r.core.LastIndex()
		return nil
	})
	if err != nil || settled {
		return err
	}
	return r.Barrier(ctx)
}

// Receive passes a peer's message to the core.
func (r *Replica) Receive(m *wire.Message) {
	r.post(func() { r.core.Receive(r.Now(), m) })
}

// post queues an event. It drops the event if the queue is full, as a network
// would.
func (r *Replica) post(f func()) bool {
	select {
	case r.events <- f:
		return true
	case <-r.stop:
	default:
	}
	return false
}

// ChangeVoters starts a change of the voters.
func (r *Replica) ChangeVoters(voters []string) error {
	return r.ask(func() error { return r.core.ChangeVoters(voters) })
}

// MarkCommitted marks the entries up to an index as committed that a majority of the voters
// is known to hold in a term (package consensus, rule 2.3).
func (r *Replica) MarkCommitted(index, term uint64) {
	r.post(func() { r.core.MarkCommitted(index, term) })
}

// AddLearner makes the leader replicate the log to a member without a vote.
func (r *Replica) AddLearner(id string) {
	r.post(func() { r.core.AddLearner(id) })
}

// RemoveLearner ends the replication that AddLearner began.
func (r *Replica) RemoveLearner(id string) {
	r.post(func() { r.core.RemoveLearner(id) })
}

// Transfer hands over leadership if this box is the leader.
func (r *Replica) Transfer() {
	r.post(func() { r.core.Transfer() })
}

func (r *Replica) ask(f func() error) error {
	answer := make(chan error, 1)
	if !r.post(func() { answer <- f() }) {
		return ErrBusy
	}
	select {
	case err := <-answer:
		return Error.Wrap(err)
	case <-r.done:
		return ErrNotLeader
	}
}

// Close stops the replica without handing over leadership.
func (r *Replica) Close() {
	close(r.stop)
	<-r.done
}
