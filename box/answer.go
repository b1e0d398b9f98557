package box

import (
	"context"
	"errors"
	"strings"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"leverdrum/event"
	"leverdrum/internal/wait"
	"leverdrum/peer"
	"leverdrum/reason"
	"leverdrum/replica"
	"leverdrum/state"
	"leverdrum/wire"
)

const (
	// forwardTimeout bounds one call to another box that is not an operator's.
	forwardTimeout = 2 * time.Second
	// forwardPause is the wait before the leader is looked for again.
	forwardPause = 50 * time.Millisecond
	// joinEvery is the time between two looks at the own row in the list.
	joinEvery = 500 * time.Millisecond
)

func notReady() *wire.Response {
	return &wire.Response{Refusal: &wire.Refusal{Code: reason.PeerNotLeader.Code, Text: "the box has not found its cluster yet"}}
}

func (b *Box) answer(ctx context.Context, p *parts, from *wire.Member, r *wire.Request) *wire.Response {
	switch k := r.Kind.(type) {
	case *wire.Request_Follow:
		u, err := p.spread.Answer(ctx, from, k.Follow)
		if err != nil {
			return notReady()
		}
		return &wire.Response{Kind: &wire.Response_Follow{Follow: u}}
	case *wire.Request_Probe:
		return &wire.Response{Kind: &wire.Response_Probe{Probe: p.spread.AnswerProbe()}}
	case *wire.Request_Forward:
		return b.answerForward(ctx, p, k.Forward)
	}
	return p.guard.Answer(r)
}

func (b *Box) answerForward(ctx context.Context, p *parts, f *wire.Forward) *wire.Response {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(f.DeadlineMs)*time.Millisecond)
	defer cancel()
	a, err := lead(ctx, p, f)
	if err != nil {
		return &wire.Response{Refusal: &wire.Refusal{Code: reason.PeerNotLeader.Code, Text: reason.PeerNotLeader.Title}}
	}
	return &wire.Response{Kind: &wire.Response_Forward{Forward: a}}
}

// lead carries out a call if this box leads; the only error is ErrNotLeader,
// all others stand in the answer.
func lead(ctx context.Context, p *parts, f *wire.Forward) (*wire.ForwardAnswer, error) {
	a, err := carryOut(ctx, p, f)
	switch {
	case errors.Is(err, replica.ErrNotLeader):
		return nil, err
	case err != nil:
		why := reasonOf(err)
		return &wire.ForwardAnswer{Code: why.Code, Text: why.Title}, nil
	}
	return a, nil
}

func reasonOf(err error) *reason.Reason {
	switch {
	case errors.Is(err, replica.ErrFull):
		return reason.DiskFull
	case errors.Is(err, replica.ErrBusy):
		return reason.Busy
	}
	return reason.ApplyUnknown
}

func carryOut(ctx context.Context, p *parts, f *wire.Forward) (*wire.ForwardAnswer, error) {
	switch f.Kind {
	case wire.ForwardKind_FORWARD_APPLY:
		return leadApply(ctx, p, f.Apply)
	case wire.ForwardKind_FORWARD_ANNOUNCE:
		return &wire.ForwardAnswer{}, p.control.Announce(ctx, f.Announcement)
	case wire.ForwardKind_FORWARD_WITHDRAW:
		return &wire.ForwardAnswer{}, p.control.Withdraw(ctx, f.Withdraw)
	case wire.ForwardKind_FORWARD_NOTICE:
		return &wire.ForwardAnswer{}, p.control.Notice(ctx, f)
	case wire.ForwardKind_FORWARD_READ:
		return leadRead(ctx, p, f.FileOnly)
	case wire.ForwardKind_FORWARD_JOIN:
		if !mayJoin(p, f.Member) {
			return nil, replica.ErrBusy
		}
		_, err := p.replica.Propose(ctx, &wire.Command{Kind: &wire.Command_Join{Join: f.Member}})
		return &wire.ForwardAnswer{}, err
	case wire.ForwardKind_FORWARD_LEAVE:
		l := &wire.Leave{Box: f.Member.GetBox(), Incarnation: f.Member.GetIncarnation()}
		_, err := p.replica.Propose(ctx, &wire.Command{Kind: &wire.Command_Leave{Leave: l}})
		return &wire.ForwardAnswer{}, err
	}
	return nil, Error.New("unknown call")
}

// mayJoin keeps a leader that is cut off from most boxes from making the list
// longer until those it hears are the majority of it: the others may go on as
// the majority of the list that they know.
func mayJoin(p *parts, m *wire.Member) bool {
	members := p.replica.View().Members
	return len(members) == 0 || members[m.GetBox()] != nil || p.spread.HearsMajority()
}

// leadApply has the file agreed, and then waits until it, or the newer one that is in force
// in its place, has reached the boxes: who is told that a file is taken goes by it, also where
// another has overtaken it.
func leadApply(ctx context.Context, p *parts, a *wire.ApplyFleet) (*wire.ForwardAnswer, error) {
	a, err := state.UnpackFile(a)
	if err != nil {
		return nil, err
	}
	result, err := p.replica.Propose(ctx, &wire.Command{Kind: &wire.Command_Apply{Apply: a}})
	if err != nil {
		return nil, err
	}
	answer := &wire.ApplyResult{Outcome: string(result.Apply), Winner: result.Winner, Index: result.Winner.GetIndex()}
	if result.Apply != state.Invalid {
		have, boxes := p.spread.AwaitInForce(ctx, answer.Index, p.accept)
		answer.InForce, answer.Boxes = uint32(have), uint32(boxes)
	}
	return &wire.ForwardAnswer{Apply: answer}, nil
}

// leadRead reads what is agreed, or the fleet file alone: the rest of the state is several times
// as large as the packed file, and goes over the slow link of the box that asks.
func leadRead(ctx context.Context, p *parts, fileOnly bool) (*wire.ForwardAnswer, error) {
	if err := p.replica.Barrier(ctx); err != nil {
		return nil, err
	}
	view, status := p.replica.View(), p.replica.Status()
	if fileOnly {
		return &wire.ForwardAnswer{Read: &wire.ReadResult{Index: view.Index, State: view.EncodeFile()}}, nil
	}
	return &wire.ForwardAnswer{Read: &wire.ReadResult{
		Index: view.Index, State: view.Encode(), Holdings: p.spread.Holdings(),
		Leader: p.replica.ID(), Term: status.Term, Voters: status.Voters,
	}}, nil
}

// forwarder passes calls on to the leader. It implements admin.Cluster.
type forwarder struct {
	box   *Box
	parts *parts
}

// Forward looks for the leader until the context ends. All calls may be sent
// again: a file's number and digest settle what became of an earlier sending.
func (f *forwarder) Forward(ctx context.Context, call *wire.Forward) (*wire.ForwardAnswer, *reason.Reason) {
	sent := false
	for ctx.Err() == nil {
		answer, err := f.once(ctx, call)
		if err == nil && answer.Code == "" {
			return answer, nil
		}
		// A refusal is true only if no earlier sending may have been accepted.
		if why := reason.ByCode(answer.GetCode()); why != nil && why.Outcome == reason.NotRun && !sent {
			return nil, why
		}
		sent = sent || mayHaveRun(err)
		wait.For(ctx, forwardPause)
	}
	if sent && call.Kind == wire.ForwardKind_FORWARD_APPLY {
		return nil, reason.ApplyUnknown
	}
	return nil, reason.NoLeader
}

// mayHaveRun reports whether a failed call may have been carried out.
func mayHaveRun(err error) bool {
	var refused *peer.RefusedError
	if errors.As(err, &refused) || errors.Is(err, replica.ErrNotLeader) || errors.Is(err, errNoLeader) {
		return false
	}
	return true
}

var errNoLeader = errors.New("no box is known to lead")

func (f *forwarder) once(ctx context.Context, call *wire.Forward) (*wire.ForwardAnswer, error) {
	leader := f.parts.spread.Leader()
	if leader == "" {
		return nil, errNoLeader
	}
	if leader == f.parts.replica.ID() {
		return lead(ctx, f.parts, call)
	}
	name, _, _ := strings.Cut(leader, "/")
	response, err := f.box.pool.Call(ctx, name, &wire.Request{Kind: &wire.Request_Forward{Forward: packed(call)}})
	if err != nil {
		return nil, Error.Wrap(err)
	}
	if response.GetForward() == nil {
		return nil, Error.New("the leader gave another answer than asked for")
	}
	return response.GetForward(), nil
}

// packed returns a call as it goes to another box: a file that the operator sends again and
// again must not take up a slow link each time.
func packed(call *wire.Forward) *wire.Forward {
	if call.Apply.GetText() == "" {
		return call
	}
	return &wire.Forward{Kind: call.Kind, DeadlineMs: call.DeadlineMs, Apply: state.PackFile(call.Apply, nil)}
}

// keepMembership sees to it that the agreed list shows this box as it is.
func (b *Box) keepMembership(ctx context.Context, p *parts) {
	f := &forwarder{b, p}
	for ctx.Err() == nil {
		self := b.id.Self()
		if !proto.Equal(p.replica.View().Members[self.Box], self) {
			b.join(ctx, f, self)
		}
		wait.For(ctx, joinEvery)
	}
}

func (b *Box) join(ctx context.Context, f *forwarder, self *wire.Member) {
	ctx, cancel := context.WithTimeout(ctx, forwardTimeout)
	defer cancel()
	call := &wire.Forward{Kind: wire.ForwardKind_FORWARD_JOIN, Member: self, DeadlineMs: uint32(forwardTimeout.Milliseconds())}
	if _, why := f.Forward(ctx, call); why == nil {
		event.Listed.Log(b.log, zap.Bool("leaving", self.Leaving))
	}
}
