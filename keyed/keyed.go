// Package keyed implements the claims of package claim across boxes: it requests claims from the holders of a
// key, answers the requests of other boxes, and transfers the claims of slots when the list of boxes changes.
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
	// requestTimeout bounds one request to one holder.
	requestTimeout = 400 * time.Millisecond
	// retryDelay is the delay before the holders are asked again after a change of the list of boxes.
	retryDelay = 20 * time.Millisecond
	// acquireTimeout bounds all requests for one claim.
	acquireTimeout = 1500 * time.Millisecond
	// recordTimeout bounds the wait until a majority has stored a result.
	recordTimeout = 500 * time.Millisecond
	// pullInterval is the maximum time between two checks for slots that remain to be transferred to this box.
	pullInterval = time.Second
	// sweepInterval is the time between two removals of expired claims.
	sweepInterval = 10 * time.Second
	// maxStoredBody is the size in bytes of the largest response body that is stored.
	maxStoredBody = 64 << 10
)

// PeerClient sends requests to other boxes.
type PeerClient interface {
	Call(ctx context.Context, box string, r *wire.Request) (*wire.Response, error)
}

// ClaimReplica stores the claims whose slots this box holds, and coordinates this box's own claims with their
// holders.
type ClaimReplica struct {
	self    string // process ID
	replica *replica.Replica
	peers   PeerClient
	meters  *meter.Meters

	mu    sync.Mutex
	table *claim.Table

	lastEpoch uint64      // newest epoch of the table; used only by Run
	backoff   pullBackoff // used only by Run
}

// New returns the claim replica of a process. Run must be called to start it.
func New(self string, r *replica.Replica, peers PeerClient, meters *meter.Meters) *ClaimReplica {
	return &ClaimReplica{self: self, replica: r, peers: peers, meters: meters, table: claim.NewTable(self), backoff: pullBackoff{}}
}

func (cr *ClaimReplica) now() time.Duration { return cr.replica.Now() }

// Run follows the list of boxes and pulls the claims of new slots, until the context is done.
func (cr *ClaimReplica) Run(ctx context.Context) {
	swept := time.Now()
	for ctx.Err() == nil {
		changed := cr.replica.Changed()
		cr.advanceEpoch()
		cr.pullSlots(ctx)
		if time.Since(swept) > sweepInterval {
			swept = time.Now()
			cr.mu.Lock()
			cr.table.Sweep(cr.now())
			cr.mu.Unlock()
		}
		timer := time.NewTimer(cr.backoff.untilNext(cr.now(), pullInterval))
		select {
		case <-changed:
		case <-timer.C:
		case <-ctx.Done():
		}
		timer.Stop()
	}
}

// advanceEpoch applies new epochs to the table. Most changes of the replicated state contain none, and with a
// hundred boxes the list is long, so it is converted only if it has a new epoch.
func (cr *ClaimReplica) advanceEpoch() {
	list := cr.replica.View().Epochs
	if len(list) == 0 || list[len(list)-1].Number <= cr.lastEpoch {
		return
	}
	cr.lastEpoch = list[len(list)-1].Number
	var epochs []claim.Epoch
	for _, e := range list {
		next := claim.Epoch{Number: e.Number}
		for _, p := range e.Processes {
			next.Processes = append(next.Processes, claim.Process{ID: p.Id, Hall: p.Hall})
		}
		epochs = append(epochs, next)
	}
	cr.mu.Lock()
	defer cr.mu.Unlock()
	cr.table.AdvanceEpoch(cr.now(), epochs)
}

// Acquire claims a key for an attempt. Granted means that the attempt may start the call; Taken and OtherCall
// include the conflicting claim; NotReady means that no majority of the holders could be reached.
func (cr *ClaimReplica) Acquire(ctx context.Context, key, attempt string, digest []byte) claim.Answer {
	ctx, cancel := context.WithTimeout(ctx, acquireTimeout)
	defer cancel()
	answer := claim.Answer{Verdict: claim.NotReady}
	for ctx.Err() == nil {
		answer = cr.acquireFromHolders(ctx, key, attempt, digest)
		if answer.Verdict != claim.NotReady {
			break
		}
		wait.For(ctx, retryDelay)
	}
	cr.meters.Count(meter.Claims, string(answer.Verdict)).Inc()
	switch answer.Verdict {
	case claim.Granted:
	case claim.NotReady:
		go cr.Release(key, attempt) // the refusal must not wait for unreachable holders
	default:
		cr.Release(key, attempt)
	}
	return answer
}

// holders returns the holders of a key and the current epoch.
func (cr *ClaimReplica) holders(key string) (holders []string, epoch uint64) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	c := cr.table.Current()
	if c == nil {
		return nil, 0
	}
	return c.Holders(claim.SlotOf(key)), c.Number
}

// acquireFromHolders requests the claim from all holders of one epoch in parallel and returns as soon as a majority
// has granted it.
func (cr *ClaimReplica) acquireFromHolders(ctx context.Context, key, attempt string, digest []byte) claim.Answer {
	holders, epoch := cr.holders(key)
	answers := make(chan claim.Answer, len(holders))
	for _, h := range holders {
		go func() { answers <- cr.acquireFrom(ctx, h, key, attempt, digest, epoch) }()
	}
	granted := 0
	conflict := claim.Answer{Verdict: claim.NotReady}
	for range holders {
		a := <-answers
		switch a.Verdict {
		case claim.Granted:
			granted++
		case claim.Taken, claim.OtherCall:
			if conflict.Conflict == nil || conflict.Conflict.Result == nil {
				conflict = a
			}
		}
		if granted >= claim.Majority(len(holders)) {
			return claim.Answer{Verdict: claim.Granted, Epoch: epoch}
		}
	}
	return conflict
}

func (cr *ClaimReplica) acquireFrom(ctx context.Context, holder, key, attempt string, digest []byte, epoch uint64) claim.Answer {
	if holder == cr.self {
		cr.mu.Lock()
		defer cr.mu.Unlock()
		return cr.table.Acquire(cr.now(), key, attempt, digest, epoch)
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	response, err := cr.peers.Call(ctx, wire.BoxOf(holder), &wire.Request{Kind: &wire.Request_Claim{Claim: &wire.Claim{
		Process: holder, Key: key, Attempt: attempt, Digest: digest, Epoch: epoch,
	}}})
	if err != nil || response.GetClaim() == nil {
		return claim.Answer{Verdict: claim.NotReady}
	}
	a := response.GetClaim()
	answer := claim.Answer{Verdict: claim.Verdict(a.Verdict), Epoch: a.Epoch}
	if a.Other != nil {
		answer.Conflict = cr.fromRecord(a.Other)
	}
	return answer
}

// Release releases a claim whose attempt has not started the call and never will. Where a holder is not reached,
// the claim expires.
func (cr *ClaimReplica) Release(key, attempt string) {
	cr.sendEnd(&wire.ClaimEnd{Key: key, Attempt: attempt})
}

// Record stores the result of the call at a majority of the holders, as far as they can be reached in time.
func (cr *ClaimReplica) Record(key, attempt string, digest []byte, r *claim.Result) {
	result := &wire.CallResult{Outcome: r.Outcome, Status: uint32(r.Status), Header: r.Header, Body: r.Body}
	if len(r.Body) > maxStoredBody {
		result.Header, result.Body, result.Outcome = nil, nil, OutcomeTooLarge
	}
	cr.sendEnd(&wire.ClaimEnd{Key: key, Attempt: attempt, Digest: digest, Result: result})
}

// OutcomeTooLarge marks a call that completed, but whose response is too large to store.
const OutcomeTooLarge = "done-too-large"

// sendEnd sends the end of a claim to all holders and returns when a majority has acknowledged it.
func (cr *ClaimReplica) sendEnd(e *wire.ClaimEnd) {
	holders, _ := cr.holders(e.Key)
	done := make(chan bool, len(holders))
	for _, h := range holders {
		go func() { done <- cr.sendEndTo(h, e) }()
	}
	acknowledged := 0
	for range holders {
		if <-done {
			acknowledged++
		}
		if acknowledged >= claim.Majority(len(holders)) {
			return
		}
	}
}

func (cr *ClaimReplica) sendEndTo(holder string, e *wire.ClaimEnd) bool {
	if holder == cr.self {
		cr.recordEnd(e)
		return true
	}
	ctx, cancel := context.WithTimeout(context.Background(), recordTimeout)
	defer cancel()
	_, err := cr.peers.Call(ctx, wire.BoxOf(holder), &wire.Request{Kind: &wire.Request_ClaimEnd{ClaimEnd: e}})
	return err == nil
}

func (cr *ClaimReplica) recordEnd(e *wire.ClaimEnd) {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	if e.Result == nil {
		cr.table.Release(e.Key, e.Attempt)
		return
	}
	cr.table.RecordResult(cr.now(), e.Key, e.Attempt, e.Digest, fromResult(e.Result))
}

// pullSlots requests the claims of the slots that are due, with one request per holder.
func (cr *ClaimReplica) pullSlots(ctx context.Context) {
	cr.mu.Lock()
	pulls := cr.backoff.due(cr.now(), cr.table.PendingPulls(cr.now()))
	cr.mu.Unlock()
	byHolder := map[string][]*wire.SlotPull{}
	for _, p := range pulls {
		for _, from := range p.From {
			byHolder[from] = append(byHolder[from], &wire.SlotPull{Slot: uint32(p.Slot), Epoch: p.Epoch})
		}
	}
	var wg sync.WaitGroup
	for holder, slots := range byHolder {
		wg.Go(func() { cr.pullFrom(ctx, holder, slots) })
	}
	wg.Wait()
}

func (cr *ClaimReplica) pullFrom(ctx context.Context, holder string, slots []*wire.SlotPull) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	response, err := cr.peers.Call(ctx, wire.BoxOf(holder), &wire.Request{Kind: &wire.Request_ClaimPull{ClaimPull: &wire.ClaimPull{Process: holder, Slots: slots}}})
	if err != nil || response.GetClaimHandOver() == nil {
		return
	}
	cr.mu.Lock()
	defer cr.mu.Unlock()
	for _, s := range response.GetClaimHandOver().Slots {
		var claims []*claim.Claim
		for _, r := range s.Claims {
			claims = append(claims, cr.fromRecord(r))
		}
		cr.table.ImportClaims(int(s.Slot), s.Epoch, holder, claims)
	}
}

// HandleRequest answers a request of another box. It returns nil if the request is not for this package.
func (cr *ClaimReplica) HandleRequest(r *wire.Request) *wire.Response {
	switch k := r.Kind.(type) {
	case *wire.Request_Claim:
		return &wire.Response{Kind: &wire.Response_Claim{Claim: cr.handleClaim(k.Claim)}}
	case *wire.Request_ClaimEnd:
		cr.recordEnd(k.ClaimEnd)
		return &wire.Response{Kind: &wire.Response_ClaimEnd{ClaimEnd: &wire.ClaimEndAnswer{}}}
	case *wire.Request_ClaimPull:
		return &wire.Response{Kind: &wire.Response_ClaimHandOver{ClaimHandOver: cr.exportSlots(k.ClaimPull)}}
	}
	return nil
}

func (cr *ClaimReplica) handleClaim(c *wire.Claim) *wire.ClaimAnswer {
	if c.Process != cr.self {
		return &wire.ClaimAnswer{Verdict: string(claim.OtherEpoch)}
	}
	cr.mu.Lock()
	defer cr.mu.Unlock()
	a := cr.table.Acquire(cr.now(), c.Key, c.Attempt, c.Digest, c.Epoch)
	answer := &wire.ClaimAnswer{Verdict: string(a.Verdict), Epoch: a.Epoch}
	if a.Conflict != nil {
		answer.Other = cr.toRecord(a.Conflict)
	}
	return answer
}

func (cr *ClaimReplica) exportSlots(p *wire.ClaimPull) *wire.ClaimHandOver {
	answer := &wire.ClaimHandOver{}
	if p.Process != cr.self {
		return answer
	}
	cr.mu.Lock()
	defer cr.mu.Unlock()
	for _, s := range p.Slots {
		claims, ok := cr.table.ExportClaims(cr.now(), int(s.Slot), s.Epoch)
		if !ok {
			continue
		}
		slotClaims := &wire.SlotClaims{Slot: s.Slot, Epoch: s.Epoch}
		for _, c := range claims {
			slotClaims.Claims = append(slotClaims.Claims, cr.toRecord(c))
		}
		answer.Slots = append(answer.Slots, slotClaims)
	}
	return answer
}

// HandedOver reports whether this box holds no slot any more and is not needed as a source of one: the next holders
// of all its slots are ready. It sends no requests; a planned stop waits a short time for the others to pull.
func (cr *ClaimReplica) HandedOver() bool {
	cr.mu.Lock()
	defer cr.mu.Unlock()
	c := cr.table.Current()
	return c == nil || !slices.ContainsFunc(c.Processes, func(p claim.Process) bool { return p.ID == cr.self })
}

func (cr *ClaimReplica) toRecord(c *claim.Claim) *wire.ClaimRecord {
	r := &wire.ClaimRecord{Key: c.Key, Attempt: c.Attempt, Digest: c.Digest, AgeMs: uint32((cr.now() - c.CreatedAt).Milliseconds())}
	if c.Result != nil {
		r.Result = &wire.CallResult{Outcome: c.Result.Outcome, Status: uint32(c.Result.Status), Header: c.Result.Header, Body: c.Result.Body}
	}
	return r
}

func (cr *ClaimReplica) fromRecord(r *wire.ClaimRecord) *claim.Claim {
	c := &claim.Claim{Key: r.Key, Attempt: r.Attempt, Digest: r.Digest, CreatedAt: cr.now() - time.Duration(r.AgeMs)*time.Millisecond}
	if r.Result != nil {
		c.Result = fromResult(r.Result)
	}
	return c
}

func fromResult(r *wire.CallResult) *claim.Result {
	return &claim.Result{Outcome: r.Outcome, Status: int(r.Status), Header: r.Header, Body: r.Body}
}

// AgeOf returns the time since a claim was made.
func (cr *ClaimReplica) AgeOf(c *claim.Claim) time.Duration { return cr.now() - c.CreatedAt }
