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
	var c chooser
	for ctx.Err() == nil {
		if s.opts.Replica.Status().Role == consensus.Leader {
			s.StateAge() // notes the lease
			wait.For(ctx, hold)
			continue
		}
		list := s.parents()
		if len(list) == 0 {
			wait.For(ctx, hold)
			continue
		}
		parent := c.next(list, wire.BoxOf(s.Leader()), time.Now())
		err := s.ask(ctx, parent)
		s.noteParent(parent, err)
		if err == nil {
			c.news(parent, time.Now())
			s.setParent(parent)
			continue
		}
		c.failed(parent, list)
		s.setParent("")
		wait.For(ctx, c.pause(list))
	}
}

// noteParent writes a line where news is lost or regained.
func (s *Distributor) noteParent(parent string, err error) {
	lost := !s.lostAt.IsZero()
	if lost == (err != nil) {
		return
	}
	fields := []zap.Field{zap.String("parent", parent), zap.Uint64("index", s.opts.Replica.View().Index), zap.Uint64("number", s.opts.Replica.View().Version.GetNumber())}
	if err != nil {
		s.lostAt = time.Now()
		event.NewsLost.Log(s.opts.Log, append(fields, event.Cause(err))...)
		return
	}
	event.NewsRegained.Log(s.opts.Log, append(fields, zap.Duration("after", time.Since(s.lostAt)))...)
	s.lostAt = time.Time{}
}

func (s *Distributor) setParent(box string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.parent = box
}

// parents lists the boxes to ask, the tree's parent first (2).
func (s *Distributor) parents() []string {
	list := s.sources()
	for _, m := range hallMates(s.opts.Replica.View(), s.opts.Self.Hall) {
		list = s.appendOther(list, m)
	}
	return list
}

// sources lists the boxes of which each is likely to have news whatever has failed: their
// count does not grow with that of all boxes.
func (s *Distributor) sources() []string {
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

// appendOther adds a box that is not this one and not listed yet.
func (s *Distributor) appendOther(list []string, box string) []string {
	if box == "" || box == s.opts.Self.Box || slices.Contains(list, box) {
		return list
	}
	return append(list, box)
}

// treeParent is rule 2 for a box without a disk, "" when the list does not tell.
// It goes by the agreed list alone: who votes is not known to those who do not.
func treeParent(view *state.State, self *wire.Member) string {
	if self.Disk {
		return ""
	}
	mates := hallMates(view, self.Hall)
	if i := slices.Index(mates, self.Box); i > 0 {
		return mates[(i-1)/fanOut]
	}
	return diskBox(view, self.Hall)
}

// hallMates returns the boxes of a hall that have no disk, by name.
func hallMates(view *state.State, hall string) []string {
	var list []string
	for _, m := range view.Members {
		if m.Hall == hall && !m.Leaving && !m.Disk {
			list = append(list, m.Box)
		}
	}
	slices.Sort(list)
	return list
}

// diskBox returns a box with a disk: of the hall, or else one of the others, by
// the hall's name, so that halls without one are shared out.
func diskBox(view *state.State, hall string) string {
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

// ask puts one question to a parent and takes over its news.
func (s *Distributor) ask(ctx context.Context, parent string) error {
	ctx, cancel := context.WithTimeout(ctx, askMost)
	defer cancel()
	sent := s.opts.Replica.Now()
	view := s.opts.Replica.View()
	subtree := s.dueSubtree(view)
	question := &wire.Follow{
		Member: s.opts.Replica.ID(), Index: view.Index, Demand: s.dueDemand(), Sets: subtree.sets, Subtree: subtree.rows,
	}
	response, err := s.opts.Client.Fetch(ctx, parent, &wire.Request{Kind: &wire.Request_Follow{Follow: question}}, askTimeout)
	if err != nil {
		return Error.Wrap(err)
	}
	u := response.GetFollow()
	if u == nil {
		return Error.New("box %s gave another answer than asked for", parent)
	}
	// What is agreed is so whoever tells it; how old it is depends on that.
	if err := s.opts.Replica.ApplyUpdate(u.Entries, u.Snapshot); err != nil {
		return Error.Wrap(err)
	}
	if slices.Contains(u.Path, s.opts.Self.Box) {
		return Error.New("box %s asks through this box", parent)
	}
	return s.noteNews(parent, sent, u)
}

// noteNews is rule 3. Without fresh news the parent counts as failed.
func (s *Distributor) noteNews(parent string, sent time.Duration, u *wire.FollowUpdate) error {
	age := time.Duration(u.AgeMs) * time.Millisecond
	at := sent + time.Duration(u.HeldMs)*time.Millisecond - age
	complete := s.opts.Replica.View().Index >= u.Index
	s.mu.Lock()
	defer s.mu.Unlock()
	// The replica's clock begins with the process, so older news has a negative time (5). It
	// names a leader to ask all the same.
	if complete && u.Fresh && at < 0 && !s.fresh {
		s.leader = u.Leader
	}
	if complete && u.Fresh && at >= 0 && (!s.fresh || at > s.freshAt) {
		s.fresh, s.freshAt, s.path = true, at, u.Path
		s.leader = u.Leader
		close(s.fresher)
		s.fresher = make(chan struct{})
	}
	if !u.Fresh || stale(age, len(u.Path)) {
		return Error.New("box %s has no fresh news", parent)
	}
	return nil
}

// subtree is rule 4 on the side of the asker.
func (s *Distributor) subtree(view *state.State) report {
	own := s.opts.Replica.ID()
	others := slices.DeleteFunc(s.Holdings(), func(h *wire.Holding) bool { return h.Member == own })
	return pack(others, view)
}

// dueSubtree returns the subtree when it is time to repeat it.
func (s *Distributor) dueSubtree(view *state.State) report {
	if !s.due(&s.reportAt, reportEvery) {
		return report{}
	}
	return s.subtree(view)
}

// due reports whether it is time to send again what was last sent at the time
// that last holds, and notes that it is sent now.
func (s *Distributor) due(last *time.Duration, every time.Duration) bool {
	now := s.opts.Replica.Now()
	s.mu.Lock()
	defer s.mu.Unlock()
	if now-*last < every {
		return false
	}
	*last = now
	return true
}

// reportPause gathers the reports of several boxes into one.
const reportPause = 3 * time.Millisecond

// reportLoop passes on at once that boxes of the subtree have advanced (4).
func (s *Distributor) reportLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.advanced:
		}
		wait.For(ctx, reportPause)
		s.mu.Lock()
		parent := s.parent
		s.mu.Unlock()
		if parent != "" && s.opts.Replica.Status().Role != consensus.Leader {
			s.report(ctx, parent)
		}
	}
}

func (s *Distributor) report(ctx context.Context, parent string) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	view := s.opts.Replica.View()
	subtree := s.subtree(view)
	f := &wire.Follow{Member: s.opts.Replica.ID(), Index: view.Index, Urgent: true, Sets: subtree.sets, Subtree: subtree.rows}
	// A report that is lost is made good by the next question.
	_, _ = s.opts.Client.Call(ctx, parent, &wire.Request{Kind: &wire.Request_Follow{Follow: f}})
}

// probeLoop looks at all boxes while there is no fresh news (5).
func (s *Distributor) probeLoop(ctx context.Context) {
	for looks := 0; ctx.Err() == nil; looks++ {
		if age, fresh := s.StateAge(); !fresh || age > s.opts.ConfigLease/2 {
			s.probeAll(ctx)
			s.learnAgreed()
		}
		wait.For(ctx, s.probePause(looks))
	}
}

func (s *Distributor) probeAll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.probeTimeout())
	defer cancel()
	done := make(chan struct{})
	count := 0
	for _, box := range s.probed() {
		count++
		go func() {
			s.probe(ctx, box)
			done <- struct{}{}
		}()
	}
	for range count {
		<-done
	}
}

func (s *Distributor) probe(ctx context.Context, box string) {
	sent := s.opts.Replica.Now()
	request := &wire.Request{Kind: &wire.Request_Probe{Probe: &wire.Probe{Member: s.opts.Replica.ID()}}}
	response, err := s.opts.Client.Call(ctx, box, request)
	if err != nil || response.GetProbe() == nil {
		return
	}
	a := response.GetProbe()
	s.mu.Lock()
	s.probes[a.Member] = probe{a.Index, sent, a.Witness, wordOf(a)}
	if a.Leader {
		s.leader = a.Member
	}
	s.mu.Unlock()
	if a.Index > s.opts.Replica.View().Index {
		select {
		case s.ahead <- newer{box, a.Index}:
		default: // another is asked already
		}
	}
}

// newer is a box that has applied more than this one had.
type newer struct {
	box   string
	index uint64
}

// learnLoop asks boxes that probes found ahead, one at a time and for as long as the answer
// is coming: 40 boxes that started asked for a state of 750 KB six times each, from all that
// had it at once (TestManyBoxesThatStartHaveALargeStateSoon).
func (s *Distributor) learnLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case n := <-s.ahead:
			if n.index > s.opts.Replica.View().Index {
				// Its news need not be fresh to be newer; after an error the next probe
				// finds it or another.
				_ = s.ask(ctx, n.box)
			}
		}
	}
}
