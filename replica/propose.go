package replica

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"leverdrum/state"
	"leverdrum/wire"
)

type proposal struct {
	term   uint64
	answer chan outcome
}

// answered is a proposal with its answer.
type answered struct {
	proposal *proposal
	outcome  outcome
}

type outcome struct {
	result state.Result
	err    error
}

// Propose puts a command into the log and waits until it is applied here. The
// errors ErrNotLeader and ErrFull tell that it was not proposed; ErrUnknown
// tells that it may or may not become agreed.
func (r *Replica) Propose(ctx context.Context, c *wire.Command) (state.Result, error) {
	c.UnixMs = time.Now().UnixMilli()
	p := &proposal{answer: make(chan outcome, 1)}
	if !r.post(func() { r.propose(c, p) }) {
		return state.Result{}, ErrBusy
	}
	select {
	case o := <-p.answer:
		return o.result, o.err
	case <-ctx.Done():
		return state.Result{}, ErrUnknown
	case <-r.done:
		return state.Result{}, ErrUnknown
	}
}

func (r *Replica) propose(c *wire.Command, p *proposal) {
	data, err := proto.Marshal(r.packed(c))
	if err != nil {
		p.answer <- outcome{err: Error.Wrap(err)}
		return
	}
	if !r.opts.Storage.Room(reserve + int64(len(data))) {
		p.answer <- outcome{err: ErrFull}
		return
	}
	index, term, err := r.core.Propose(data)
	if err != nil {
		p.answer <- outcome{err: ErrNotLeader}
		return
	}
	p.term = term
	r.waiting[index] = p
	if c.GetApply() != nil {
		r.newFile = index
	}
}

// packed returns a command as the log holds it: a fleet file packed against the one that
// will be in force before it, if that is known now (state, rules for the text of a file).
func (r *Replica) packed(c *wire.Command) *wire.Command {
	a := c.GetApply()
	if a.GetText() == "" {
		return c
	}
	onto := r.master
	if r.newFile > r.master.Index {
		onto = nil
	}
	return &wire.Command{Kind: &wire.Command_Apply{Apply: state.PackFile(a, onto)}, UnixMs: c.UnixMs}
}

// Barrier returns once View is at least as new as everything that was agreed
// when it was called. It fails on a box that does not lead.
func (r *Replica) Barrier(ctx context.Context) error {
	answer := make(chan error, 1)
	ok := r.post(func() {
		r.nextToken++
		if err := r.core.Read(r.nextToken); err != nil {
			answer <- ErrNotLeader
			return
		}
		r.reads[r.nextToken] = answer
	})
	if !ok {
		return ErrBusy
	}
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		return ErrUnknown
	case <-r.done:
		return ErrNotLeader
	}
}
