// Package consensus is the deterministic core of the replicated log.
//
// A Node takes events (the clock, a message, a proposal) and collects effects
// (records to persist, messages to send, committed entries). It does no I/O,
// starts no goroutine and reads no clock, so that a test can drive it through
// any order of failures. The algorithm is Raft (Ongaro, "Consensus: Bridging
// Theory and Practice", 2014) with pre-vote, check-quorum, joint consensus for
// voter changes, and a leader lease.
//
// The rules, cited by number in the code:
//
//  1. Terms and votes.
//     1.1 A message of a later term makes the receiver a follower of that term,
//     except a pre-vote request, which changes no state.
//     1.2 A node votes at most once per term, and its vote is persisted before
//     the reply is sent.
//     1.3 A vote is granted only to a candidate whose log is at least as up to
//     date as the voter's own.
//     1.4 A node that received a message from a leader within ElectionMin grants
//     no vote, unless the leader itself asked for the election.
//     1.5 A node that has just started counts as having received one from a
//     leader: it does not know what it promised before it stopped.
//     1.6 Only a voter of the newest configuration in its own log campaigns, or
//     of the one before while the newest may be uncommitted: its log may then be
//     the only one that can win. It first asks whether it would win (pre-vote).
//     1.7 A leader that has not received replies from a quorum for ElectionMin
//     steps down.
//     1.8 A node that receives nothing from a leader for longer than its election
//     timeout knows of no leader, whether it may campaign or not: a node that is
//     no longer a voter is not notified of a leader change.
//  2. The log.
//     2.1 Entries are accepted only after an entry of equal index and term; a
//     conflicting tail is truncated; a committed entry is never truncated.
//     2.2 An entry is committed once a quorum holds it and it, or an entry after
//     it, is of the leader's own term.
//     2.3 An entry is also committed once a majority of the voters is known to
//     hold it, each of them in the term in which it was created and with no entry
//     of a later term. No leader of a later term can have been elected without one
//     of them by then, nor can a later leader miss the entry (1.3). Members that
//     all restarted at once thus know what is committed before one of them leads.
//     2.4 A configuration is in force as soon as it is in the log.
//     2.5 A leader starts a change only after an entry of its own term is
//     committed, and only when no other change is in progress.
//     2.6 A change uses a joint configuration, in which majorities of both the old
//     and the new voters are required; the leader ends it once it is committed.
//     2.7 A leader sends from what a node reports to have, also if that is less than
//     the node has acknowledged: it has lost the rest, and does not count for it
//     any more.
//     2.8 A leader that is no longer a voter steps down when that is committed.
//  3. Linearizable reads.
//     3.1 A leader serves none before an entry of its own term is committed.
//     3.2 A read is served at the end that the log had on its arrival, once that is
//     committed and a quorum has answered a round of messages that began after its
//     arrival. Other members may have proved more to be committed (2.3) than the
//     leader knows of, but not more than its log has.
//  4. The lease.
//     4.1 It starts before the round is sent.
//     4.2 It is shorter than ElectionMin, so that by 1.4 and 1.5 no other
//     leader can be elected while it is held.
//     4.3 It ends when the leader asks another voter to take over. If none does
//     within ElectionMin, the leader steps down instead of resuming the lease:
//     its request may still arrive.
//  5. Identity.
//     5.1 A node is one incarnation of a box. A box that lost its state returns
//     under another incarnation, which has no vote until it is added.
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

const (
	Follower Role = iota
	PreCandidate
	Candidate
	Leader
)

var roleNames = [...]string{"follower", "pre-candidate", "candidate", "leader"}

// String returns the role's name as used in logs.
func (r Role) String() string { return roleNames[r] }

// Options configure a Node. All durations are on one monotonic clock.
type Options struct {
	// ID is the member's id, see MemberID.
	ID string
	// ElectionMin is the minimum election timeout; each timeout is drawn
	// between ElectionMin and twice ElectionMin.
	ElectionMin time.Duration
	// Heartbeat is the interval between two rounds of a leader.
	Heartbeat time.Duration
	// Lease is how long after a round that a quorum answered its sender may
	// act as the only leader. It must be shorter than ElectionMin (4.2).
	Lease time.Duration
	// Seed makes the election timeouts reproducible.
	Seed uint64
	// Committed is an index known to be committed before the node stopped.
	Committed uint64
}

// maxAppendBytes bounds the entries of one message.
const maxAppendBytes = 1 << 20

// progress is a leader's replication state for one other node.
type progress struct {
	match, next uint64
	matchRound  uint64        // the round whose answer raised match last
	round       uint64        // newest round that the node answered
	lastReply   time.Duration // when the node last answered
}

// read is a pending linearizable read, which waits for its round (3.2).
type read struct {
	token uint64
	index uint64
	round uint64
}

// ReadReady reports that a read may be served from a state that has applied Index.
type ReadReady struct {
	Token uint64
	Index uint64
}

// Output lists what the caller of a Node must do, in this order: persist
// Snapshot, HardState and Entries; send Messages; apply up to Commit; serve Reads.
type Output struct {
	// Snapshot, if set, replaces the whole log and state.
	Snapshot *wire.Snapshot
	// HardState is the term and vote; it is set if they changed.
	HardState *wire.HardState
	// Entries replace the log from the index of the first entry on.
	Entries []*wire.Entry
	// Messages may be sent only after all of the above is durable.
	Messages []*wire.Message
	// Commit is the newest committed index.
	Commit uint64
	// Reads may be served once Commit is applied.
	Reads []ReadReady
	// DroppedReads are the tokens of reads that failed because the node is no
	// longer the leader.
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

	role              Role
	leader            string
	deadline          time.Duration // of the election timeout, or of a leader's next round
	lastLeaderContact time.Duration
	transferred       bool // the leader asked another voter to take over
	transferEnds      time.Duration
	votes             map[string]bool
	peers             map[string]*progress
	learners          map[string]bool
	round             uint64
	roundSent         map[uint64]time.Duration
	leaseFrom         time.Duration
	leaseHeld         bool
	leaderSince       time.Duration
	termStart         uint64 // index of the first entry of the leader's own term
	reads             []read
	wantRound         bool
	wantAppend        bool
	out               Output
	unstableFrom      uint64
	hardDirty         bool
	snapshotDirty     bool
}

// New returns a follower with the stored state, which may be empty.
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
	n.lastLeaderContact = now // (1.5)
	n.resetDeadline()
	return n
}

// hashID makes the election timeouts of members that share a seed differ.
func hashID(id string) uint64 {
	h := uint64(14695981039346656037)
	for _, c := range []byte(id) {
		h = (h ^ uint64(c)) * 1099511628211
	}
	return h
}

// ID returns the member's id.
func (n *Node) ID() string { return n.opts.ID }

// Role returns the node's current role.
func (n *Node) Role() Role { return n.role }

// Term returns the current term.
func (n *Node) Term() uint64 { return n.term }

// Leader returns the leader of the current term, or "" if it is not known.
func (n *Node) Leader() string { return n.leader }

// Commit returns the newest committed index.
func (n *Node) Commit() uint64 { return n.commit }

// MarkCommitted marks the entries up to an index as committed, because a majority of the
// voters is known to hold them in a term (2.3). It does nothing if this node is in another
// term by now, or if its own log ends in another term or before the index.
func (n *Node) MarkCommitted(index, term uint64) {
	if n.term != term || n.log.lastTerm() != term || index > n.log.lastIndex() {
		return
	}
	n.commit = max(n.commit, index)
}

// LastIndex returns the index of the newest entry, committed or not.
func (n *Node) LastIndex() uint64 { return n.log.lastIndex() }

// Config returns the newest configuration in the log (2.4).
func (n *Node) Config() *wire.Config { return n.log.config() }

// LogLength returns the number of entries after the snapshot.
func (n *Node) LogLength() int { return len(n.log.entries) }

// Snapshot returns the newest snapshot, or nil if there is none.
func (n *Node) Snapshot() *wire.Snapshot { return n.log.snapshot }

// LeaseAge returns how long ago the newest round that a quorum answered was sent
// (4.1), and whether the lease is still held at now (4.2).
func (n *Node) LeaseAge(now time.Duration) (time.Duration, bool) {
	if n.role != Leader || !n.leaseHeld || n.transferred {
		return 0, false
	}
	age := now - n.leaseFrom
	return age, age < n.opts.Lease
}

// LeadsAlone reports whether this node leads and no configuration in its log, committed or not, has another voter. No other node
// can then be elected, whether this one runs or not.
func (n *Node) LeadsAlone() bool {
	voters, _ := n.NeededVoters()
	return n.role == Leader && len(voters) == 1 && voters[0] == n.opts.ID
}

// Established reports whether this node leads and an entry of its own term is
// committed.
func (n *Node) Established() bool { return n.role == Leader && n.commit >= n.termStart }

// PeerStatus returns how long ago a peer last answered the leader, and
// whether it holds all committed entries.
func (n *Node) PeerStatus(id string) (ago time.Duration, holdsAll bool) {
	if id == n.opts.ID {
		return 0, true
	}
	p := n.peers[id]
	if p == nil {
		return n.now - n.leaderSince, false
	}
	return n.now - p.lastReply, p.match >= n.commit
}

// NeedsTicks reports whether the passing of time alone may soon cause an event. For a
// member that does not vote it only makes it forget its leader (1.8), which is not urgent.
func (n *Node) NeedsTicks() bool { return n.role == Leader || n.mayCampaign() }

// Tick sets the time, which must not go back.
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
	if late || !n.quorum(n.recentlyActive) {         // (1.7)
		n.becomeFollower(n.term, "")
		return
	}
	if n.now >= n.deadline {
		n.wantRound = true
	}
}

func (n *Node) recentlyActive(id string) bool {
	if id == n.opts.ID {
		return true
	}
	p := n.peers[id]
	return p != nil && n.now-p.lastReply < n.opts.ElectionMin
}

// Propose appends data to the log of a leader and returns its index and
// term. If the entry that is committed at that index has another term, it is
// another entry.
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
	n.reads = append(n.reads, read{token: token, index: n.log.lastIndex(), round: n.round + 1}) // (3.2)
	n.wantRound = true
	return nil
}

// NeededVoters returns the voters. While a change is in progress (settled is false)
// these are all whose votes may still be needed: those of the committed configuration
// and of the newer ones in the log. A voter counts as replaced only once it is no
// longer among them.
func (n *Node) NeededVoters() (voters []string, settled bool) {
	committed := n.log.configAt(n.commit)
	newer := n.log.configsAfter(n.commit)
	needed := map[string]bool{}
	for _, c := range append(newer, committed) {
		for _, id := range slices.Concat(c.GetVoters(), c.GetOutgoing()) {
			needed[id] = true
		}
	}
	return sortedKeys(needed), len(newer) == 0 && len(committed.GetOutgoing()) == 0
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

// AddLearner makes a leader replicate the log to a member that has no vote.
func (n *Node) AddLearner(id string) {
	n.learners[id] = true
	n.syncPeers()
}

// RemoveLearner ends the replication that AddLearner began.
func (n *Node) RemoveLearner(id string) {
	delete(n.learners, id)
	n.syncPeers()
}

// Transfer asks the most advanced other voter to take over. It reports false
// if there is none.
func (n *Node) Transfer() bool {
	if n.role != Leader || n.transferred {
		return false
	}
	best := ""
	for _, id := range n.Config().Voters {
		p := n.peers[id]
		if p == nil || !n.recentlyActive(id) || p.match < n.commit {
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

// Compact replaces the committed log up to index by the state that results from
// applying it. The entries after index stay.
func (n *Node) Compact(index uint64, state []byte) (*wire.Snapshot, error) {
	if index > n.commit || index <= n.log.snapshotIndex() {
		return nil, ErrCompactRange
	}
	n.log.compact(index, state)
	return n.log.snapshot, nil
}

// append appends an entry of the current term to the log.
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
		panic("consensus: cannot encode a configuration: " + err.Error())
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

// syncPeers makes the leader's peers match the voters and learners.
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
			n.peers[id] = &progress{next: n.log.lastIndex() + 1, lastReply: n.now}
		}
	}
}

// quorum reports whether ok holds for a majority of the voters, and of the
// outgoing voters too while a change is in progress (2.6).
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

// mayCampaign reports whether rule 1.6 lets the node campaign.
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

// Vote returns the member that the node voted for in its term, or "" if none.
func (n *Node) Vote() string { return n.vote }

// Entry returns the entry at an index after the snapshot, or nil if the log
// does not hold it.
func (n *Node) Entry(index uint64) *wire.Entry {
	if index <= n.log.snapshotIndex() || index > n.log.lastIndex() {
		return nil
	}
	return n.log.at(index)
}

// Tail returns all entries after the snapshot.
func (n *Node) Tail() []*wire.Entry { return n.log.entries }

// Peers returns the ids of the members that a leader sends to.
func (n *Node) Peers() []string { return sortedKeys(n.peers) }
