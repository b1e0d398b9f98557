// Package replica runs one member: it feeds the consensus core with time and
// messages, makes durable what the core asks for, applies what is agreed, and
// answers those who wait for it.
//
// A box without a vote runs a replica too. It gets the agreed entries from its
// parent (package spread) and, while it is being made a voter, from the leader;
// whichever comes first counts, since both carry the same entries.
package replica

import (
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

// Storage keeps what must survive a restart. A box without a disk uses Memory.
type Storage interface {
	// Append makes a batch durable, or keeps nothing and returns wal.ErrFull,
	// or fails for good.
	Append(*wire.Batch) error
	// SaveSnapshot replaces the log up to the snapshot.
	SaveSnapshot(snapshot *wire.Snapshot, hard *wire.HardState, tail []*wire.Entry) error
	// Reload reads again what is durable.
	Reload() error
	// Loaded returns what was durable at the last Reload.
	Loaded() wal.Loaded
	// HasCapacity reports whether so many more bytes can be kept.
	HasCapacity(bytes int64) bool
}

// Options make a replica.
type Options struct {
	Core    consensus.Options
	Storage Storage
	// Send passes a message on; it must not block.
	Send func(*wire.Message)
	// CompactAfter is the count of log entries that a snapshot is taken at.
	CompactAfter int
	// Clock is steady, goes on while the machine is suspended, and shows 0 no later than Storage was
	// read; nil for the runtime's, which stands still while the machine is suspended.
	Clock func() time.Duration
	// Fatal is called once when the process must not go on.
	Fatal func(error)
	Log   *zap.Logger
}

const (
	// tick is the time between two looks at the clock, restingTick that of a member to
	// which nothing happens with the time: most boxes do not vote, and 50 looks a second
	// were most of what such a box woke up for while nothing changed.
	tick        = 20 * time.Millisecond
	restingTick = time.Second
	// queueLength bounds the events that wait for the loop.
	queueLength = 4096
	// batchLength bounds the events that share one write to the disk.
	batchLength = 256
	// recentLength is how many agreed entries are kept for boxes that follow.
	recentLength = 2048
	// reserve is the room in bytes that a proposal must leave in the folder, for
	// votes and the entries of other leaders.
	reserve = 64 << 10
	// fullPause is the wait before a member whose disk was full reads its folder
	// and takes part again.
	fullPause = time.Second
)

// Replica is one running member.
type Replica struct {
	opts   Options
	core   *consensus.Node
	master *state.State
	events chan func()
	stop   chan struct{}
	done   chan struct{}

	waiting   map[uint64]*proposal
	reads     map[uint64]chan error
	nextToken uint64
	pausedTil time.Time
	recent    []*wire.Entry
	applied   []answered // proposals to be answered when the view shows them
	newFile   uint64     // index of the newest fleet file that was made durable

	ticks     atomic.Int64 // looks at the clock, for tests
	wholeMu   sync.Mutex
	wholeLast wholeState // packed last, for boxes that lack much

	view    atomic.Pointer[state.State]
	status  atomic.Pointer[Status]
	changed atomic.Pointer[chan struct{}]
}

// Status is what a replica knows of the agreement.
type Status struct {
	Role   consensus.Role
	Term   uint64
	Leader string
	Commit uint64
	// Voters are, while a change is under way, all whose votes may be needed;
	// Settled is false then.
	Voters  []string
	Settled bool
	// LeaseStart is when the leader's last answered round was sent, on the
	// replica's own clock (Now); LeaseHeld is false for others, and for a leader that is not
	// Established: its applied state may lack what an earlier one had agreed.
	LeaseStart time.Duration
	LeaseHeld  bool
	// Established leaders have an agreed entry of their own term.
	Established bool
	// LogPosition is what this member may tell others while no leader is found.
	LogPosition consensus.LogPosition
	// NewestFile is the index of the newest fleet file in the log, agreed or not, as far
	// as this member holds the log.
	NewestFile uint64
	// LastSeen maps peers to when they were heard last; Holding to whether they
	// hold all that is agreed. Both are filled on a leader only.
	LastSeen map[string]time.Duration
	CaughtUp map[string]bool
}

// New starts a replica from what its storage holds.
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

// restore builds core and state from the storage. The agreed state that is in
// memory already is kept: it never reverts.
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
	core.Committed = l.Agreed
	r.core = consensus.New(core, r.Now(), l.Hard, l.Snapshot, l.Entries)
	r.noteFiles(l.Entries)
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

// Now returns the time on the replica's steady clock. What must not last longer than it says, a lease, the age of
// news or of a claim, is measured by it.
func (r *Replica) Now() time.Duration { return r.opts.Clock() }

// ID returns the member's id.
func (r *Replica) ID() string { return r.opts.Core.ID }

// View returns the newest agreed state that this box has applied. It must not
// be changed.
func (r *Replica) View() *state.State { return r.view.Load() }

// Status returns what is known of the agreement.
func (r *Replica) Status() *Status { return r.status.Load() }

// Changed returns a channel that is closed at the next change of View.
func (r *Replica) Changed() <-chan struct{} { return *r.changed.Load() }

// Lease returns how long ago this box was last certain to lead from a state that holds all
// that was agreed before, and whether it still is. It is to be asked last thing before an act that only a leader
// may do.
func (r *Replica) Lease() (time.Duration, bool) {
	s := r.Status()
	age := r.Now() - s.LeaseStart
	return age, s.LeaseHeld && age < r.opts.Core.Lease
}

// Receive hands a peer's message to the core.
func (r *Replica) Receive(m *wire.Message) {
	r.post(func() { r.core.Receive(r.Now(), m) })
}

// post queues an event; it drops it when the loop is far behind, as a network
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

// MarkCommitted has entries up to an index applied that a majority of the voters was seen to hold
// in a term (consensus, rule 2.3).
func (r *Replica) MarkCommitted(index, term uint64) {
	r.post(func() { r.core.MarkCommitted(index, term) })
}

// AddLearner makes the leader send the log to a member without a vote.
func (r *Replica) AddLearner(id string) {
	r.post(func() { r.core.AddLearner(id) })
}

// RemoveLearner ends what Learn began.
func (r *Replica) RemoveLearner(id string) {
	r.post(func() { r.core.RemoveLearner(id) })
}

// Transfer hands leadership over, if this box has it.
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

// Close stops the replica without handing anything over.
func (r *Replica) Close() {
	close(r.stop)
	<-r.done
}
