package spread

import (
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/zeebo/errs"
	"go.uber.org/zap"

	"leverdrum/consensus"
	"leverdrum/event"
	"leverdrum/internal/wait"
	"leverdrum/state"
	"leverdrum/wire"
)

// Error is the class of this package's errors.
var Error = errs.Class("spread")

func (s *Distributor) followLoop(ctx context.Context) {
	var c parentChooser
	for ctx.Err() == nil {
		if s.opts.Replica.Status().Role == consensus.Leader {
			s.StateAge() // records the lease
			wait.For(ctx, longPollTimeout)
			continue
		}
		list := s.parentCandidates()
		if len(list) == 0 {
			wait.For(ctx, longPollTimeout)
			continue
		}
		parent := c.next(list, wire.BoxOf(s.Leader()), time.Now())
		if c.parent == "" && s.hadUpdates() {
			s.search(ctx, &c)
			continue
		}
		err := s.requestUpdates(ctx, parent, requestTimeout)
		s.logParentChange(parent, err)
		if err == nil {
			c.recordSuccess(parent, time.Now())
			s.setParent(parent)
			continue
		}
		c.recordFailure(parent, list)
		s.setParent("")
		wait.For(ctx, c.delay(list))
	}
}

// logParentChange logs when the flow of updates is lost or restored.
func (s *Distributor) logParentChange(parent string, err error) {
	lost := !s.parentLostAt.IsZero()
	if lost == (err != nil) {
		return
	}
	fields := []zap.Field{zap.String("parent", parent), zap.Uint64("index", s.opts.Replica.View().Index), zap.Uint64("number", s.opts.Replica.View().Version.GetNumber())}
	if err != nil {
		s.parentLostAt = time.Now()
		event.UpdatesLost.Log(s.opts.Log, append(fields, event.ErrorField(err))...)
		return
	}
	event.UpdatesRestored.Log(s.opts.Log, append(fields, zap.Duration("after", time.Since(s.parentLostAt)))...)
	s.parentLostAt = time.Time{}
}

func (s *Distributor) setParent(box string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parent = box
}

// parentCandidates lists the boxes to request updates from, the tree's parent first (2).
func (s *Distributor) parentCandidates() []string {
	list := s.coreSources()
	for _, m := range disklessBoxes(s.opts.Replica.View(), s.opts.Self.Hall) {
		list = s.appendOther(list, m)
	}
	return list
}

// coreSources lists the boxes that are likely to have updates whatever has failed. Their
// number does not grow with the number of all boxes.
func (s *Distributor) coreSources() []string {
	view := s.opts.Replica.View()
	list := s.appendOther(nil, treeParent(view, s.opts.Self))
	list = s.appendOther(list, wire.BoxOf(s.Leader()))
	for _, id := range s.opts.Replica.Status().Voters {
		list = s.appendOther(list, wire.BoxOf(id))
	}
	for _, seed := range s.opts.Seeds {
		list = s.appendOther(list, seed)
	}
	if s.opts.RecentCallers != nil {
		for _, box := range s.opts.RecentCallers() {
			list = s.appendOther(list, box)
		}
	}
	return list
}

// appendOther appends a box unless it is this one or already listed.
func (s *Distributor) appendOther(list []string, box string) []string {
	if box == "" || box == s.opts.Self.Box || slices.Contains(list, box) {
		return list
	}
	return append(list, box)
}

// treeParent returns the parent in the tree of a box without a disk (2), or "" if the member list
// does not determine a parent. It depends only on the replicated member list, because boxes
// that do not vote do not know who votes.
func treeParent(view *state.State, self *wire.Member) string {
	if self.Disk {
		return ""
	}
	boxes := disklessBoxes(view, self.Hall)
	if i := slices.Index(boxes, self.Box); i > 0 {
		return boxes[(i-1)/fanOut]
	}
	return diskParent(view, self.Hall)
}

// disklessBoxes returns the boxes of a hall without a disk, sorted by name.
func disklessBoxes(view *state.State, hall string) []string {
	var list []string
	for _, m := range view.Members {
		if m.Hall == hall && !m.Leaving && !m.Disk {
			list = append(list, m.Box)
		}
	}
	slices.Sort(list)
	return list
}

// diskParent returns a box with a disk: one of the hall, or else one of the other halls,
// chosen by a hash of the hall's name to distribute the halls without disks evenly.
func diskParent(view *state.State, hall string) string {
	var own, others []string
	for _, m := range view.Members {
		switch {
		case !m.Disk || m.Leaving:
		case m.Hall == hall:
			own = append(own, m.Box)
		default:
			others = append(others, m.Box)
		}
	}
	if len(own) == 0 {
		own = others
	}
	if len(own) == 0 {
		return ""
	}
	slices.Sort(own)
	return own[xxhash.Sum64String(hall)%uint64(len(own))]
}

// requestUpdates sends one request to a parent and applies the updates of its response.
// It fails if nothing is received for idleTimeout.
func (s *Distributor) requestUpdates(ctx context.Context, parent string, idleTimeout time.Duration) error {
	ctx, cancel := context.WithTimeout(ctx, maxRequestTime)
	defer cancel()
	sent := s.opts.Replica.Now()
	view := s.opts.Replica.View()
	subtree := s.subtreeReportIfDue(view)
	follow := &wire.Follow{
		Member: s.opts.Replica.ID(), Index: view.Index, Demand: s.demandIfDue(), Sets: subtree.sets, Subtree: subtree.rows,
	}
	response, err := s.opts.Client.Fetch(ctx, parent, &wire.Request{Kind: &wire.Request_Follow{Follow: follow}}, idleTimeout)
	if err != nil {
		return Error.Wrap(err)
	}
	u := response.GetFollow()
	if u == nil {
		return Error.New("box %s returned an unexpected response type", parent)
	}
	// Committed entries are valid whichever box sends them; only their age depends on the
	// parent.
	if err := s.opts.Replica.ApplyUpdate(u.Entries, u.Snapshot); err != nil {
		return Error.Wrap(err)
	}
	if slices.Contains(u.Path, s.opts.Self.Box) {
		return Error.New("box %s receives its updates through this box", parent)
	}
	return s.recordUpdate(parent, sent, u)
}

// recordUpdate records the leader and the time of a fresh update, computed from the update's age
// (3). A parent without a fresh update counts as failed.
func (s *Distributor) recordUpdate(parent string, sent time.Duration, u *wire.FollowUpdate) error {
	age := time.Duration(u.AgeMs) * time.Millisecond
	at := sent + time.Duration(u.HeldMs)*time.Millisecond - age
	complete := s.opts.Replica.View().Index >= u.Index
	s.mu.Lock()
	defer s.mu.Unlock()
	// The replica's clock starts with the process, so an update from before the start has a
	// negative time and does not count (5). It still names a leader to ask.
	if complete && u.Fresh && at < 0 && !s.fresh {
		s.leader = u.Leader
	}
	if complete && u.Fresh && at >= 0 {
		s.confirmations.add(u.Index, at)
	}
	if complete && u.Fresh && at >= 0 && (!s.fresh || at > s.freshAt) {
		s.fresh, s.freshAt, s.path = true, at, u.Path
		s.leader = u.Leader
		close(s.freshUpdate)
		s.freshUpdate = make(chan struct{})
	}
	if !u.Fresh || age > s.staleLimit(len(u.Path)) {
		return Error.New("box %s has no fresh update", parent)
	}
	return nil
}

// subtreeReport returns the applied indexes of all boxes below this one, for its parent (4).
func (s *Distributor) subtreeReport(view *state.State) report {
	own := s.opts.Replica.ID()
	others := slices.DeleteFunc(s.Holdings(), func(h *wire.Holding) bool { return h.Member == own })
	return packHoldings(others, view)
}

// subtreeReportIfDue returns the subtree's report if it is time to repeat it.
func (s *Distributor) subtreeReportIfDue(view *state.State) report {
	if !s.isDue(&s.reportSentAt, reportInterval) {
		return report{}
	}
	return s.subtreeReport(view)
}

// isDue reports whether the interval has passed since the last transmission, and if so sets
// last to the current time.
func (s *Distributor) isDue(last *time.Duration, every time.Duration) bool {
	now := s.opts.Replica.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now-*last < every {
		return false
	}
	*last = now
	return true
}

// reportBatchDelay combines the reports of several boxes into one.
const reportBatchDelay = 3 * time.Millisecond

// reportLoop immediately reports that boxes of the subtree have advanced (4).
func (s *Distributor) reportLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.advanced:
		}
		wait.For(ctx, reportBatchDelay)
		s.mu.Lock()
		parent := s.parent
		s.mu.Unlock()
		if parent != "" && s.opts.Replica.Status().Role != consensus.Leader {
			s.sendReport(ctx, parent)
		}
	}
}

func (s *Distributor) sendReport(ctx context.Context, parent string) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	view := s.opts.Replica.View()
	subtree := s.subtreeReport(view)
	f := &wire.Follow{Member: s.opts.Replica.ID(), Index: view.Index, Urgent: true, Sets: subtree.sets, Subtree: subtree.rows}
	// The next periodic request replaces a lost report.
	_, _ = s.opts.Client.Call(ctx, parent, &wire.Request{Kind: &wire.Request_Follow{Follow: f}})
}

// catchUpLoop requests updates from boxes that probes found ahead. It asks one at a time and
// waits as long as the response is being received: otherwise 40 starting boxes each requested
// a state of 750 KB six times, from all boxes that had it at once
// (TestStartingBoxesGetLargeState).
func (s *Distributor) catchUpLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-s.ahead:
			if n.index > s.opts.Replica.View().Index {
				// An update need not be fresh to be newer than this box's state. After an error
				// the next probe finds this box or another.
				_ = s.requestUpdates(ctx, n.box, requestTimeout)
			}
		}
	}
}
