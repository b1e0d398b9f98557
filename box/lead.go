package box

import (
	"context"
	"errors"

	"leverdrum/control"
	"leverdrum/reason"
	"leverdrum/replica"
	"leverdrum/state"
	"leverdrum/wire"
)

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
	case errors.Is(err, replica.ErrDiskFull):
		return reason.DiskFull
	case errors.Is(err, replica.ErrBusy):
		return reason.Busy
	case errors.Is(err, control.ErrLevelTooLow):
		return reason.LevelTooLow
	case errors.Is(err, errUnknownHall):
		return reason.UnknownHall
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
		return &wire.ForwardAnswer{}, p.control.RecordNotice(ctx, f)
	case wire.ForwardKind_FORWARD_CRASHES:
		return &wire.ForwardAnswer{}, p.control.RecordCrashes(ctx, f.Crashes)
	case wire.ForwardKind_FORWARD_EVACUATE:
		return leadEvacuate(ctx, p, f.Evacuate)
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
	return len(members) == 0 || members[m.GetBox()] != nil || p.spread.SeesMajority()
}

// leadApply has the file agreed, and then waits until it, or the newer one that is in force
// in its place, has reached the boxes: who is told that a file is taken goes by it, also where
// another has overtaken it.
func leadApply(ctx context.Context, p *parts, a *wire.ApplyFleet) (*wire.ForwardAnswer, error) {
	a, err := state.UnpackFile(a)
	if err != nil {
		return nil, err
	}
	p.control.RaiseInitialLevel(ctx)
	result, err := p.replica.Propose(ctx, &wire.Command{Kind: &wire.Command_Apply{Apply: a}})
	if err != nil {
		return nil, err
	}
	answer := &wire.ApplyResult{Outcome: string(result.Apply), Winner: result.Winner, Index: result.Winner.GetIndex()}
	if result.Apply != state.Invalid {
		have, boxes := p.spread.AwaitApplied(ctx, answer.Index, p.accept)
		answer.InForce, answer.Boxes = uint32(have), uint32(boxes)
	}
	return &wire.ForwardAnswer{Apply: answer}, nil
}

// errUnknownHall: nothing that the box knows of stands in the data hall.
var errUnknownHall = errors.New("the data hall is not known")

// leadEvacuate has an evacuation agreed, or taken back.
func leadEvacuate(ctx context.Context, p *parts, e *wire.EvacuateHall) (*wire.ForwardAnswer, error) {
	hall := e.GetHall()
	if view := p.replica.View(); !view.KnowsHall(hall) && !view.Evacuated(hall) && p.regions[hall] == "" {
		return nil, errUnknownHall
	}
	return &wire.ForwardAnswer{}, p.control.Evacuate(ctx, e)
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
