// Package spread distributes the replicated state from the leader to all boxes and reports
// back to the leader which index each box has applied.
//
// Rules:
//
//  1. A box requests missing updates from one parent. The parent holds the request (long
//     poll) until it has an update or has learned that there is none, for a short time at
//     most. The age of a box's state therefore does not grow with its depth in the tree.
//  2. The parents form a tree. Boxes with a disk ask the leader. In each data hall the first
//     box without a disk, by name, asks a box with a disk, and the rest ask boxes of their
//     hall. A parent that fails or has no fresh update is skipped (chooser.go).
//  3. An update carries its age: the time since a leader was certain to lead. The receiver
//     counts the age from before it sent the request, less the time that the parent held the
//     request, so that an update delayed in transit counts as old.
//  4. Each request carries the applied index of the sender and of all boxes below it, so that
//     the leader knows where a file is active. When a box of the subtree applies the newest
//     file, the sender reports it at once instead of waiting for its pending request to
//     return. Otherwise it repeats the list once a second. The list names boxes by their
//     roster indexes.
//  5. A box is current if a leader led within the configuration lease, and since the box's
//     process started.
//     5.1 Without such evidence it is current while a majority of all boxes are witnesses
//     that answer, and no box that answers is ahead. A file counts as accepted once a
//     majority has applied it, so one of the witnesses would have it.
//     5.2 A witness is a box that has learned of a leader that led since the box's process
//     started. A box that has just started has applied some earlier state from its disk, or
//     nothing, so it may miss an accepted file.
//     5.3 After a start of all boxes it is current by the voters' log positions (start.go).
//  6. With Options.DrainingDuration D, a box uses no server for long after its leaving was acknowledged.
//     Let C be when the box was last confirmed before it learned of that: it was not acknowledged before C.
//     6.1 The box's parent answers at once when its own confirmation is older than a share of D, at most half
//     (chooser.go, 5), even while it holds a request. The box then finds another parent (search.go).
//     6.2 From when it learns, the box uses the server, as a last resort, until half of D has passed since C
//     (ConfirmedAge).
//     6.3 So the last request goes out within D/2 of the acknowledgement and the time of the search.
//  7. A file is acknowledged once all recently seen boxes have applied it (inforce.go).
package spread

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"leverdrum/consensus"
	"leverdrum/internal/wait"
	"leverdrum/replica"
	"leverdrum/state"
	"leverdrum/wire"
)

const (
	// longPollTimeout is how long a parent holds a request without an update (1).
	longPollTimeout = 400 * time.Millisecond
	// batchDelay is how long a parent waits for further entries after the first: entries
	// come in pairs or more, and one response costs as much as many entries. Every box
	// applies every response, so the delay grows by batchDelayPerBox for each box, up to
	// maxBatchDelay.
	batchDelay       = 8 * time.Millisecond
	batchDelayPerBox = 500 * time.Microsecond
	maxBatchDelay    = 60 * time.Millisecond
	// batchThreshold is how many entries must arrive during one batch delay to start
	// another, up to maxBatchRounds delays in all.
	batchThreshold = 16
	maxBatchRounds = 4
	// requestTimeout bounds the time that a request waits without receiving anything.
	// maxRequestTime bounds a request whose response is being received: a full state of
	// some MB over a share of a 10 Mbit/s link.
	requestTimeout = longPollTimeout + 800*time.Millisecond
	maxRequestTime = 10 * time.Second
	// fanOut is the maximum number of boxes of a hall that ask the same box (2).
	fanOut = 8
	// reportInterval is the time between two reports of the whole subtree while no box
	// advances.
	reportInterval = time.Second
	// probeInterval is the minimum time between two probes of all boxes after startup (5).
	probeInterval = 400 * time.Millisecond
	// holdingTTL is the age at which the report of a box is discarded.
	holdingTTL = 30 * time.Second
)

// PeerClient sends requests to other boxes.
type PeerClient interface {
	Call(ctx context.Context, box string, r *wire.Request) (*wire.Response, error)
	// Fetch is Call for responses that may be large: it fails only if nothing is received
	// for idleTimeout.
	Fetch(ctx context.Context, box string, r *wire.Request, idleTimeout time.Duration) (*wire.Response, error)
}

// Options configure a Distributor.
type Options struct {
	Replica *replica.Replica
	Client  PeerClient
	Self    *wire.Member
	// Seeds are the names of the boxes listed in the settings.
	Seeds []string
	// RecentCallers returns boxes that recently called this one and may know the cluster;
	// nil for none.
	RecentCallers func() []string
	ConfigLease   time.Duration
	// DrainingDuration is the time after the acknowledgement that a server leaves in which it may still get requests; 0 if
	// there is no such bound.
	DrainingDuration time.Duration
	// Demand returns the recent demand at this box.
	Demand func() []*wire.Demand
	Log    *zap.Logger
}

// Distributor is one box's node in the distribution tree.
type Distributor struct {
	opts Options

	mu            sync.Mutex
	freshAt       time.Duration // when a leader was last certain to lead, on the replica's clock
	confirmations confirmations
	fresh         bool
	leader        string
	path          []string
	holdings      map[string]holding
	committed     committedFile
	probes        map[string]probe
	probed        map[string]lastProbe // by box
	roundBegan    time.Duration        // when the last round of probes began
	started       time.Time
	parent        string        // current parent, "" while there is none
	advanced      chan struct{} // a box of the subtree has applied the newest file
	ahead         chan aheadBox // found by probes
	freshUpdate   chan struct{} // closed when a fresher update has been received
	demand        map[string]childDemand
	demandSentAt  time.Duration // when the subtree's demand was last sent
	reportSentAt  time.Duration // when the subtree's holdings were last sent
	parentLostAt  time.Time     // since when no parent has given updates; zero while one does

	loggedEvidence atomic.Int32 // the evidence logged last
}

// childDemand is the demand that a child reported for itself and its subtree.
type childDemand struct {
	at   time.Duration
	list []*wire.Demand
}

type holding struct {
	index uint64
	at    time.Duration
}

type probe struct {
	index    uint64
	at       time.Duration
	witness  bool // (5.2)
	position voterPosition
}

// voterPosition is a voter's last log position and the index of the newest fleet file in its
// log.
type voterPosition struct {
	consensus.LogPosition
	newestFile uint64
}

// New returns a Distributor; it does nothing until Run is called.
func New(opts Options) *Distributor {
	return &Distributor{opts: opts, holdings: map[string]holding{}, probes: map[string]probe{}, probed: map[string]lastProbe{}, advanced: make(chan struct{}, 1), ahead: make(chan aheadBox), freshUpdate: make(chan struct{}), demand: map[string]childDemand{}, started: time.Now()}
}

// Run requests updates from parents and, while there are none, probes all boxes, until the
// context ends.
func (s *Distributor) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.followLoop(ctx) })
	wg.Go(func() { s.probeLoop(ctx) })
	wg.Go(func() { s.reportLoop(ctx) })
	wg.Go(func() { s.catchUpLoop(ctx) })
	wg.Wait()
}

// Leader returns the leader's member ID, as far as this box knows.
func (s *Distributor) Leader() string {
	if l := s.opts.Replica.Status().Leader; l != "" {
		return l
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader
}

// StateAge returns the time since a leader was certain to lead when it sent the state that
// this box has. It returns false if the box has learned of no leader that led since the box's
// process started.
func (s *Distributor) StateAge() (time.Duration, bool) {
	age, leaseHeld := s.opts.Replica.Lease()
	now := s.opts.Replica.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if leaseHeld && (!s.fresh || now-age > s.freshAt) {
		s.fresh, s.freshAt = true, now-age // kept when the lease ends
	}
	return now - s.freshAt, s.fresh
}

// Current reports whether the box's state is current (5).
func (s *Distributor) Current() bool {
	e := s.evidence()
	if old := evidence(s.loggedEvidence.Swap(int32(e))); old != e {
		s.logEvidenceChange(old, e)
	}
	return e != evidenceNone
}

// majorityConfirms reports whether a majority of all boxes are witnesses that answered within the
// configuration lease, and no box that answered is ahead (5.1).
func (s *Distributor) majorityConfirms() bool {
	view := s.opts.Replica.View()
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.opts.Replica.Now()
	witnesses := 0
	for _, m := range view.Members {
		id := state.MemberID(m)
		if id == s.opts.Replica.ID() {
			if s.fresh {
				witnesses++
			}
			continue
		}
		p, ok := s.probes[id]
		if !ok || now-p.at > s.opts.ConfigLease {
			continue
		}
		if p.index > view.Index {
			return false
		}
		if p.witness { // (5.2)
			witnesses++
		}
	}
	return witnesses > len(view.Members)/2
}

// AnswerFollow answers a child's request for updates (1, 3).
func (s *Distributor) AnswerFollow(ctx context.Context, from *wire.Member, f *wire.Follow) (*wire.FollowUpdate, error) {
	s.recordHoldings(state.MemberID(from), f)
	s.recordDemand(state.MemberID(from), f)
	if f.Urgent {
		return &wire.FollowUpdate{}, nil
	}
	start := time.Now()
	path := s.currentPath()
	entries, snapshot, err := s.updatesFor(ctx, from, f.Index, path)
	if err != nil {
		return nil, err
	}
	age, fresh := s.StateAge() // before the index: what a leader confirmed is already applied
	u := &wire.FollowUpdate{
		Index: s.opts.Replica.View().Index, Entries: entries, Snapshot: snapshot,
		Leader: s.Leader(), Path: append(s.currentPath(), s.opts.Self.Box),
		HeldMs: uint32(time.Since(start).Milliseconds()),
	}
	if fresh {
		u.Fresh, u.AgeMs = true, uint32((age + time.Millisecond - 1).Milliseconds()) // rounded up: an age is a bound
	}
	return u, nil
}

// updatesFor returns immediately if waiting cannot help: this box's state is stale, or came
// through the requesting box. A box that never had an update waits as well: it has just
// started, and the requesting box then learns of the first leader at the same time.
func (s *Distributor) updatesFor(ctx context.Context, from *wire.Member, index uint64, path []string) ([]*wire.Entry, []byte, error) {
	age, fresh := s.StateAge()
	left := s.staleLimit(len(path)) - age
	if fresh && left < 0 || slices.Contains(path, from.GetBox()) {
		return s.opts.Replica.UpdatesSince(index)
	}
	if !fresh {
		left = longPollTimeout
	}
	return s.awaitUpdates(ctx, index, min(longPollTimeout, left+time.Millisecond))
}

// awaitUpdates waits for an update for a time at most, which ends when this box's state becomes stale: the requesting box
// then looks for another parent.
func (s *Distributor) awaitUpdates(ctx context.Context, index uint64, timeout time.Duration) ([]*wire.Entry, []byte, error) {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	s.mu.Lock()
	freshUpdate := s.freshUpdate
	s.mu.Unlock()
	for {
		changed := s.opts.Replica.Changed()
		if s.opts.Replica.View().Index > index {
			return s.opts.Replica.UpdatesSince(index)
		}
		select {
		case <-changed:
			s.batchUpdates(ctx)
		case <-freshUpdate:
			return s.opts.Replica.UpdatesSince(index)
		case <-timer.C:
			return nil, nil, nil
		case <-ctx.Done():
			return nil, nil, Error.Wrap(ctx.Err())
		}
	}
}

// batchUpdates waits while updates arrive frequently: a thousand boxes that each receive a
// thousand announcements one by one exchange a million messages. A fleet file does not wait
// for later entries.
func (s *Distributor) batchUpdates(ctx context.Context) {
	for range maxBatchRounds {
		before := s.opts.Replica.View()
		wait.For(ctx, batchDelayFor(len(before.Members)))
		now := s.opts.Replica.View()
		if now.Index-before.Index < batchThreshold || now.Version.GetIndex() != before.Version.GetIndex() || ctx.Err() != nil {
			return
		}
	}
}

func batchDelayFor(boxes int) time.Duration {
	return min(maxBatchDelay, batchDelay+time.Duration(boxes)*batchDelayPerBox)
}

func (s *Distributor) currentPath() []string {
	if s.opts.Replica.Status().Role == consensus.Leader {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.path)
}

// recordHoldings records the applied indexes that a child reports for itself and the boxes below it
// (4).
func (s *Distributor) recordHoldings(child string, f *wire.Follow) {
	now := s.opts.Replica.Now()
	view := s.opts.Replica.View()
	rows := unpackHoldings(report{f.Sets, f.Subtree}, f.Index, view)
	file := view.Version.GetIndex()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.notifyAdvance(s.holdings[child].index, f.Index, file)
	s.holdings[child] = holding{f.Index, now}
	for _, h := range rows {
		if h.Member == s.opts.Replica.ID() {
			continue // from a time when this box asked another parent
		}
		at := now - time.Duration(h.AgeMs)*time.Millisecond
		if at > s.holdings[h.Member].at {
			s.notifyAdvance(s.holdings[h.Member].index, h.Index, file)
			s.holdings[h.Member] = holding{h.Index, at}
		}
	}
	for id, h := range s.holdings {
		if now-h.at > holdingTTL {
			delete(s.holdings, id)
		}
	}
}

// notifyAdvance triggers an immediate report to the parent when a box has applied the newest
// file (4). All other replicated state changes too often for that.
func (s *Distributor) notifyAdvance(from, to, file uint64) {
	if from >= file || to < file {
		return
	}
	select {
	case s.advanced <- struct{}{}:
	default:
	}
}

// Holdings returns the applied index of this box and of each box that requests updates
// through it.
func (s *Distributor) Holdings() []*wire.Holding {
	list := []*wire.Holding{{Member: s.opts.Replica.ID(), Index: s.opts.Replica.View().Index}}
	now := s.opts.Replica.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, h := range s.holdings {
		list = append(list, &wire.Holding{Member: id, Index: h.index, AgeMs: uint32((now - h.at).Milliseconds())})
	}
	slices.SortFunc(list, func(a, b *wire.Holding) int { return strings.Compare(a.Member, b.Member) })
	return list
}

// SeesMajority reports whether a majority of the listed boxes, this box included, was seen
// within the configuration lease.
func (s *Distributor) SeesMajority() bool {
	c := s.coverage(0, s.opts.ConfigLease)
	return c.applied > c.boxes/2
}

// AnswerProbe returns this box's state position for another box (5).
func (s *Distributor) AnswerProbe() *wire.ProbeAnswer {
	age, fresh := s.StateAge() // before the index: what a leader vouched for is already applied
	a := &wire.ProbeAnswer{
		Member: s.opts.Replica.ID(), Index: s.opts.Replica.View().Index, Witness: fresh,
		Leader: s.opts.Replica.Status().Role == consensus.Leader, LeaderMember: s.Leader(), Current: s.Current(),
	}
	if fresh {
		a.AgeMs = uint32(age.Milliseconds())
	}
	status := s.opts.Replica.Status()
	w := status.LogPosition
	a.Voters, a.Term, a.LastIndex, a.LastTerm, a.NewestFile = w.Voters, w.Term, w.LastIndex, w.LastTerm, status.NewestFile
	return a
}
