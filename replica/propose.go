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

// Outcome is what became of a command: Err as Propose returns it, else what applying it gave.
type Outcome struct {
	Result state.Result
	Err    error
}

// Propose puts a command into the log and waits until it is applied here. The
// errors ErrNotLeader and ErrFull tell that it was not proposed; ErrUnknown
// tells that it may or may not become agreed.
func (r *Replica) Propose(ctx context.Context, c *wire.Command) (state.Result, error) {
	o := r.await(ctx, r.begin(c))
	return o.Result, o.Err
}

// ProposeAll puts commands into the log in their order and waits until all are applied. They
// share what agreement takes, some 10 ms where boxes have half a processor and disks of 2 ms:
// one by one a leader gave 100 orders a second at most.
func (r *Replica) ProposeAll(ctx context.Context, list []*wire.Command) []Outcome {
	begun := make([]*proposal, len(list))
	for i, c := range list {
		begun[i] = r.begin(c)
	}
	outcomes := make([]Outcome, len(list))
	for i, p := range begun {
		outcomes[i] = r.await(ctx, p)
	}
	return outcomes
}

// begin puts a command on its way into the log.
func (r *Replica) begin(c *wire.Command) *proposal {
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

// encoder returns what makes a command's entry when its turn comes. A command is read at
// once: its proposer may go on and change it when its time is up. A fleet file, which stays as it
// is, waits, since it is packed against the one that is in force before it.
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
	r.noteFiles([]*wire.Entry{r.core.Entry(index)})
}

// encodeFile makes an entry's data of a fleet file, packed against the one that will be in
// force before it, if that is known now (state, rules for the text of a file).
func (r *Replica) encodeFile(a *wire.ApplyFleet, unixMs int64) ([]byte, error) {
	onto := r.master
	if r.newFile > r.master.Index {
		onto = nil
	}
	c := &wire.Command{Kind: &wire.Command_Apply{Apply: state.PackFile(a, onto)}, UnixMs: unixMs}
	data, err := proto.Marshal(c)
	return data, Error.Wrap(err)
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
		return ErrOutcomeUnknown
	case <-r.done:
		return ErrNotLeader
	}
}
