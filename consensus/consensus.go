// Package consensus is the deterministic core of the replicated log.
//
// A Node takes events (the clock, a message, a proposal) and collects effects
// (records to persist, messages to send, entries that are agreed). It does no
// I/O, starts no goroutine and reads no clock, so that a test can drive it
// through any order of failures. The algorithm is Raft (Ongaro, "Consensus:
// Bridging Theory and Practice", 2014) with pre-vote, check-quorum, joint
// changes of the voters, and a lease.
//
// The rules, cited by number in the code:
//
//  1. Terms and votes.
//     1.1 A message of a later term makes a follower of that term, except a
//     pre-vote request, which binds nobody.
//     1.2 A node votes at most once a term, and its vote is persisted before
//     the reply leaves.
//     1.3 A vote goes only to a log at least as long and as new as one's own.
//     1.4 A node that heard from a leader within ElectionMin grants no vote,
//     unless the leader itself asked for the election.
//     1.5 A node that has just started counts as having heard from a leader:
//     it cannot know what it promised before it stopped.
//     1.6 Only a voter of its own newest configuration campaigns, or of the one
//     before while the newest may not be agreed: its log may be the only one
//     that can win then. It asks first whether it would win (pre-vote).
//     1.7 A leader that has not heard from a quorum for ElectionMin steps down.
//     1.8 A node that hears no leader for longer than it would wait before a campaign knows of none,
//     whether it may campaign or not: one that does not vote any more hears of no change.
//  2. The log.
//     2.1 Entries are taken only behind an entry of equal index and term; a
//     conflicting tail is dropped; what is agreed is never dropped.
//     2.2 An entry is agreed once a quorum holds it and it, or one behind it,
//     is of the leader's own term.
//     2.3 An entry is agreed, too, once a majority of the voters is known to hold it,
//     each of them in the term that it was made in and with no entry of a later term.
//     No leader of a later term can have been elected without one of them by then, nor
//     can one be later that lacks the entry (1.3). So members that all came back at
//     once know what is agreed before one of them leads.
//     2.4 A configuration counts from the moment it stands in the log.
//     2.5 A leader starts a change only after an entry of its own term is
//     agreed, and only when no other change is under way.
//     2.6 A change goes through a joint configuration, in which the old and
//     the new voters must both agree; the leader ends it once it is agreed.
//     2.7 A leader that is no voter any more steps down when that is agreed.
//  3. Linearizable reads.
//     3.1 A leader serves none before an entry of its own term is agreed.
//     3.2 A read is served at the index agreed on its arrival, once a round
//     of messages that began after its arrival was answered by a quorum.
//  4. The lease.
//     4.1 It is measured from before the round was sent.
//     4.2 It is shorter than ElectionMin, so that by 1.4 and 1.5 no other
//     leader can be elected while it holds.
//     4.3 It ends when the leader asks another to take over. If nobody does
//     within ElectionMin, the leader steps down rather than take the lease up
//     again: its request may still arrive.
//  5. Identity.
//     5.1 A node is one incarnation of a box. One that lost its state comes
//     back under another incarnation, which has no vote until it is added.
package consensus

import (
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"leverdrum/wire"
)

// Role is what a node does in its term.
type Role int

// The roles.
const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

var roleNames = [...]string{"follower", "pre-candidate", "candidate", "leader"}

// String returns the role's name as it stands in logs.
func (r Role) String() string { return roleNames[r] }

// Options are a node's timings. All durations are on one monotonic clock.
type Options struct {
	// ID is the member's id, see MemberID.
	ID string
	// ElectionMin is the least time without a leader before a campaign; each
	// wait is drawn between it and twice of it.
	ElectionMin time.Duration
	// Heartbeat is the time between two rounds of a leader.
	Heartbeat time.Duration
	// Lease is how long a round that a quorum answered entitles its sender to
	// act as the only leader. It must be shorter than ElectionMin (4.2).
	Lease time.Duration
	// Seed makes the draws of waits repeatable.
	Seed uint64
	// Committed is an index that was known to be agreed before the node stopped.
	Committed uint64
}

// maxAppendBytes bounds the entries of one message.
const maxAppendBytes = 1 << 20

// progress is what a leader knows of one other node.
type progress struct {
	match, next uint64
	round       uint64        // newest round that it answered
	heard       time.Duration // when it last answered
}

// read waits for its round (3.2).
type read struct {
	token uint64
	index uint64
	round uint64
}

// ReadReady says that a read may be served from a state that has applied Index.
type ReadReady struct {
	Token uint64
	Index uint64
}

// Output is what the caller of a Node has to do, in this order: persist
// Snapshot, Hard and Entries; send Messages; apply up to Commit; serve Reads.
type Output struct {
	// Snapshot replaces the whole log and state when set.
	Snapshot *wire.Snapshot
	// HardState is the term and vote, set when they changed.
	HardState *wire.HardState
	// Entries replace the log from the index of the first on.
	Entries []*wire.Entry
	// Messages go out only after all of the above is durable.
	Messages []*wire.Message
	// Commit is the newest agreed index.
	Commit uint64
	// Reads may be answered once Commit is applied.
	Reads []ReadReady
	// DroppedReads were asked of a node that is no leader any more.
	DroppedReads []uint64
}

// Node is one member's view of the log. It is not safe for concurrent use.
type Node struct {
	opts Options
	rng  *rand.Rand
	now  time.Duration

	term   uint64
	vote   string
	log    log
	commit uint64

	role          Role
	leader        string
	deadline      time.Duration // of a campaign, or of a leader's next round
	heardLeader   time.Duration
	transferred   bool // the leader asked another to take over
	transferEnds  time.Duration
	votes         map[string]bool
	peers         map[string]*progress
	learners      map[string]bool
	round         uint64
	roundSent     map[uint64]time.Duration
	leaseFrom     time.Duration
	leaseHeld     bool
	ledSince      time.Duration
	termStart     uint64 // index of the first entry of the own term
	reads         []read
	wantRound     bool
	wantAppend    bool
	out           Output
	unstableFrom  uint64
	hardDirty     bool
	snapshotDirty bool
}

// New returns a follower with the state that a store held, which may be empty.
func New(opts Options, now time.Duration, hard *wire.HardState, snapshot *wire.Snapshot, entries []*wire.Entry) *Node {
	n := &Node{
		opts:     opts,
		rng:      rand.New(rand.NewPCG(opts.Seed, hashID(opts.ID))),
		now:      now,
		term:     hard.GetTerm(),
		vote:     hard.GetVote(),
		learners: map[string]bool{},
	}
	n.log.init(snapshot, entries)
	n.commit = max(n.log.snapshotIndex(), min(opts.Committed, n.log.lastIndex()))
	n.heardLeader = now // (1.5)
	n.resetDeadline()
	return n
}

// hashID spreads the draws of members that share a seed.
func hashID(id string) uint64 {
	h := uint64(14695981039346656037)
	for _, c := range []byte(id) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h
}

// ID returns the member's id.
func (n *Node) ID() string { return n.opts.ID }

// Role returns what the node does now.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// Leader returns the member that leads the term as far as is known, or "".
func (n *Node) Leader() string { return n.leader }

// Commit returns the newest agreed index.
func (n *Node) Commit() uint64 { return n.commit }

// MarkCommitted takes it that entries up to an index are agreed, because a majority of the voters
// was seen to hold them in a term (2.3). It does nothing when this node is in another term
// by now, or its own log ends in another one or earlier.
func (n *Node) MarkCommitted(index, term uint64) {
	if n.term != term || n.log.lastTerm() != term || index > n.log.lastIndex() {
		return
	}
	n.commit = max(n.commit, index)
}

// LastIndex returns the index of the newest entry, agreed or not.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// Config returns the newest configuration in the log (2.4).
func (n *Node) Config() *wire.Config { return n.log.config() }

// LogLength returns the count of entries behind the snapshot.
func (n *Node) LogLength() int { return len(n.log.entries) }

// Snapshot returns the newest snapshot, nil when there is none.
func (n *Node) Snapshot() *wire.Snapshot { return n.log.snapshot }

// LeaseAge returns how long ago the round was sent that a quorum answered last
// (4.1), and whether the lease still holds at now (4.2).
func (n *Node) LeaseAge(now time.Duration) (time.Duration, bool) {
	if n.role != Leader || !n.leaseHeld || n.transferred {
		return 0, false
	}
	age := now - n.leaseFrom
	return age, age < n.opts.Lease
}

// Established reports whether an entry of the leader's own term is agreed.
func (n *Node) Established() bool { return n.role == Leader && n.commit >= n.termStart }

// PeerStatus returns how long ago the leader heard from a peer, and whether the
// peer holds everything that is agreed.
func (n *Node) PeerStatus(id string) (ago time.Duration, holdsAll bool) {
	if id == n.opts.ID {
		return 0, true
	}
	p := n.peers[id]
	if p == nil {
		return n.now - n.ledSince, false
	}
	return n.now - p.heard, p.match >= n.commit
}

// NeedsTicks reports whether something will soon happen here with the time alone. To a member that
// does not vote nothing does, but that it forgets its leader (1.8), which has time.
func (n *Node) NeedsTicks() bool { return n.role == Leader || n.mayCampaign() }

// Tick tells the time. It must not go back.
func (n *Node) Tick(now time.Duration) {
	n.now = max(n.now, now)
	if n.role == Leader {
		n.tickLeader()
		return
	}
	if n.now >= n.deadline {
		n.campaign(false)
	}
}

func (n *Node) tickLeader() {
	late := n.transferred && n.now >= n.transferEnds // (4.3)
	if late || !n.quorum(n.recentlyHeard) {          // (1.7)
		n.becomeFollower(n.term, "")
		return
	}
	if n.now >= n.deadline {
		n.wantRound = true
	}
}

func (n *Node) recentlyHeard(id string) bool {
	if id == n.opts.ID {
		return true
	}
	p := n.peers[id]
	return p != nil && n.now-p.heard < n.opts.ElectionMin
}

// Propose appends data to the log of a leader and returns where it will stand
// once agreed. The entry under that index may turn out to be another one, when
// the term differs.
func (n *Node) Propose(data []byte) (index, term uint64, err error) {
	if n.role != Leader || n.transferred {
		return 0, 0, ErrNotLeader
	}
	e := n.append(wire.EntryKind_ENTRY_COMMAND, data)
	return e.Index, e.Term, nil
}

// Read asks for a linearizable read; the token comes back in Output.Reads.
func (n *Node) Read(token uint64) error {
	if !n.Established() || n.transferred { // (3.1)
		return ErrNotLeader
	}
	n.reads = append(n.reads, read{token: token, index: n.commit, round: n.round + 1}) // (3.2)
	n.wantRound = true
	return nil
}

// NeededVoters returns the voters. While a change is under way (settled is false)
// they are all whose votes may still be needed: those of the agreed configuration
// and of the newer ones in the log. A voter counts as replaced only when it is not
// among them any more.
func (n *Node) NeededVoters() (voters []string, settled bool) {
	agreed := n.log.configAt(n.commit)
	newer := n.log.configsBehind(n.commit)
	needed := map[string]bool{}
	for _, c := range append(newer, agreed) {
		for _, id := range slices.Concat(c.GetVoters(), c.GetOutgoing()) {
			needed[id] = true
		}
	}
	return sortedKeys(needed), len(newer) == 0 && len(agreed.GetOutgoing()) == 0
}

// ChangeVoters starts a change to the given voters.
func (n *Node) ChangeVoters(voters []string) error {
	if !n.Established() || n.transferred { // (2.5)
		return ErrNotLeader
	}
	if _, settled := n.NeededVoters(); !settled { // (2.5)
		return ErrChangeInProgress
	}
	if len(voters) == 0 {
		return ErrNoVoters
	}
	joint := &wire.Config{Voters: slices.Clone(voters), Outgoing: slices.Clone(n.Config().Voters)} // (2.6)
	slices.Sort(joint.Voters)
	n.appendConfig(joint)
	return nil
}

// AddLearner makes a leader send the log to a member that has no vote.
func (n *Node) AddLearner(id string) {
	n.learners[id] = true
	n.syncPeers()
}

// RemoveLearner ends what Learn began.
func (n *Node) RemoveLearner(id string) {
	delete(n.learners, id)
	n.syncPeers()
}

// Transfer asks the most advanced other voter to take over. It reports false
// when there is none.
func (n *Node) Transfer() bool {
	if n.role != Leader || n.transferred {
		return false
	}
	best := ""
	for _, id := range n.Config().Voters {
		p := n.peers[id]
		if p == nil || !n.recentlyHeard(id) || p.match < n.commit {
			continue
		}
		if best == "" || p.match > n.peers[best].match {
			best = id
		}
	}
	if best == "" {
		return false
	}
	n.transferred, n.transferEnds = true, n.now+n.opts.ElectionMin // (4.3)
	n.send(&wire.Message{Type: wire.MessageType_MESSAGE_TIMEOUT_NOW, To: best})
	return true
}

// Compact replaces the agreed log up to index by the state that applied it.
// The tail of keep entries stays, so that a slow follower needs no snapshot.
func (n *Node) Compact(index uint64, state []byte) (*wire.Snapshot, error) {
	if index > n.commit || index <= n.log.snapshotIndex() {
		return nil, ErrCompactRange
	}
	n.log.compact(index, state)
	return n.log.snapshot, nil
}

// append puts an entry of the own term behind the log.
func (n *Node) append(kind wire.EntryKind, data []byte) *wire.Entry {
	e := &wire.Entry{Index: n.log.lastIndex() + 1, Term: n.term, Kind: kind, Data: data}
	n.log.append(e)
	n.markUnstable(e.Index)
	n.wantAppend = true
	n.advanceCommit()
	return e
}

func (n *Node) appendConfig(c *wire.Config) {
	data, err := proto.Marshal(c)
	if err != nil {
		panic("consensus: a configuration cannot be encoded: " + err.Error())
	}
	n.append(wire.EntryKind_ENTRY_CONFIG, data)
	n.syncPeers()
}

func (n *Node) markUnstable(index uint64) {
	if n.unstableFrom == 0 || index < n.unstableFrom {
		n.unstableFrom = index
	}
}

func (n *Node) send(m *wire.Message) {
	m.From = n.opts.ID
	if m.Term == 0 {
		m.Term = n.term
	}
	n.out.Messages = append(n.out.Messages, m)
}

func (n *Node) resetDeadline() {
	n.deadline = n.now + n.opts.ElectionMin + time.Duration(n.rng.Int64N(int64(n.opts.ElectionMin)))
}

// syncPeers makes the leader's list of receivers match voters and learners.
func (n *Node) syncPeers() {
	if n.role != Leader {
		return
	}
	want := map[string]bool{}
	for id := range n.learners {
		want[id] = true
	}
	for _, id := range n.Config().Voters {
		want[id] = true
	}
	for _, id := range n.Config().Outgoing {
		want[id] = true
	}
	delete(want, n.opts.ID)
	for id := range n.peers {
		if !want[id] {
			delete(n.peers, id)
		}
	}
	for id := range want {
		if n.peers[id] == nil {
			n.peers[id] = &progress{next: n.log.lastIndex() + 1, heard: n.now}
		}
	}
}

// quorum reports whether ok holds for a majority of the voters, and of the
// outgoing voters too while a change is under way (2.6).
func (n *Node) quorum(ok func(id string) bool) bool {
	c := n.Config()
	return majority(c.Voters, ok) && (len(c.Outgoing) == 0 || majority(c.Outgoing, ok))
}

func majority(voters []string, ok func(id string) bool) bool {
	count := 0
	for _, id := range voters {
		if ok(id) {
			count++
		}
	}
	return count > len(voters)/2
}

// mayCampaign is rule 1.6.
func (n *Node) mayCampaign() bool {
	if isVoter(n.Config(), n.opts.ID) {
		return true
	}
	index := n.log.configIndex()
	return index > n.commit && isVoter(n.log.configAt(index-1), n.opts.ID)
}

func isVoter(c *wire.Config, id string) bool {
	return slices.Contains(c.Voters, id) || slices.Contains(c.Outgoing, id)
}

// Vote returns whom the node voted for in its term, "" when for nobody.
func (n *Node) Vote() string { return n.vote }

// Entry returns the entry at an index behind the snapshot, nil when the log
// does not hold it.
func (n *Node) Entry(index uint64) *wire.Entry {
	if index <= n.log.snapshotIndex() || index > n.log.lastIndex() {
		return nil
	}
	return n.log.at(index)
}

// Tail returns all entries behind the snapshot.
func (n *Node) Tail() []*wire.Entry { return n.log.entries }

// Peers returns the ids of those that a leader sends to.
func (n *Node) Peers() []string { return sortedKeys(n.peers) }
