package box

import (
	"context"
	crand "crypto/rand"
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"leverdrum/event"
	"leverdrum/forming"
	"leverdrum/state"
	"leverdrum/wire"
)

const (
	// formRetryPause is the delay between two attempts to find or form the cluster. A box without a
	// disk does this at each start, and callers wait for it.
	formRetryPause = 50 * time.Millisecond
	// formGrace is how long a quorum of the first members waits for the others: a cluster with all of them as voters survives
	// the loss of one at once.
	formGrace = 2 * time.Second
	// formTurn is the time after which the next first member by name proposes.
	formTurn = 300 * time.Millisecond
	// formCallTimeout bounds one step of a proposal.
	formCallTimeout = time.Second
)

// awaitCluster returns once this box belongs to a cluster. A new box adopts the cluster ID of any box it contacts that has one. The
// first members form the cluster (package forming).
func (b *Box) awaitCluster(ctx context.Context) error {
	f := b.newFormer()
	for {
		peers := b.contactAll(ctx)
		if _, id := b.id.Cluster(); id != "" {
			return nil
		}
		pause := formRetryPause
		if f != nil && f.mayPropose(peers, time.Now()) {
			if err := f.propose(ctx, peers); err != nil {
				return err
			}
			pause += rand.N(formTurn) // proposals of two boxes must not keep defeating each other
		}
		select {
		case <-b.id.adopted:
			return nil
		case <-ctx.Done():
			return Error.Wrap(ctx.Err())
		case <-time.After(pause):
		}
	}
}

// contactAll contacts all boxes of the settings concurrently. If one belongs to a
// cluster, this box adopts that cluster and does not wait for the others.
func (b *Box) contactAll(ctx context.Context) map[string]*wire.Member {
	type answer struct {
		box    string
		member *wire.Member
	}
	boxes := b.knownAddresses()
	answers := make(chan answer, len(boxes))
	for name := range boxes {
		go func() {
			if name == b.settings.Box {
				answers <- answer{name, b.id.Self()}
				return
			}
			m, err := b.pool.OpenSession(ctx, name)
			if err != nil {
				m = nil
			}
			answers <- answer{name, m}
		}()
	}
	peers := map[string]*wire.Member{}
	for range boxes {
		select {
		case a := <-answers:
			if a.member != nil {
				peers[a.box] = a.member
			}
		case <-b.id.adopted:
			return peers
		}
	}
	return peers
}

// former proposes the founding of the cluster for a first member.
type former struct {
	box     *Box
	members []string // first members, sorted
	quorum  int
	// quorumSince is when a quorum of the first members began to respond, zero if none does.
	quorumSince time.Time
	number      uint64 // highest seen in a ballot
}

// newFormer returns nil if this box is no first member.
func (b *Box) newFormer() *former {
	members := b.id.firstMembers()
	if members == nil {
		return nil
	}
	f := &former{box: b, members: members, quorum: len(members), number: b.id.promised().GetNumber()}
	if b.settings.Seeded { // a box that lost its disk starts with form = false
		f.quorum = len(members)/2 + 1
	}
	return f
}

// mayPropose reports whether it is this box's turn to propose, given the boxes that respond.
func (f *former) mayPropose(peers map[string]*wire.Member, now time.Time) bool {
	present := slices.DeleteFunc(slices.Clone(f.members), func(name string) bool { return peers[name] == nil })
	if len(present) < f.quorum {
		f.quorumSince = time.Time{}
		return false
	}
	if f.quorumSince.IsZero() {
		f.quorumSince = now
	}
	wait := time.Duration(slices.Index(present, f.box.settings.Box)) * formTurn
	if len(present) < len(f.members) {
		wait += formGrace
	}
	return now.Sub(f.quorumSince) >= wait
}

// propose makes one proposal to the first members among the given boxes, and joins the cluster if they agree.
func (f *former) propose(ctx context.Context, peers map[string]*wire.Member) error {
	f.number = max(f.number, f.box.id.promised().GetNumber()) + 1
	quorum := f.quorum
	p := forming.NewProposal(&wire.Ballot{Number: f.number, Box: f.box.settings.Box}, f.members)
	answers := f.callAll(ctx, peers, p.Prepare())
	for box, a := range answers {
		f.number = max(f.number, a.Promised.GetNumber())
		switch {
		case a.Formed && a.Founding != nil:
			return f.box.id.Join(a.Founding)
		case knowsNoBallots(a): // it leaves the forming to the first box by name, which needs all
			if f.box.settings.Box != f.members[0] {
				return nil
			}
			quorum = len(f.members)
			p.AddPromise(box, &wire.FormAnswer{Granted: true, Member: state.MemberID(peers[box])})
			p.AddAcceptance(box, &wire.FormAnswer{Granted: true})
		}
		p.AddPromise(box, a)
	}
	founding := p.Founding(quorum, crand.Text())
	if founding == nil {
		return nil
	}
	// Only those that promised are asked to accept: in a new founding these are the voters, of which each then knows it.
	maps.DeleteFunc(peers, func(box string, _ *wire.Member) bool { return !answers[box].GetGranted() })
	for box, a := range f.callAll(ctx, peers, p.Accept(founding)) {
		f.number = max(f.number, a.Promised.GetNumber())
		p.AddAcceptance(box, a)
	}
	if !p.Agreed(quorum) {
		return nil
	}
	event.ClusterFormed.Log(f.box.log, zap.Strings("voters", founding.Voters), zap.Uint64("ballot", p.Ballot().Number))
	return f.box.id.Join(founding)
}

// knowsNoBallots reports whether an answer is that of a build that predates ballots.
func knowsNoBallots(a *wire.FormAnswer) bool { return a.Member == "" }

// callAll sends a step to the first members among the given boxes and returns their answers.
func (f *former) callAll(ctx context.Context, peers map[string]*wire.Member, step *wire.Form) map[string]*wire.FormAnswer {
	ctx, cancel := context.WithTimeout(ctx, formCallTimeout)
	defer cancel()
	var mu sync.Mutex
	answers := map[string]*wire.FormAnswer{}
	var calls sync.WaitGroup
	for _, name := range f.members {
		if peers[name] == nil {
			continue
		}
		calls.Go(func() {
			answer := f.call(ctx, name, step)
			if answer == nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			answers[name] = answer
		})
	}
	calls.Wait()
	return answers
}

// call sends a step to a box. It returns nil if the box does not answer; a later proposal asks again.
func (f *former) call(ctx context.Context, name string, step *wire.Form) *wire.FormAnswer {
	if name == f.box.settings.Box {
		return f.box.answerForm(name, step)
	}
	resp, err := f.box.pool.Call(ctx, name, &wire.Request{Kind: &wire.Request_Form{Form: step}})
	if err != nil {
		return nil
	}
	return resp.GetForm()
}

// answerForm answers a step of another box, or of this one.
func (b *Box) answerForm(from string, f *wire.Form) *wire.FormAnswer {
	if f.Step == wire.FormStep_FORM_JOIN {
		join := func() error { return b.id.Adopt(f.ClusterId) }
		if f.Founding != nil {
			join = func() error { return b.id.Join(f.Founding) }
		}
		err := join()
		if err != nil {
			b.reportFatal(err)
		}
		return &wire.FormAnswer{Formed: err == nil}
	}
	answer, err := b.id.answerForm(f)
	switch {
	case errors.Is(err, forming.ErrFirstMembers):
		if b.formLog.allow(from, time.Now()) {
			event.FirstMembersDiffer.Log(b.log, zap.String("peer", from), zap.Strings("its", f.FirstMembers), zap.Strings("own", b.id.firstMembers()))
		}
		return &wire.FormAnswer{Member: state.MemberID(b.id.Self())}
	case err != nil:
		b.reportFatal(Error.Wrap(err))
		return &wire.FormAnswer{Member: state.MemberID(b.id.Self())}
	}
	return answer
}

// announceCluster sends the cluster ID, and what the first members agreed on, to the other first members. They may know of neither.
func (b *Box) announceCluster(ctx context.Context) {
	_, id := b.id.Cluster()
	members := b.id.firstMembers()
	if members == nil {
		members = b.settings.FirstMembers
	}
	for _, name := range members {
		if name == b.settings.Box {
			continue
		}
		ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
		// A box that misses this call learns the ID from the next Hello.
		_, _ = b.pool.Call(ctx, name, &wire.Request{Kind: &wire.Request_Form{Form: &wire.Form{ClusterId: id, Founding: b.id.founding()}}})
		cancel()
	}
}
