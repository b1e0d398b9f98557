package origin

import (
	"context"
	"slices"
	"sync"
	"time"

	"leverdrum/wire"
)

const (
	// confirmRetry is the time between two attempts to get a confirmed state.
	confirmRetry = 50 * time.Millisecond
	// ownConfirmTimeout bounds the wait for a confirmed state of this box. It exceeds the time between two updates of a box.
	ownConfirmTimeout = time.Second
	// relayTimeout bounds the time that a box holds an answer while it asks the leader. It is less than askTimeout.
	relayTimeout = 150 * time.Millisecond
)

// confirmation is what a state that a leader has confirmed adds to what this box knows.
type confirmation struct {
	departed  map[string][]string // by service: versions that had servers until lately
	fromOther bool                // another box has answered
}

func confirmationOf(a *wire.OriginAnswer) *confirmation {
	c := &confirmation{departed: map[string][]string{}, fromOther: true}
	for _, w := range a.History.GetDeparted() {
		c.departed[w.Service] = append(c.departed[w.Service], w.Version)
	}
	return c
}

// confirm returns a channel that receives a state confirmed from now on, unless the context ends before (8.1).
func (r *Registry) confirm(ctx context.Context) <-chan *confirmation {
	first := make(chan *confirmation, 2) // one each
	for _, b := range []*batch{r.own, r.leader} {
		go func() {
			for ctx.Err() == nil {
				if c := b.next(ctx); c != nil && r.suffices(c) {
					first <- c
					return
				}
				_ = waitFor(ctx, confirmRetry)
			}
		}()
	}
	return first
}

// suffices reports whether a confirmation is enough for a conclusion. A box that has just started needs a confirmed state of its own:
// another's has not all that this one may have known before.
func (r *Registry) suffices(c *confirmation) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return !c.fromOther || r.topology.Confirmed
}

// Departed reports whether a leader has confirmed, since the call began, that a service has no server of a version any more. It
// returns false where that cannot be confirmed within a part of the time that the caller has.
func (r *Registry) Departed(ctx context.Context, name, version string) bool {
	ctx, cancel := context.WithTimeout(ctx, confirmWait(ctx))
	defer cancel()
	var c *confirmation
	select {
	case c = <-r.confirm(ctx):
	case <-ctx.Done():
		return false
	}
	if c.fromOther {
		return slices.Contains(c.departed[name], version)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.services[name]
	return s == nil || !slices.Contains(s.current, version)
}

// confirmFor returns a confirmed state for another box that asks for one, nil if there is none soon.
func (r *Registry) confirmFor(ctx context.Context, kind wire.OriginConfirm) *confirmation {
	ctx, cancel := context.WithTimeout(ctx, relayTimeout)
	defer cancel()
	switch {
	case r.opts.Leader() == r.opts.Self:
		return r.own.next(ctx)
	case kind == wire.OriginConfirm_ORIGIN_CONFIRM_RELAY:
		return r.leader.next(ctx)
	}
	return nil
}

// confirmOwn waits for a confirmed state of this box.
func (r *Registry) confirmOwn(ctx context.Context) *confirmation {
	ctx, cancel := context.WithTimeout(ctx, ownConfirmTimeout)
	defer cancel()
	t, err := r.opts.Confirm(ctx)
	if err != nil {
		return nil // there was none in time; callers try again
	}
	r.Configure(t)
	return &confirmation{}
}

// askLeader asks the leader for its state.
func (r *Registry) askLeader(ctx context.Context) *confirmation {
	r.mu.Lock()
	confirming := r.topology.Enabled && r.topology.Confirming
	r.mu.Unlock()
	leader := r.opts.Leader()
	if !confirming || leader == "" || leader == r.opts.Self {
		return nil
	}
	a := r.ask(ctx, []string{leader}, &wire.OriginCall{Confirm: wire.OriginConfirm_ORIGIN_CONFIRM_LEADER})
	return a.confirmation
}

// batch runs a function for all who wait for its result. Each of them gets the result of a run that began after it had asked.
type batch struct {
	run func(ctx context.Context) *confirmation

	mu      sync.Mutex
	running bool
	waiting *pending // for the next run
}

// pending is one run of a batch that has not ended. Its context ends with the last one that waits for it.
type pending struct {
	ctx    context.Context
	cancel context.CancelFunc
	users  int
	done   chan struct{}
	result *confirmation // set before done is closed
}

// next returns the result of the next run, nil if the context ends before.
func (b *batch) next(ctx context.Context) *confirmation {
	p := b.join()
	select {
	case <-p.done:
		return p.result
	case <-ctx.Done():
		b.leave(p)
		return nil
	}
}

func (b *batch) join() *pending {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.waiting == nil {
		ctx, cancel := context.WithCancel(context.Background())
		b.waiting = &pending{ctx: ctx, cancel: cancel, done: make(chan struct{})}
	}
	p := b.waiting
	p.users++
	if !b.running {
		b.running = true
		go b.loop()
	}
	return p
}

func (b *batch) leave(p *pending) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if p.users--; p.users > 0 {
		return
	}
	p.cancel()
	if b.waiting == p {
		b.waiting = nil
	}
}

// loop runs the function as long as some caller waits for its result.
func (b *batch) loop() {
	for {
		b.mu.Lock()
		p := b.waiting
		b.waiting = nil
		b.running = p != nil
		b.mu.Unlock()
		if p == nil {
			return
		}
		p.result = b.run(p.ctx)
		p.cancel()
		close(p.done)
	}
}
