package consensus

import (
	"slices"
	"time"

	"leverdrum/wire"
)

// Receive handles one message. A message to another receiver is dropped: it was
// meant for an earlier incarnation (5.1).
func (n *Node) Receive(now time.Duration, m *wire.Message) {
	n.now = max(n.now, now)
	if m.To != n.opts.ID {
		return
	}
	if !n.checkTerm(m) {
		return
	}
	switch m.Type {
	case wire.MessageType_MESSAGE_PRE_VOTE:
		n.onPreVote(m)
	case wire.MessageType_MESSAGE_VOTE:
		n.onVote(m)
	case wire.MessageType_MESSAGE_PRE_VOTE_REPLY:
		n.onVoteReply(m, PreCandidate)
	case wire.MessageType_MESSAGE_VOTE_REPLY:
		n.onVoteReply(m, Candidate)
	case wire.MessageType_MESSAGE_APPEND:
		n.onAppend(m)
	case wire.MessageType_MESSAGE_SNAPSHOT:
		n.onSnapshot(m)
	case wire.MessageType_MESSAGE_APPEND_REPLY:
		n.onAppendReply(m)
	case wire.MessageType_MESSAGE_TIMEOUT_NOW:
		n.onTimeoutNow(m)
	}
}

// checkTerm compares the message's term with the node's own and reports whether
// the message is to be handled.
func (n *Node) checkTerm(m *wire.Message) bool {
	isPreVote := m.Type == wire.MessageType_MESSAGE_PRE_VOTE
	isGrant := m.Type == wire.MessageType_MESSAGE_PRE_VOTE_REPLY && !m.Reject
	isVote := m.Type == wire.MessageType_MESSAGE_VOTE
	switch {
	case m.Term > n.term:
		if isPreVote || isGrant { // (1.1)
			return true
		}
		if isVote && !m.Transfer && n.withholdsVotes() { // (1.4)
			return false
		}
		leader := ""
		if m.Type == wire.MessageType_MESSAGE_APPEND || m.Type == wire.MessageType_MESSAGE_SNAPSHOT {
			leader = m.From
		}
		n.becomeFollower(m.Term, leader)
		return true
	case m.Term < n.term:
		n.rejectStaleTerm(m)
		return false
	}
	return true
}

// rejectStaleTerm tells a sender of an old term the current term.
func (n *Node) rejectStaleTerm(m *wire.Message) {
	switch m.Type {
	case wire.MessageType_MESSAGE_APPEND, wire.MessageType_MESSAGE_SNAPSHOT:
		n.send(&wire.Message{Type: wire.MessageType_MESSAGE_APPEND_REPLY, To: m.From, Reject: true, Index: n.log.lastIndex()})
	case wire.MessageType_MESSAGE_PRE_VOTE:
		n.send(&wire.Message{Type: wire.MessageType_MESSAGE_PRE_VOTE_REPLY, To: m.From, Reject: true})
	}
}

// withholdsVotes reports whether the node must not help to elect another leader
// (1.4, 1.5). A leader that a quorum answers helps to elect none.
func (n *Node) withholdsVotes() bool {
	return n.role == Leader || n.now-n.lastLeaderContact < n.opts.ElectionMin
}

func (n *Node) becomeFollower(term uint64, leader string) {
	if term > n.term {
		n.term, n.vote = term, ""
		n.hardDirty = true
	}
	for _, r := range n.reads {
		n.out.DroppedReads = append(n.out.DroppedReads, r.token)
	}
	n.role, n.leader = Follower, leader
	n.reads, n.peers, n.votes = nil, nil, nil
	n.leaseHeld, n.transferred = false, false
	n.wantRound, n.wantAppend = false, false
	n.resetDeadline()
}

// campaign requests pre-votes, or votes at once if the leader asked for that.
func (n *Node) campaign(transfer bool) {
	n.resetDeadline()
	n.leader = ""         // (1.8)
	if !n.mayCampaign() { // (1.6)
		return
	}
	n.votes = map[string]bool{n.opts.ID: true}
	if transfer {
		n.requestVotes(true)
		return
	}
	n.role = PreCandidate
	if n.quorum(n.granted) {
		n.requestVotes(false)
		return
	}
	n.sendToVoters(&wire.Message{Type: wire.MessageType_MESSAGE_PRE_VOTE, Term: n.term + 1})
}

func (n *Node) requestVotes(transfer bool) {
	n.role = Candidate
	n.term++
	n.vote = n.opts.ID // (1.2)
	n.hardDirty = true
	n.votes = map[string]bool{n.opts.ID: true}
	if n.quorum(n.granted) {
		n.becomeLeader()
		return
	}
	n.sendToVoters(&wire.Message{Type: wire.MessageType_MESSAGE_VOTE, Term: n.term, Transfer: transfer})
}

func (n *Node) sendToVoters(m *wire.Message) {
	c := n.Config()
	ids := slices.Concat(c.Voters, c.Outgoing)
	slices.Sort(ids)
	for _, id := range slices.Compact(ids) {
		if id == n.opts.ID {
			continue
		}
		n.send(&wire.Message{Type: m.Type, To: id, Term: m.Term, Transfer: m.Transfer, Index: n.log.lastIndex(), LogTerm: n.log.lastTerm()})
	}
}

func (n *Node) granted(id string) bool { return n.votes[id] }

// upToDate reports whether a candidate's log satisfies rule 1.3.
func (n *Node) upToDate(m *wire.Message) bool {
	if m.LogTerm != n.log.lastTerm() {
		return m.LogTerm > n.log.lastTerm()
	}
	return m.Index >= n.log.lastIndex()
}

func (n *Node) onPreVote(m *wire.Message) {
	grant := m.Term > n.term && !n.withholdsVotes() && n.upToDate(m) // (1.3, 1.4)
	reply := &wire.Message{Type: wire.MessageType_MESSAGE_PRE_VOTE_REPLY, To: m.From, Reject: !grant}
	if grant {
		reply.Term = m.Term
	}
	n.send(reply)
}

func (n *Node) onVote(m *wire.Message) {
	free := n.vote == "" || n.vote == m.From
	grant := free && n.upToDate(m) && (m.Transfer || !n.withholdsVotes()) // (1.2, 1.3, 1.4)
	if grant && n.vote == "" {
		n.role, n.vote = Follower, m.From
		n.hardDirty = true
		n.resetDeadline()
	}
	n.send(&wire.Message{Type: wire.MessageType_MESSAGE_VOTE_REPLY, To: m.From, Reject: !grant})
}

func (n *Node) onVoteReply(m *wire.Message, want Role) {
	if n.role != want || m.Reject {
		return
	}
	if want == PreCandidate && m.Term != n.term+1 {
		return
	}
	n.votes[m.From] = true
	if !n.quorum(n.granted) {
		return
	}
	if want == PreCandidate {
		n.requestVotes(false)
		return
	}
	n.becomeLeader()
}

func (n *Node) becomeLeader() {
	n.role, n.leader = Leader, n.opts.ID
	n.peers = map[string]*progress{}
	n.roundSent = map[uint64]time.Duration{}
	n.leaseHeld, n.transferred = false, false
	n.leaderSince = n.now
	n.termStart = n.log.lastIndex() + 1
	n.syncPeers()
	n.append(wire.EntryKind_ENTRY_EMPTY, nil)
	n.wantRound = true
}

func (n *Node) onTimeoutNow(*wire.Message) {
	if n.role != Follower {
		return
	}
	n.campaign(true)
}

// followLeader records a message from the leader of the term.
func (n *Node) followLeader(leader string) {
	if n.role != Follower {
		n.becomeFollower(n.term, leader)
	}
	n.leader = leader
	n.lastLeaderContact = n.now
	n.resetDeadline()
}

func (n *Node) onAppend(m *wire.Message) {
	if n.role == Leader {
		return
	}
	n.followLeader(m.From)
	reply := &wire.Message{Type: wire.MessageType_MESSAGE_APPEND_REPLY, To: m.From, Round: m.Round}
	if !n.matches(m.Index, m.LogTerm) { // (2.1)
		reply.Reject = true
		reply.Index = min(n.log.lastIndex(), m.Index-1)
		n.send(reply)
		return
	}
	n.appendEntries(m.Entries)
	reply.Index = m.Index + uint64(len(m.Entries))
	n.commitTo(min(m.Commit, reply.Index))
	n.send(reply)
}

// matches reports whether the node's own log holds the entry before a message's
// entries. What a snapshot covers is committed and so the same on all nodes.
func (n *Node) matches(index, term uint64) bool {
	if index < n.log.snapshotIndex() {
		return true
	}
	return index <= n.log.lastIndex() && n.log.term(index) == term
}

func (n *Node) appendEntries(entries []*wire.Entry) {
	for _, e := range entries {
		if e.Index <= n.log.snapshotIndex() {
			continue
		}
		if e.Index <= n.log.lastIndex() {
			if n.log.term(e.Index) == e.Term {
				continue
			}
			if e.Index <= n.commit { // (2.1)
				panic("consensus: a committed entry would be truncated")
			}
			n.log.truncate(e.Index)
		}
		n.log.append(e)
		n.markUnstable(e.Index)
	}
}

func (n *Node) commitTo(index uint64) { n.commit = max(n.commit, index) }

func (n *Node) onSnapshot(m *wire.Message) {
	if n.role == Leader {
		return
	}
	n.followLeader(m.From)
	s := m.Snapshot
	if s.GetIndex() > n.commit {
		n.installSnapshot(s)
	}
	n.send(&wire.Message{Type: wire.MessageType_MESSAGE_APPEND_REPLY, To: m.From, Round: m.Round, Index: s.GetIndex()})
}

func (n *Node) installSnapshot(s *wire.Snapshot) {
	var tail []*wire.Entry
	if s.Index <= n.log.lastIndex() && n.log.term(s.Index) == s.Term {
		tail = n.log.from(s.Index + 1)
	}
	n.log.init(s, tail)
	n.commit = s.Index
	n.snapshotDirty = true
	n.unstableFrom = 0
	if len(tail) > 0 {
		n.markUnstable(s.Index + 1)
	}
}

func (n *Node) onAppendReply(m *wire.Message) {
	p := n.peers[m.From]
	if n.role != Leader || p == nil {
		return
	}
	p.lastReply = n.now
	p.round = max(p.round, m.Round)
	if m.Reject {
		n.rewindNext(m, p)
	} else if m.Index > p.match {
		p.match, p.matchRound = m.Index, m.Round
		p.next = max(p.next, m.Index+1)
		n.advanceCommit()
	}
	if n.role == Leader {
		n.confirmRounds()
	}
	if n.role == Leader && p.next <= n.log.lastIndex() {
		n.wantAppend = true
	}
}

// rewindNext resumes sending from where the follower reports that its log may still match. An answer to an earlier round than the
// one that raised match was sent before.
func (n *Node) rewindNext(m *wire.Message, p *progress) {
	if m.Index < p.match && m.Round > p.matchRound { // (2.7)
		p.match = m.Index
	}
	if m.Index+1 < p.next {
		p.next = max(p.match, m.Index) + 1
		n.wantAppend = true
	}
}

// advanceCommit commits what a quorum holds, if the newest such entry is of this term (2.2), and
// continues or ends a change of the voters (2.5, 2.6).
func (n *Node) advanceCommit() {
	index := n.quorumIndex()
	if index <= n.commit || n.log.term(index) != n.term {
		return
	}
	n.commit = index
	n.wantAppend = true
	n.wantRound = true // tells followers now, not at the next heartbeat
	n.finishChange()
}

func (n *Node) finishChange() {
	c := n.Config()
	if n.log.configIndex() > n.commit {
		return
	}
	if len(c.Outgoing) > 0 { // (2.6)
		n.appendConfig(&wire.Config{Voters: c.Voters})
		return
	}
	if !slices.Contains(c.Voters, n.opts.ID) { // (2.8)
		n.sendAppends(true)
		n.becomeFollower(n.term, "")
	}
}

// quorumIndex returns the newest index that a quorum holds.
func (n *Node) quorumIndex() uint64 {
	index := n.log.lastIndex()
	for index > n.commit && !n.quorum(func(id string) bool { return n.matchOf(id) >= index }) {
		index = n.nextLowerMatch(index)
	}
	return index
}

func (n *Node) matchOf(id string) uint64 {
	if id == n.opts.ID {
		return n.log.lastIndex()
	}
	if p := n.peers[id]; p != nil {
		return p.match
	}
	return 0
}

// nextLowerMatch returns the largest match below an index: the number of nodes
// that hold an index changes only there.
func (n *Node) nextLowerMatch(index uint64) uint64 {
	lower := n.commit
	for _, p := range n.peers {
		if p.match < index {
			lower = max(lower, p.match)
		}
	}
	return lower
}

// confirmRounds finds the newest round that a quorum answered, renews the lease
// from when it was sent (4.1) and serves the reads that waited for it (3.2).
func (n *Node) confirmRounds() {
	best := uint64(0)
	for round := range n.roundSent {
		if round > best && n.quorum(func(id string) bool { return id == n.opts.ID || n.roundOf(id) >= round }) {
			best = round
		}
	}
	if best == 0 {
		return
	}
	n.leaseFrom, n.leaseHeld = n.roundSent[best], true
	for round := range n.roundSent {
		if round < best {
			delete(n.roundSent, round)
		}
	}
	n.reads = slices.DeleteFunc(n.reads, func(r read) bool {
		if r.round > best || r.index > n.commit {
			return false
		}
		n.out.Reads = append(n.out.Reads, ReadReady{r.token, r.index})
		return true
	})
}

func (n *Node) roundOf(id string) uint64 {
	if p := n.peers[id]; p != nil {
		return p.round
	}
	return 0
}
