// Package spread carries the agreed state from the leader to all boxes, and
// what each box has in force back to the leader.
//
// Rules:
//
//  1. A box asks one parent for what it lacks. The parent holds the question
//     until it has news or has heard that nothing is new, at most for a short
//     time. So the age of what a box knows does not grow with its depth.
//  2. The parents form a tree: boxes with a disk ask the leader; in each data
//     hall the first other box by name asks one with a disk, and the rest ask
//     boxes of their hall. A parent that fails or has no fresh news is passed
//     over (chooser.go).
//  3. News carries its age: how long ago a leader was certain to lead. A box
//     counts the age from before it asked, less the time that the parent held
//     the question, so that news that was stuck on the way is old news.
//  4. Each question carries the index in force on the asker and on those that
//     ask through it, so that the leader knows where a file is in force. When
//     one of those comes to hold the newest file, the asker reports it without
//     waiting for its own question to come back; else it repeats the list once a second. The list
//     names boxes by their places in the roster.
//  5. A box is current while a leader led within the configuration lease, and since the
//     box's process began.
//     5.1 Without such news it is current while a majority of all boxes are witnesses that
//     answer, and no box that answers is ahead. A file counts as accepted once a majority
//     has it in force, so one of the witnesses would have it.
//     5.2 A witness is a box that has heard of a leader that led since the box's process
//     began. A box that has just started has applied what its disk held at some time, or
//     nothing: it may have forgotten an accepted file.
//     5.3 After a start of all boxes it is current by the reports of the voters (start.go).
//  6. A file is acknowledged once all boxes that were heard lately have it in force
//     (inforce.go).
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
	// hold is how long a parent holds a question without news (1).
	hold = 400 * time.Millisecond
	// gather is how long a parent waits for more behind the first news: entries come
	// in pairs and more, and each answer costs as much as many of them. Every box takes
	// every answer over, so gatherBox is added for each of them, up to gatherMost.
	gather     = 8 * time.Millisecond
	gatherBox  = 500 * time.Microsecond
	gatherMost = 60 * time.Millisecond
	// thick is how many entries must come while news is gathered for it to be gathered on, gathersMost times in all.
	thick       = 16
	gathersMost = 4
	// askTimeout bounds the time of a question in which nothing comes, askMost that of
	// one whose answer is on its way: a whole state of some MB over a share of a link
	// of 10 Mbit/s.
	askTimeout = hold + 800*time.Millisecond
	askMost    = 10 * time.Second
	// fanOut is how many boxes of a hall ask the same box (2).
	fanOut = 8
	// reportEvery is the time between two reports of the whole subtree when
	// nothing advances.
	reportEvery = time.Second
	// probeEvery is the time between two looks at all boxes (5).
	probeEvery = 400 * time.Millisecond
	// forgetHolding is when the report of a box counts as lost.
	forgetHolding = 30 * time.Second
)

// PeerClient asks other boxes.
type PeerClient interface {
	Call(ctx context.Context, box string, r *wire.Request) (*wire.Response, error)
	// Fetch is Call for an answer that may be long: it is given up when nothing has come
	// for the time quiet.
	Fetch(ctx context.Context, box string, r *wire.Request, quiet time.Duration) (*wire.Response, error)
}

// Options make a Spreader.
type Options struct {
	Replica *replica.Replica
	Client  PeerClient
	Self    *wire.Member
	// Seeds are the names of boxes known from the settings.
	Seeds []string
	// RecentCallers returns boxes that called this one lately and may know the cluster; nil for none.
	RecentCallers func() []string
	ConfigLease   time.Duration
	// Demand returns what this box was asked for lately.
	Demand func() []*wire.Demand
	Log    *zap.Logger
}

// Distributor is one box's part in the tree.
type Distributor struct {
	opts Options

	mu       sync.Mutex
	freshAt  time.Duration // on the replica's clock
	fresh    bool
	leader   string
	path     []string
	holdings map[string]holding
	agreed   agreedFile
	probes   map[string]probe
	started  time.Time
	parent   string        // gives news now, "": none
	advanced chan struct{} // one of the subtree has applied more
	ahead    chan newer    // found by probes
	fresher  chan struct{} // closed when fresher news has come
	demand   map[string]demandOf
	demandAt time.Duration // when the own subtree's demand was sent last
	reportAt time.Duration // when the own subtree's holdings were sent last
	lostAt   time.Time     // since when no parent has given news; zero: one does

	shown atomic.Int32 // the evidence that was logged last
}

// demandOf is what a child reported of itself and its subtree.
type demandOf struct {
	at   time.Duration
	list []*wire.Demand
}

type holding struct {
	index uint64
	at    time.Duration
}

type probe struct {
	index   uint64
	at      time.Duration
	witness bool // (5.2)
	word    word
}

// word is what a voter says of its log, and where the newest fleet file stands there.
type word struct {
	consensus.LogPosition
	file uint64
}

// New returns a Spreader; Run makes it work.
func New(opts Options) *Distributor {
	return &Distributor{opts: opts, holdings: map[string]holding{}, probes: map[string]probe{}, advanced: make(chan struct{}, 1), ahead: make(chan newer), fresher: make(chan struct{}), demand: map[string]demandOf{}, started: time.Now()}
}

// Run asks parents and, without news, all boxes, until the context ends.
func (s *Distributor) Run(ctx context.Context) {
	var wg sync.WaitGroup
	wg.Go(func() { s.followLoop(ctx) })
	wg.Go(func() { s.probeLoop(ctx) })
	wg.Go(func() { s.reportLoop(ctx) })
	wg.Go(func() { s.learnLoop(ctx) })
	wg.Wait()
}

// Leader returns the member that leads, as far as this box knows.
func (s *Distributor) Leader() string {
	if l := s.opts.Replica.Status().Leader; l != "" {
		return l
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.leader
}

// StateAge returns how long ago a leader was certain to lead when it sent what this
// box has; false when the box has heard of none that led since its process began.
func (s *Distributor) StateAge() (time.Duration, bool) {
	age, held := s.opts.Replica.Lease()
	now := s.opts.Replica.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if held && (!s.fresh || now-age > s.freshAt) {
		s.fresh, s.freshAt = true, now-age // stays known when the lease ends
	}
	return now - s.freshAt, s.fresh
}

// Current is rule 5.
func (s *Distributor) Current() bool {
	e := s.evidence()
	if old := evidence(s.shown.Swap(int32(e))); old != e {
		s.logEvidence(old, e)
	}
	return e != byNone
}

// majorityAgrees is rule 5.1.
func (s *Distributor) majorityAgrees() bool {
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

// AnswerFollow answers a child (1, 3).
func (s *Distributor) AnswerFollow(ctx context.Context, from *wire.Member, f *wire.Follow) (*wire.FollowUpdate, error) {
	s.noteHoldings(state.MemberID(from), f)
	s.noteDemand(state.MemberID(from), f)
	if f.Urgent {
		return &wire.FollowUpdate{}, nil
	}
	began := time.Now()
	path := s.currentPath()
	entries, snapshot, err := s.newsFor(ctx, from, f.Index, path)
	if err != nil {
		return nil, err
	}
	u := &wire.FollowUpdate{
		Index: s.opts.Replica.View().Index, Entries: entries, Snapshot: snapshot,
		Leader: s.Leader(), Path: append(s.currentPath(), s.opts.Self.Box),
		HeldMs: uint32(time.Since(began).Milliseconds()),
	}
	if age, fresh := s.StateAge(); fresh {
		u.Fresh, u.AgeMs = true, uint32(age.Milliseconds())
	}
	return u, nil
}

// newsFor answers at once where waiting brings nothing: the news of this box has become
// old, or came by way of the asker. A box that never had any waits, too: it has just
// started, and whoever asks it then hears of the first leader with it.
func (s *Distributor) newsFor(ctx context.Context, from *wire.Member, index uint64, path []string) ([]*wire.Entry, []byte, error) {
	age, fresh := s.StateAge()
	if fresh && stale(age, len(path)) || slices.Contains(path, from.GetBox()) {
		return s.opts.Replica.UpdatesSince(index)
	}
	return s.awaitNews(ctx, index)
}

func (s *Distributor) awaitNews(ctx context.Context, index uint64) ([]*wire.Entry, []byte, error) {
	timer := time.NewTimer(hold)
	defer timer.Stop()
	s.mu.Lock()
	fresher := s.fresher
	s.mu.Unlock()
	for {
		changed := s.opts.Replica.Changed()
		if s.opts.Replica.View().Index > index {
			return s.opts.Replica.UpdatesSince(index)
		}
		select {
		case <-changed:
			s.gather(ctx)
		case <-fresher:
			return s.opts.Replica.UpdatesSince(index)
		case <-timer.C:
			return nil, nil, nil
		case <-ctx.Done():
			return nil, nil, Error.Wrap(ctx.Err())
		}
	}
}

// gather waits while news comes thick: a thousand boxes that take each of a thousand announcements by itself exchange a
// million messages. A fleet file does not wait for what comes behind it.
func (s *Distributor) gather(ctx context.Context) {
	for range gathersMost {
		before := s.opts.Replica.View()
		wait.For(ctx, gatherFor(len(before.Members)))
		now := s.opts.Replica.View()
		if now.Index-before.Index < thick || now.Version.GetIndex() != before.Version.GetIndex() || ctx.Err() != nil {
			return
		}
	}
}

func gatherFor(boxes int) time.Duration {
	return min(gatherMost, gather+time.Duration(boxes)*gatherBox)
}

func (s *Distributor) currentPath() []string {
	if s.opts.Replica.Status().Role == consensus.Leader {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.path)
}

// noteHoldings is rule 4 on the side of the parent.
func (s *Distributor) noteHoldings(asker string, f *wire.Follow) {
	now := s.opts.Replica.Now()
	view := s.opts.Replica.View()
	rows := unpack(report{f.Sets, f.Subtree}, f.Index, view)
	file := view.Version.GetIndex()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.noteAdvance(s.holdings[asker].index, f.Index, file)
	s.holdings[asker] = holding{f.Index, now}
	for _, h := range rows {
		if h.Member == s.opts.Replica.ID() {
			continue // from a time when this box asked others
		}
		at := now - time.Duration(h.AgeMs)*time.Millisecond
		if at > s.holdings[h.Member].at {
			s.noteAdvance(s.holdings[h.Member].index, h.Index, file)
			s.holdings[h.Member] = holding{h.Index, at}
		}
	}
	for id, h := range s.holdings {
		if now-h.at > forgetHolding {
			delete(s.holdings, id)
		}
	}
}

// noteAdvance has the parent told at once that a box has come to hold the newest file
// (4). All else that is agreed changes too often for that.
func (s *Distributor) noteAdvance(from, to, file uint64) {
	if from >= file || to < file {
		return
	}
	select {
	case s.advanced <- struct{}{}:
	default:
	}
}

// Holdings returns what each box that asks through this one has in force, this
// box included.
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

// SeesMajority reports whether a majority of the listed boxes was heard lately,
// this box included.
func (s *Distributor) SeesMajority() bool {
	c := s.coverage(0, s.opts.ConfigLease)
	return c.have > c.boxes/2
}

// AnswerProbe tells another box where this one stands (5).
func (s *Distributor) AnswerProbe() *wire.ProbeAnswer {
	age, fresh := s.StateAge() // before the index: what a leader vouched for is applied first
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
