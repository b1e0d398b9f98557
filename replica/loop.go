package replica

import (
	"errors"
	"time"

	"google.golang.org/protobuf/proto"

	"leverdrum/consensus"
	"leverdrum/event"
	"leverdrum/state"
	"leverdrum/wal"
	"leverdrum/wire"
)

func (r *Replica) run() {
	defer close(r.done)
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	interval := tick
	for {
		idle := false
		select {
		case <-r.stop:
			return
		case <-ticker.C:
			idle = true
			r.ticks.Add(1)
		case f := <-r.events:
			f()
			r.runQueued()
		}
		if time.Now().Before(r.pausedUntil) {
			continue
		}
		r.core.Tick(r.Now())
		if err := r.processOutput(idle); err != nil {
			r.opts.Fatal(err)
			return
		}
		if next := r.tickInterval(); next != interval {
			interval = next
			ticker.Reset(interval)
		}
	}
}

// tickInterval returns the current interval between two clock ticks.
func (r *Replica) tickInterval() time.Duration {
	if r.core.NeedsTicks() {
		return tick
	}
	return idleTick
}

func (r *Replica) runQueued() {
	for range batchLength {
		select {
		case f := <-r.events:
			f()
		default:
			return
		}
	}
}

// processOutput carries out the core's output in the required order. If only the
// clock ticked and neither role nor leader changed, there is nothing to publish. A
// leader without peers sends no messages, but the clock alone renews its lease.
func (r *Replica) processOutput(idle bool) error {
	out := r.core.TakeOutput()
	if err := r.persist(&out); err != nil {
		if errors.Is(err, wal.ErrDiskFull) {
			return r.withdraw(err)
		}
		return err
	}
	for _, m := range out.Messages {
		r.opts.Send(m)
	}
	if err := r.applyTo(out.Commit); err != nil {
		return err
	}
	r.answerReads(&out)
	alone := r.core.Role() == consensus.Leader && len(r.core.Peers()) == 0
	roleChanged := r.core.Role() != r.Status().Role || r.core.Leader() != r.Status().Leader
	if !idle || alone || roleChanged || len(out.Messages) > 0 {
		r.publishStatus()
	}
	return r.compact()
}

func (r *Replica) persist(out *consensus.Output) error {
	if out.Snapshot != nil {
		return r.installSnapshot(out)
	}
	if out.HardState == nil && len(out.Entries) == 0 {
		return nil
	}
	r.trackFleetFiles(out.Entries)
	return r.opts.Storage.Append(&wire.Batch{Entries: out.Entries, HardState: out.HardState, Agreed: r.core.Commit()})
}

// trackFleetFiles records the newest fleet file among entries of the log. One that is
// truncated later counts until the applied state is past its index; this member then only
// seems to know a newer file than it does.
func (r *Replica) trackFleetFiles(entries []*wire.Entry) {
	for _, e := range entries {
		if state.IsFile(e) {
			r.newestLoggedFile = max(r.newestLoggedFile, e.Index)
		}
	}
}

// newestFleetFile returns the index of the newest fleet file in the log.
func (r *Replica) newestFleetFile() uint64 {
	if r.newestLoggedFile > r.master.Index {
		return r.newestLoggedFile
	}
	return r.master.Version.GetIndex()
}

func (r *Replica) installSnapshot(out *consensus.Output) error {
	st, err := decodeSnapshot(out.Snapshot)
	if err != nil {
		return err
	}
	hard := out.HardState
	if hard == nil {
		hard = &wire.HardState{Term: r.core.Term(), Vote: r.core.Vote()}
	}
	if err := r.opts.Storage.SaveSnapshot(out.Snapshot, hard, out.Entries); err != nil {
		return err
	}
	r.replaceState(st)
	return nil
}

// replaceState replaces the applied state by a newer one.
func (r *Replica) replaceState(st *state.State) {
	if st.Index <= r.master.Index {
		return
	}
	r.master = st
	r.recent = nil
	r.publish()
}

// withdraw stops the member until its disk has free space, and then restarts it
// from the durable state, as after a crash.
func (r *Replica) withdraw(cause error) error {
	event.DataFolderFull.Log(r.opts.Log, event.ErrorField(cause))
	r.failProposals()
	r.pausedUntil = time.Now().Add(diskFullPause)
	if err := r.opts.Storage.Reload(); err != nil {
		return err
	}
	if err := r.restore(); err != nil {
		return err
	}
	r.publishStatus()
	return nil
}

func (r *Replica) failProposals() {
	for index, p := range r.waiting {
		p.answer <- outcome{err: ErrOutcomeUnknown}
		delete(r.waiting, index)
	}
	for token, answer := range r.reads {
		answer <- ErrNotLeader
		delete(r.reads, token)
	}
}

// applyTo applies the committed entries that the state does not include yet.
func (r *Replica) applyTo(commit uint64) error {
	before := r.master.Index
	for r.master.Index < commit {
		e := r.core.Entry(r.master.Index + 1)
		if e == nil {
			return Error.New("the committed entry %d is missing", r.master.Index+1)
		}
		r.applyOne(e)
	}
	r.failStaleProposals()
	if r.master.Index > before {
		r.publish()
	}
	return nil
}

func (r *Replica) applyOne(e *wire.Entry) {
	result := r.master.Apply(e)
	if result.UnknownLevel != nil {
		r.opts.Fatal(Error.Wrap(result.UnknownLevel))
	}
	r.keepRecent(e)
	p := r.waiting[e.Index]
	if p == nil {
		return
	}
	delete(r.waiting, e.Index)
	if p.term != e.Term {
		r.applied = append(r.applied, answeredProposal{p, outcome{err: ErrOutcomeUnknown}})
		return
	}
	r.applied = append(r.applied, answeredProposal{p, outcome{result: result}})
}

// failStaleProposals fails proposals that can no longer be followed: the box is not the
// leader any more, and another leader decides their outcome.
func (r *Replica) failStaleProposals() {
	if r.core.Role() == consensus.Leader || len(r.waiting) == 0 {
		return
	}
	for index, p := range r.waiting {
		p.answer <- outcome{err: ErrOutcomeUnknown}
		delete(r.waiting, index)
	}
}

func (r *Replica) keepRecent(e *wire.Entry) {
	r.recent = append(r.recent, e)
	if len(r.recent) >= 2*recentLength {
		r.recent = append([]*wire.Entry(nil), r.recent[recentLength:]...)
	}
}

func (r *Replica) answerReads(out *consensus.Output) {
	for _, ready := range out.Reads {
		if answer := r.reads[ready.Token]; answer != nil {
			delete(r.reads, ready.Token)
			answer <- nil
		}
	}
	for _, token := range out.DroppedReads {
		if answer := r.reads[token]; answer != nil {
			delete(r.reads, token)
			answer <- ErrNotLeader
		}
	}
}

// publish makes the new state visible to readers and wakes those that wait for it.
// Proposers are answered only then: they must not act on a state without their command.
func (r *Replica) publish() {
	r.view.Store(r.master.Clone())
	next := make(chan struct{})
	close(*r.changed.Swap(&next))
	for _, a := range r.applied {
		a.proposal.answer <- a.outcome
	}
	r.applied = nil
}

func (r *Replica) publishStatus() {
	now := r.Now()
	s := &Status{
		Role: r.core.Role(), Term: r.core.Term(), Leader: r.core.Leader(), Commit: r.core.Commit(), Established: r.core.Established(),
		LogPosition: r.core.LogPosition(), NewestFile: r.newestFleetFile(),
	}
	s.Voters, s.Settled = r.core.NeededVoters()
	if age, held := r.core.LeaseAge(now); held && s.Established {
		s.LeaseStart, s.LeaseHeld, s.Alone = now-age, true, r.core.LeadsAlone()
	}
	if s.Role == consensus.Leader {
		s.LastSeen, s.CaughtUp = map[string]time.Duration{}, map[string]bool{}
		for _, id := range r.core.Peers() {
			ago, holds := r.core.PeerStatus(id)
			s.LastSeen[id], s.CaughtUp[id] = now-ago, holds
		}
	}
	r.status.Store(s)
}

func (r *Replica) compact() error {
	if r.core.LogLength() < r.opts.CompactAfter || r.core.Commit() != r.master.Index {
		return nil
	}
	data, err := proto.Marshal(r.master.Encode())
	if err != nil {
		return Error.Wrap(err)
	}
	snapshot, err := r.core.Compact(r.master.Index, data)
	if err != nil {
		return nil // nothing new to compact
	}
	hard := &wire.HardState{Term: r.core.Term(), Vote: r.core.Vote()}
	err = r.opts.Storage.SaveSnapshot(snapshot, hard, r.core.Tail())
	if errors.Is(err, wal.ErrDiskFull) {
		return r.withdraw(err)
	}
	return err
}
