// Package keyed runs the claims of package claim between the boxes: it asks the
// holders of a key, answers other boxes, and takes slots over when the list of
// boxes changes.
package keyed

import (
	"context"
	"slices"
	"sync"
	"time"

	"leverdrum/claim"
	"leverdrum/internal/wait"
	"leverdrum/meter"
	"leverdrum/replica"
	"leverdrum/wire"
)

const (
	// askTimeout bounds one question to one holder.
	askTimeout = 400 * time.Millisecond
	// againPause is the wait before holders are asked again after a change of
	// the list of boxes.
	againPause = 20 * time.Millisecond
	// acquireTimeout bounds all questions for one claim.
	acquireTimeout = 1500 * time.Millisecond
	// recordTimeout bounds waiting until a majority keeps an answer.
	recordTimeout = 500 * time.Millisecond
	// restEvery is the time between two looks at what is still to be taken over, at most.
	restEvery = time.Second
	// sweepEvery is the time between two looks for claims that have ended.
	sweepEvery = 10 * time.Second
	// keepBody is the largest body, in bytes, that is kept of an answer.
	keepBody = 64 << 10
)

// PeerClient asks other boxes.
type PeerClient interface {
	Call(ctx context.Context, box string, r *wire.Request) (*wire.Response, error)
}

// ClaimReplica is one box's part in guarding keys.
type ClaimReplica struct {
	self    string // process
	replica *replica.Replica
	caller  PeerClient
	meters  *meter.Meters

	mu    sync.Mutex
	table *claim.Table

	entered uint64 // the newest epoch that the table is in; of Run only
	pace    pace   // of Run only
}

// New returns the guard of a process; Run makes it work.
func New(self string, r *replica.Replica, c PeerClient, m *meter.Meters) *ClaimReplica {
	return &ClaimReplica{self: self, replica: r, caller: c, meters: m, table: claim.NewTable(self), pace: pace{}}
}

func (g *ClaimReplica) now() time.Duration { return g.replica.Now() }

// Run follows the list of boxes and takes slots over, until the context ends.
func (g *ClaimReplica) Run(ctx context.Context) {
	swept := time.Now()
	for ctx.Err() == nil {
		changed := g.replica.Changed()
		g.enter()
		g.pull(ctx)
		if time.Since(swept) > sweepEvery {
			swept = time.Now()
			g.mu.Lock()
			g.table.Sweep(g.now())
			g.mu.Unlock()
		}
		timer := time.NewTimer(g.pace.next(g.now(), restEvery))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// enter takes over new epochs. Most changes of the agreed state bring none, and at a
// hundred boxes the list is long.
func (g *ClaimReplica) enter() {
	list := g.replica.View().Epochs
	if len(list) == 0 || list[len(list)-1].Number <= g.entered {
		return
	}
	g.entered = list[len(list)-1].Number
	var epochs []claim.Epoch
	for _, e := range list {
		next := claim.Epoch{Number: e.Number}
		for _, p := range e.Processes {
			next.Processes = append(next.Processes, claim.Process{ID: p.Id, Hall: p.Hall})
		}
		epochs = append(epochs, next)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.table.AdvanceEpoch(g.now(), epochs)
}

// Acquire claims a key for an attempt. Granted means that the attempt may call;
// Taken and OtherCall come with the claim that stands against it; NotReady
// means that no majority of the holders could be asked.
func (g *ClaimReplica) Acquire(ctx context.Context, key, attempt string, digest []byte) claim.Answer {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	answer := claim.Answer{Verdict: claim.NotReady}
	for ctx.Err() == nil {
		answer = g.askAll(ctx, key, attempt, digest)
		if answer.Verdict != claim.NotReady {
			break
		}
		wait.For(ctx, againPause)
	}
	g.meters.Count(meter.Claims, string(answer.Verdict)).Inc()
	switch answer.Verdict {
	case claim.Granted:
	case claim.NotReady:
		go g.Release(key, attempt) // the refusal must not wait for holders that are gone
	default:
		g.Release(key, attempt)
	}
	return answer
}

func (g *ClaimReplica) holders(key string) (holders []string, epoch uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.table.Current()
	if c == nil {
		return nil, 0
	}
	return c.Holders(claim.SlotOf(key)), c.Number
}

// askAll asks all holders of one epoch at once and returns as soon as a
// majority has granted.
func (g *ClaimReplica) askAll(ctx context.Context, key, attempt string, digest []byte) claim.Answer {
	holders, epoch := g.holders(key)
	answers := make(chan claim.Answer, len(holders))
	for _, h := range holders {
		go func() { answers <- g.ask(ctx, h, key, attempt, digest, epoch) }()
	}
	granted := 0
	against := claim.Answer{Verdict: claim.NotReady}
	for range holders {
		a := <-answers
		switch a.Verdict {
		case claim.Granted:
			granted++
		case claim.Taken, claim.OtherCall:
			if against.Conflict == nil || against.Conflict.Result == nil {
				against = a
			}
		}
		if granted >= claim.Majority(len(holders)) {
			return claim.Answer{Verdict: claim.Granted, Epoch: epoch}
		}
	}
	return against
}

func (g *ClaimReplica) ask(ctx context.Context, holder, key, attempt string, digest []byte, epoch uint64) claim.Answer {
	if holder == g.self {
		g.mu.Lock()
		defer g.mu.Unlock()
		return g.table.Acquire(g.now(), key, attempt, digest, epoch)
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	response, err := g.caller.Call(ctx, wire.BoxOf(holder), &wire.Request{Kind: &wire.Request_Claim{Claim: &wire.Claim{
		Process: holder, Key: key, Attempt: attempt, Digest: digest, Epoch: epoch,
	}}})
	if err != nil || response.GetClaim() == nil {
		return claim.Answer{Verdict: claim.NotReady}
	}
	a := response.GetClaim()
	answer := claim.Answer{Verdict: claim.Verdict(a.Verdict), Epoch: a.Epoch}
	if a.Other != nil {
		answer.Conflict = g.fromRecord(a.Other)
	}
	return answer
}

// Release gives up a claim whose attempt has not called and never will. What
// does not reach a holder ends by age.
func (g *ClaimReplica) Release(key, attempt string) {
	g.endAll(&wire.ClaimEnd{Key: key, Attempt: attempt})
}

// Record keeps how the call ended with a majority of the holders, as far as
// they can be reached in time.
func (g *ClaimReplica) Record(key, attempt string, digest []byte, r *claim.Result) {
	result := &wire.CallResult{Outcome: r.Outcome, Status: uint32(r.Status), Header: r.Header, Body: r.Body}
	if len(r.Body) > keepBody {
		result.Header, result.Body, result.Outcome = nil, nil, OutcomeTooLarge
	}
	g.endAll(&wire.ClaimEnd{Key: key, Attempt: attempt, Digest: digest, Result: result})
}

// OutcomeTooLarge marks a call that was done, whose answer is too large to keep.
const OutcomeTooLarge = "done-too-large"

// endAll tells all holders, and returns when a majority has taken it.
func (g *ClaimReplica) endAll(e *wire.ClaimEnd) {
	holders, _ := g.holders(e.Key)
	done := make(chan bool, len(holders))
	for _, h := range holders {
		go func() { done <- g.end(h, e) }()
	}
	took := 0
	for range holders {
		if <-done {
			took++
		}
		if took >= claim.Majority(len(holders)) {
			return
		}
	}
}

func (g *ClaimReplica) end(holder string, e *wire.ClaimEnd) bool {
	if holder == g.self {
		g.noteEnd(e)
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	_, err := g.caller.Call(ctx, wire.BoxOf(holder), &wire.Request{Kind: &wire.Request_ClaimEnd{ClaimEnd: e}})
	return err == nil
}

func (g *ClaimReplica) noteEnd(e *wire.ClaimEnd) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if e.Result == nil {
		g.table.Release(e.Key, e.Attempt)
		return
	}
	g.table.RecordResult(g.now(), e.Key, e.Attempt, e.Digest, fromResult(e.Result))
}

// pull asks for what this box still has to take over, one question a holder.
func (g *ClaimReplica) pull(ctx context.Context) {
	g.mu.Lock()
	pulls := g.pace.due(g.now(), g.table.PendingPulls(g.now()))
	g.mu.Unlock()
	byHolder := map[string][]*wire.SlotPull{}
	for _, p := range pulls {
		for _, from := range p.From {
			byHolder[from] = append(byHolder[from], &wire.SlotPull{Slot: uint32(p.Slot), Epoch: p.Epoch})
		}
	}
	var wg sync.WaitGroup
	for holder, slots := range byHolder {
		wg.Go(func() { g.pullFrom(ctx, holder, slots) })
	}
	wg.Wait()
}

func (g *ClaimReplica) pullFrom(ctx context.Context, holder string, slots []*wire.SlotPull) {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	response, err := g.caller.Call(ctx, wire.BoxOf(holder), &wire.Request{Kind: &wire.Request_ClaimPull{ClaimPull: &wire.ClaimPull{Process: holder, Slots: slots}}})
	if err != nil || response.GetClaimHandOver() == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range response.GetClaimHandOver().Slots {
		var claims []*claim.Claim
		for _, r := range s.Claims {
			claims = append(claims, g.fromRecord(r))
		}
		g.table.ImportClaims(int(s.Slot), s.Epoch, holder, claims)
	}
}

// HandleRequest answers another box; nil when the request is none of this package's.
func (g *ClaimReplica) HandleRequest(r *wire.Request) *wire.Response {
	switch k := r.Kind.(type) {
	case *wire.Request_Claim:
		return &wire.Response{Kind: &wire.Response_Claim{Claim: g.answerClaim(k.Claim)}}
	case *wire.Request_ClaimEnd:
		g.noteEnd(k.ClaimEnd)
		return &wire.Response{Kind: &wire.Response_ClaimEnd{ClaimEnd: &wire.ClaimEndAnswer{}}}
	case *wire.Request_ClaimPull:
		return &wire.Response{Kind: &wire.Response_ClaimHandOver{ClaimHandOver: g.handOver(k.ClaimPull)}}
	}
	return nil
}

func (g *ClaimReplica) answerClaim(c *wire.Claim) *wire.ClaimAnswer {
	if c.Process != g.self {
		return &wire.ClaimAnswer{Verdict: string(claim.OtherEpoch)}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	a := g.table.Acquire(g.now(), c.Key, c.Attempt, c.Digest, c.Epoch)
	answer := &wire.ClaimAnswer{Verdict: string(a.Verdict), Epoch: a.Epoch}
	if a.Conflict != nil {
		answer.Other = g.toRecord(a.Conflict)
	}
	return answer
}

func (g *ClaimReplica) handOver(p *wire.ClaimPull) *wire.ClaimHandOver {
	over := &wire.ClaimHandOver{}
	if p.Process != g.self {
		return over
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range p.Slots {
		claims, ok := g.table.ExportClaims(g.now(), int(s.Slot), s.Epoch)
		if !ok {
			continue
		}
		row := &wire.SlotClaims{Slot: s.Slot, Epoch: s.Epoch}
		for _, c := range claims {
			row.Claims = append(row.Claims, g.toRecord(c))
		}
		over.Slots = append(over.Slots, row)
	}
	return over
}

// HandedOver reports whether no slot is held by this box any more, nor being
// waited for: the next holders of every slot that it held are ready. It asks
// nobody; a planned stop waits a little for the others to pull.
func (g *ClaimReplica) HandedOver() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.table.Current()
	return c == nil || !slices.ContainsFunc(c.Processes, func(p claim.Process) bool { return p.ID == g.self })
}

func (g *ClaimReplica) toRecord(c *claim.Claim) *wire.ClaimRecord {
	r := &wire.ClaimRecord{Key: c.Key, Attempt: c.Attempt, Digest: c.Digest, AgeMs: uint32((g.now() - c.CreatedAt).Milliseconds())}
	if c.Result != nil {
		r.Result = &wire.CallResult{Outcome: c.Result.Outcome, Status: uint32(c.Result.Status), Header: c.Result.Header, Body: c.Result.Body}
	}
	return r
}

func (g *ClaimReplica) fromRecord(r *wire.ClaimRecord) *claim.Claim {
	c := &claim.Claim{Key: r.Key, Attempt: r.Attempt, Digest: r.Digest, CreatedAt: g.now() - time.Duration(r.AgeMs)*time.Millisecond}
	if r.Result != nil {
		c.Result = fromResult(r.Result)
	}
	return c
}

func fromResult(r *wire.CallResult) *claim.Result {
	return &claim.Result{Outcome: r.Outcome, Status: int(r.Status), Header: r.Header, Body: r.Body}
}

// AgeOf returns how long ago a claim was made.
func (g *ClaimReplica) AgeOf(c *claim.Claim) time.Duration { return g.now() - c.CreatedAt }
