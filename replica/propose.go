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

// answeredProposal is a proposal with its outcome.
type answeredProposal struct {
	proposal *proposal
	outcome  outcome
}

type outcome struct {
	result state.Result
	err    error
}

// Outcome is the outcome of a command: Err as Propose returns it, else the result of applying it.
type Outcome struct {
	Result state.Result
	Err    error
}

// Propose appends a command to the log and waits until it is applied here. After
// ErrNotLeader, ErrDiskFull or ErrBusy it was not proposed; after ErrOutcomeUnknown
// it may or may not be committed.
func (r *Replica) Propose(ctx context.Context, c *wire.Command) (state.Result, error) {
	o := r.await(ctx, r.submit(c))
	return o.Result, o.Err
}

// ProposeAll appends commands to the log in their order and waits until all are applied. They
// share the latency of one commit, some 10 ms where boxes have half a processor and disks that
// take 2 ms; one by one a leader could issue at most 100 orders per second.
func (r *Replica) ProposeAll(ctx context.Context, list []*wire.Command) []Outcome {
	proposals := make([]*proposal, len(list))
	for i, c := range list {
		proposals[i] = r.submit(c)
	}
	outcomes := make([]Outcome, len(list))
	for i, p := range proposals {
		outcomes[i] = r.await(ctx, p)
	}
	return outcomes
}

// submit queues a command for the log.
func (r *Replica) submit(c *wire.Command) *proposal {
	p := &proposal{answer: make(chan outcome, 1)}
	c.UnixMs = time.Now().UnixMilli()
	encode, err := r.encoder(c)
	if err != nil {
		p.answer <- outcome{err: err}
		return p
	}
	if !r.post(func() { r.propose(encode, p) }) {
		p.answer <- outcome{err: ErrBusy}
	}
	return p
}

func (r *Replica) await(ctx context.Context, p *proposal) Outcome {
	select {
	case o := <-p.answer:
		return Outcome{o.result, o.err}
	case <-ctx.Done():
		return Outcome{Err: ErrOutcomeUnknown}
	case <-r.done:
		return Outcome{Err: ErrOutcomeUnknown}
	}
}

// encoder returns a function that encodes a command's entry when it is proposed. The command
// itself is marshaled now: its proposer may change it after its context has ended. A fleet file,
// which does not change, is encoded later, since it is packed against the file in force before it.
func (r *Replica) encoder(c *wire.Command) (func() ([]byte, error), error) {
	if a := c.GetApply(); a != nil {
		return func() ([]byte, error) { return r.encodeFile(a, c.UnixMs) }, nil
	}
	data, err := proto.Marshal(c)
	return func() ([]byte, error) { return data, nil }, Error.Wrap(err)
}

func (r *Replica) propose(encode func() ([]byte, error), p *proposal) {
	data, err := encode()
	if err != nil {
		p.answer <- outcome{err: Error.Wrap(err)}
		return
	}
	if !r.opts.Storage.HasCapacity(reserve + int64(len(data))) {
		p.answer <- outcome{err: ErrDiskFull}
		return
	}
	index, term, err := r.core.Propose(data)
	if err != nil {
		p.answer <- outcome{err: ErrNotLeader}
		return
	}
	p.term = term
	r.waiting[index] = p
	r.trackFleetFiles([]*wire.Entry{r.core.Entry(index)})
}

// encodeFile encodes a fleet file as the data of an entry, packed against the file that will be
// in force before it, if that is known now (package state, rules for the text of a file).
func (r *Replica) encodeFile(a *wire.ApplyFleet, unixMs int64) ([]byte, error) {
	base := r.master
	if r.newestLoggedFile > r.master.Index {
		base = nil
	}
	c := &wire.Command{Kind: &wire.Command_Apply{Apply: state.PackFile(a, base)}, UnixMs: unixMs}
	data, err := proto.Marshal(c)
	return data, Error.Wrap(err)
}

// Barrier returns once View includes everything that was committed when it was
// called. It fails on a box that is not the leader.
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
		return ErrOutcomeUnknown
	case <-r.done:
		return ErrNotLeader
	}
}
