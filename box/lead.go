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

// executeAsLeader executes a call if this box leads. The only error returned is
// ErrNotLeader; all others are in the answer.
func executeAsLeader(ctx context.Context, p *components, f *wire.Forward) (*wire.ForwardAnswer, error) {
	a, err := execute(ctx, p, f)
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
	case errors.Is(err, control.ErrRulingRejected):
		return reason.RulingRejected
	}
	return reason.ApplyUnknown
}

func execute(ctx context.Context, p *components, f *wire.Forward) (*wire.ForwardAnswer, error) {
	switch f.Kind {
	case wire.ForwardKind_FORWARD_APPLY:
		return applyFile(ctx, p, f.Apply)
	case wire.ForwardKind_FORWARD_ANNOUNCE:
		return &wire.ForwardAnswer{}, p.control.Announce(ctx, f.Announcement)
	case wire.ForwardKind_FORWARD_WITHDRAW:
		return &wire.ForwardAnswer{}, p.control.Withdraw(ctx, f.Withdraw)
	case wire.ForwardKind_FORWARD_NOTICE:
		return &wire.ForwardAnswer{}, p.control.RecordNotice(ctx, f)
	case wire.ForwardKind_FORWARD_CRASHES:
		return &wire.ForwardAnswer{}, p.control.RecordCrashes(ctx, f.Crashes)
	case wire.ForwardKind_FORWARD_EVACUATE:
		return evacuateHall(ctx, p, f.Evacuate)
	case wire.ForwardKind_FORWARD_RULE:
		return &wire.ForwardAnswer{}, p.control.RuleSuspect(ctx, f.Rule)
	case wire.ForwardKind_FORWARD_READ:
		return readState(ctx, p, f)
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
	return nil, Error.New("unknown forward kind")
}

// mayJoin reports whether a box may join. A leader that is cut off from most boxes
// must not extend the member list until the boxes it hears from are a majority of
// it: the others may continue as the majority of the list that they know.
func mayJoin(p *components, m *wire.Member) bool {
	members := p.replica.View().Members
	return len(members) == 0 || members[m.GetBox()] != nil || p.spread.SeesMajority()
}

// applyFile commits a file and then waits until it, or the newer one in force in its place,
// has reached the boxes: a client that gets the confirmation that a file was accepted relies on it, even if
// a newer file has superseded it.
func applyFile(ctx context.Context, p *components, a *wire.ApplyFleet) (*wire.ForwardAnswer, error) {
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
		have, boxes := p.spread.AwaitApplied(ctx, answer.Index, p.ackTimeouts)
		answer.InForce, answer.Boxes = uint32(have), uint32(boxes)
	}
	return &wire.ForwardAnswer{Apply: answer}, nil
}

// errUnknownHall means that the box knows of nothing located in the data hall.
var errUnknownHall = errors.New("unknown data hall")

// evacuateHall commits the evacuation of a data hall, or its cancellation.
func evacuateHall(ctx context.Context, p *components, e *wire.EvacuateHall) (*wire.ForwardAnswer, error) {
	hall := e.GetHall()
	if view := p.replica.View(); !view.KnowsHall(hall) && !view.Evacuated(hall) && p.regions[hall] == "" {
		return nil, errUnknownHall
	}
	return &wire.ForwardAnswer{}, p.control.Evacuate(ctx, e)
}

// readState reads the committed state, or only its fleet file or that file's version: the rest of the state is
// several times as large as the packed file, and is sent over the requesting box's slow link.
func readState(ctx context.Context, p *components, f *wire.Forward) (*wire.ForwardAnswer, error) {
	if err := p.replica.Barrier(ctx); err != nil {
		return nil, err
	}
	view, status := p.replica.View(), p.replica.Status()
	switch {
	case f.VersionOnly:
		return &wire.ForwardAnswer{Read: &wire.ReadResult{Index: view.Index, State: &wire.State{Index: view.Index, Fleet: view.Version, FleetFormat: view.Format}}}, nil
	case f.FileOnly:
		return &wire.ForwardAnswer{Read: &wire.ReadResult{Index: view.Index, State: view.EncodeFile()}}, nil
	}
	return &wire.ForwardAnswer{Read: &wire.ReadResult{
		Index: view.Index, State: view.Encode(), Holdings: p.spread.Holdings(),
		Leader: p.replica.ID(), Term: status.Term, Voters: status.Voters,
	}}, nil
}
