package forming_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"

	. "github.com/onsi/gomega"

	"leverdrum/forming"
	"leverdrum/wire"
)

// simMember is a first member: its durable record, and the proposal that its process is making.
type simMember struct {
	name, id string
	record   *wire.Forming // nil after the disk was lost
	acceptor *forming.Acceptor
	running  bool
	joined   *wire.Founding // durable

	number   uint64
	proposal *forming.Proposal
	step     *wire.Form // under way
	asked    int        // members that the step was sent to
}

type sim struct {
	draw    *rand.Rand
	names   []string
	members []*simMember
	losses  int
	news    int // IDs drawn
	formed  map[string]bool
}

func newSim(seed uint64) *sim {
	s := &sim{draw: rand.New(rand.NewPCG(seed, 1)), formed: map[string]bool{}}
	for i := range 3 + 2*int(seed%2) {
		s.names = append(s.names, fmt.Sprint("b", i))
	}
	for _, name := range s.names {
		s.members = append(s.members, &simMember{name: name, id: name + "/1", record: &wire.Forming{FirstMembers: s.names}})
	}
	return s
}

func (s *sim) quorum() int { return len(s.names)/2 + 1 }

// start starts the process of a member. One without its disk does not take part.
func (s *sim) start(m *simMember) {
	m.running, m.proposal, m.step, m.acceptor = true, nil, nil, nil
	if m.record != nil {
		m.acceptor = forming.NewAcceptor(m.id, m.record, func(r *wire.Forming) error { m.record = r; return nil })
		m.number = max(m.number, m.record.Promised.GetNumber())
	}
}

func (s *sim) join(m *simMember, f *wire.Founding) {
	if m.joined == nil {
		m.joined = f
		s.formed[f.ClusterId] = true
	}
}

// advance lets a member begin a proposal, or send the next call of its step; the call or its answer may be lost.
func (s *sim) advance(m *simMember, lossy bool) {
	switch {
	case !m.running || m.joined != nil:
		return
	case m.acceptor == nil: // it only asks for the cluster
		if to := s.members[s.draw.IntN(len(s.members))]; to.running && to.joined != nil {
			s.join(m, to.joined)
		}
		return
	}
	if m.proposal == nil {
		m.number++
		m.proposal = forming.NewProposal(&wire.Ballot{Number: m.number, Box: m.name}, s.names)
		m.step, m.asked = m.proposal.Prepare(), 0
	}
	to := s.members[m.asked]
	m.asked++
	if to.running && !(lossy && s.draw.IntN(5) == 0) {
		s.call(m, to, lossy && s.draw.IntN(5) == 0)
	}
	if m.joined != nil || m.asked < len(s.members) {
		return
	}
	switch {
	case m.step.Step == wire.FormStep_FORM_ACCEPT && m.proposal.Agreed(s.quorum()):
		s.join(m, m.step.Founding)
	case m.step.Step == wire.FormStep_FORM_PREPARE:
		s.news++
		if f := m.proposal.Founding(s.quorum(), fmt.Sprint("cluster", s.news)); f != nil {
			m.step, m.asked = m.proposal.Accept(f), 0
			return
		}
	}
	m.proposal = nil
}

func (s *sim) call(m, to *simMember, answerLost bool) {
	if to.joined != nil { // the handshake tells
		if !answerLost {
			s.join(m, to.joined)
		}
		return
	}
	if to.acceptor == nil {
		return
	}
	answer, err := to.acceptor.Answer(m.step)
	if err != nil || answerLost {
		return
	}
	m.number = max(m.number, answer.Promised.GetNumber())
	if m.step.Step == wire.FormStep_FORM_PREPARE {
		m.proposal.AddPromise(to.name, answer)
	} else {
		m.proposal.AddAcceptance(to.name, answer)
	}
}

// disturb kills, starts or wipes a member. A minority at most loses its disk or is lost for good.
func (s *sim) disturb(m *simMember) {
	switch s.draw.IntN(6) {
	case 0:
		m.running = false
	case 1:
		if s.losses < s.quorum()-1 && m.record != nil {
			s.losses++
			m.running, m.record, m.joined = false, nil, nil
		}
	default:
		s.start(m)
	}
}

// Guards against two clusters formed by the same first members, and against none when a majority of them runs, whichever of them are
// killed, restarted or lose their disks at any step. HISTORIES sets how many are played.
func TestOneClusterIsFormed(t *testing.T) {
	g := NewWithT(t)
	count, err := strconv.Atoi(os.Getenv("HISTORIES"))
	if err != nil {
		count = 10_000
	}
	duels, early := 0, 0
	for seed := range uint64(count) {
		s := newSim(seed)
		m := s.members[0]
		for range 20 + s.draw.IntN(150) {
			if s.draw.IntN(4) == 0 { // most calls follow on each other
				m = s.members[s.draw.IntN(len(s.members))]
			}
			if s.draw.IntN(20) == 0 || !m.running {
				s.disturb(m)
			} else {
				s.advance(m, true)
			}
		}
		early += len(s.formed)
		for _, m := range s.members {
			if m.record != nil {
				s.start(m)
			}
			duels += int(m.number)
		}
		for range 40 * len(s.members) { // one proposes at a time
			for _, m := range s.members {
				if s.advance(m, false); m.running && m.acceptor != nil && m.joined == nil {
					break
				}
			}
		}
		g.Expect(s.formed).To(HaveLen(1), "seed %d: clusters %v", seed, s.formed)
		for _, m := range s.members {
			if m.running {
				g.Expect(m.joined).NotTo(BeNil(), "seed %d: %s has not joined", seed, m.name)
				g.Expect(len(m.joined.Voters)).To(BeNumerically(">=", s.quorum()), "seed %d", seed)
			}
		}
	}
	t.Logf("%d histories, %d formed before the end of the disturbances, ballots up to %d on average", count, early, duels/count)
}

// Guards against two clusters of boxes whose settings name different first members.
func TestOtherFirstMembersAreRejected(t *testing.T) {
	g := NewWithT(t)
	a := forming.NewAcceptor("b/1", &wire.Forming{FirstMembers: []string{"a", "b", "c"}}, func(*wire.Forming) error { return nil })
	ballot := &wire.Ballot{Number: 1, Box: "a"}
	_, err := a.Answer(forming.NewProposal(ballot, []string{"a", "b"}).Prepare())
	g.Expect(err).To(MatchError(forming.ErrFirstMembers))
	g.Expect(a.Promised()).To(BeNil())
	answer, err := a.Answer(forming.NewProposal(ballot, []string{"a", "b", "c"}).Prepare())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(answer.Granted).To(BeTrue())
}

// Guards against a promise or an acceptance that is given although it could not be stored.
func TestUnsavedPromiseIsNotGiven(t *testing.T) {
	g := NewWithT(t)
	failed := fmt.Errorf("disk full")
	a := forming.NewAcceptor("b/1", &wire.Forming{FirstMembers: []string{"b"}}, func(*wire.Forming) error { return failed })
	p := forming.NewProposal(&wire.Ballot{Number: 1, Box: "b"}, []string{"b"})
	for _, step := range []*wire.Form{p.Prepare(), p.Accept(&wire.Founding{ClusterId: "x"})} {
		_, err := a.Answer(step)
		g.Expect(err).To(MatchError(failed))
	}
	g.Expect(a.Promised()).To(BeNil())
	g.Expect(a.Founding()).To(BeNil())
}
