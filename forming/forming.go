// Package forming lets the first members of a cluster agree on its ID and its first voters.
//
// The agreement is single-decree Paxos (Lamport, "Paxos Made Simple", 2001). The package does no I/O except to save the record of
// an acceptor, starts no goroutine and reads no clock, so that a test can drive it through any order of failures.
//
// Rules:
//
//  1. Any first member may propose. A proposal's ballot orders it among all proposals: by number, then by box.
//  2. A member saves what it promises and accepts before it answers. It takes part only with the record that it made at the first
//     start: a box that lost its disk may have promised something that it no longer knows.
//  3. A member answers no proposal with a lower ballot than the one that it promised.
//  4. A proposal needs the promises of a quorum, and then its acceptances. Any two quorums have a member in common: a majority,
//     or all members where one that lost its disk cannot be told from a new one.
//  5. A proposal whose promises name accepted values continues the one with the highest ballot, which may have been agreed on.
//     Otherwise the voters are the members that promised.
//  6. Members with different lists of first members do not answer each other: their quorums might have no member in common.
package forming

import (
	"cmp"
	"errors"
	"slices"

	"google.golang.org/protobuf/proto"

	"leverdrum/wire"
)

// ErrFirstMembers is returned for a proposal of a box whose settings name other first members (6).
var ErrFirstMembers = errors.New("the other box has other first members in its settings")

// Acceptor answers proposals. It is not safe for concurrent use.
type Acceptor struct {
	member string // ID
	record *wire.Forming
	save   func(*wire.Forming) error
}

// NewAcceptor returns the acceptor of a member with its record, which save stores durably.
func NewAcceptor(member string, record *wire.Forming, save func(*wire.Forming) error) *Acceptor {
	return &Acceptor{member, record, save}
}

// FirstMembers returns the names of the first members.
func (a *Acceptor) FirstMembers() []string { return a.record.FirstMembers }

// Promised returns the highest ballot that the member promised, nil if there is none.
func (a *Acceptor) Promised() *wire.Ballot { return a.record.Promised }

// Founding returns the value that the member accepted last, nil if there is none.
func (a *Acceptor) Founding() *wire.Founding { return a.record.Founding }

// Answer answers a step of a proposal. The error is ErrFirstMembers or that of saving the record.
func (a *Acceptor) Answer(f *wire.Form) (*wire.FormAnswer, error) {
	if !slices.Equal(f.FirstMembers, a.record.FirstMembers) {
		return nil, ErrFirstMembers
	}
	answer := &wire.FormAnswer{Member: a.member, Promised: a.record.Promised, Accepted: a.record.Accepted, Founding: a.record.Founding}
	if Compare(f.Ballot, a.record.Promised) < 0 { // (3)
		return answer, nil
	}
	next := proto.CloneOf(a.record)
	next.Promised = f.Ballot
	if f.Step == wire.FormStep_FORM_ACCEPT {
		next.Accepted, next.Founding = f.Ballot, f.Founding
	}
	if err := a.save(next); err != nil { // (2)
		return nil, err
	}
	a.record, answer.Granted = next, true
	return answer, nil
}

// Compare orders ballots. Nil is the lowest.
func Compare(a, b *wire.Ballot) int {
	return cmp.Or(cmp.Compare(a.GetNumber(), b.GetNumber()), cmp.Compare(a.GetBox(), b.GetBox()))
}

// Proposal collects the answers to one proposal.
type Proposal struct {
	ballot   *wire.Ballot
	members  []string                    // boxes
	promises map[string]*wire.FormAnswer // by box
	accepted map[string]bool             // by box
}

// NewProposal returns a proposal of a box to the first members.
func NewProposal(ballot *wire.Ballot, firstMembers []string) *Proposal {
	return &Proposal{ballot, firstMembers, map[string]*wire.FormAnswer{}, map[string]bool{}}
}

// Ballot returns the ballot of the proposal.
func (p *Proposal) Ballot() *wire.Ballot { return p.ballot }

// Prepare returns the first step.
func (p *Proposal) Prepare() *wire.Form {
	return &wire.Form{Step: wire.FormStep_FORM_PREPARE, Ballot: p.ballot, FirstMembers: p.members}
}

// AddPromise records a box's answer to the first step.
func (p *Proposal) AddPromise(box string, a *wire.FormAnswer) {
	if a.GetGranted() {
		p.promises[box] = a
	}
}

// Founding returns the value to propose, with the given ID for a new cluster; nil without the promises of a quorum of that many
// members (5).
func (p *Proposal) Founding(quorum int, clusterID string) *wire.Founding {
	if len(p.promises) < quorum {
		return nil
	}
	var highest *wire.FormAnswer
	var voters []string
	for _, a := range p.promises {
		voters = append(voters, a.Member)
		if a.Founding != nil && (highest == nil || Compare(a.Accepted, highest.Accepted) > 0) {
			highest = a
		}
	}
	if highest != nil {
		return highest.Founding
	}
	slices.Sort(voters)
	return &wire.Founding{ClusterId: clusterID, Voters: voters}
}

// Accept returns the second step.
func (p *Proposal) Accept(f *wire.Founding) *wire.Form {
	return &wire.Form{Step: wire.FormStep_FORM_ACCEPT, Ballot: p.ballot, Founding: f, FirstMembers: p.members}
}

// AddAcceptance records a box's answer to the second step.
func (p *Proposal) AddAcceptance(box string, a *wire.FormAnswer) {
	if a.GetGranted() {
		p.accepted[box] = true
	}
}

// Agreed reports whether a quorum of that many members has accepted the value.
func (p *Proposal) Agreed(quorum int) bool { return len(p.accepted) >= quorum }
