package entry

import (
	"context"
	"errors"
	"math/bits"
	"net/http"
	"sync"
	"time"

	"leverdrum/proxy"
	"leverdrum/reason"
)

const (
	// An attempt times out after timeoutFactor times the mean duration, or timeoutDeviations mean
	// deviations above the mean, whichever is longer.
	timeoutFactor     = 4
	timeoutDeviations = 8
	// minTimeout keeps short requests from being abandoned because of a brief hiccup.
	minTimeout = 50 * time.Millisecond
	// latencyWeight is the weight of the newest response in the moving averages.
	latencyWeight = 0.05
	// retriesOfSlow is the number of retries that an attempt takes that is abandoned as slow: at another server, and at the
	// slow one again if that fails. With fewer, the caller may get the failure in place of the slow response.
	retriesOfSlow = 2
)

var errSlow = errors.New("the backend server took far longer than usual")

// callKind groups calls with a similar time to the beginning of the response.
type callKind struct {
	target, method string
	// size is the bit length of the quantity that the duration grows with: the requested tokens, or
	// the length of a service call's body. Streams leave it 0, because they begin with their first
	// token.
	size int
}

// serviceCallKind returns the kind of a service call. All uncommon methods are one kind: callers
// choose the method and could otherwise fill the box's memory with kinds.
func serviceCallKind(name, method string, bodyLength int) callKind {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions:
	default:
		method = ""
	}
	return callKind{"/" + name, method, bits.Len(uint(bodyLength))}
}

// latencyEstimate holds moving averages of a kind's latency.
type latencyEstimate struct{ mean, deviation time.Duration }

// latencyTracker estimates the time to the beginning of the response per kind of call. An attempt that
// takes far longer is abandoned, once per request, while there is time to try another server.
// Abandoned attempts count with the time that they took, so that the timeouts grow when all servers
// are slow.
type latencyTracker struct {
	mu        sync.Mutex
	estimates map[callKind]*latencyEstimate
}

func newLatencyTracker() *latencyTracker {
	return &latencyTracker{estimates: map[callKind]*latencyEstimate{}}
}

// timeout returns how long an attempt may take, 0 if there is no estimate.
func (t *latencyTracker) timeout(k callKind) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	estimate := t.estimates[k]
	if estimate == nil {
		return 0
	}
	return max(timeoutFactor*estimate.mean, estimate.mean+timeoutDeviations*estimate.deviation, minTimeout)
}

func (t *latencyTracker) record(k callKind, took time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	estimate := t.estimates[k]
	if estimate == nil {
		t.estimates[k] = &latencyEstimate{mean: took}
		return
	}
	off := took - estimate.mean
	estimate.mean += time.Duration(latencyWeight * float64(off))
	estimate.deviation += time.Duration(latencyWeight * float64(off.Abs()-estimate.deviation))
}

// sendWithTimeout sends an attempt. It abandons the attempt if it takes too long, provided that a
// retry is permitted and would have the usual time left.
func (e *Entry) sendWithTimeout(ctx context.Context, j *job, a *proxy.Attempt) (*proxy.Response, *proxy.Failure) {
	startedAt := time.Now()
	timeout := e.latencies.timeout(j.kind)
	canGiveUp := timeout > 0 && j.repeatable && j.attempts == 1 && len(j.target.Backends) > 1
	if !canGiveUp || startedAt.Add(timeout+timeout/timeoutFactor).After(j.deadline()) {
		response, failure := e.opts.Sender.Send(ctx, a)
		if failure == nil {
			e.latencies.record(j.kind, time.Since(startedAt))
		}
		return response, failure
	}
	// The response body is read under the same context, so this is a cancellation that stops applying
	// once the response begins, not a deadline.
	ctx, giveUp := context.WithCancelCause(ctx)
	timer := time.AfterFunc(timeout, func() {
		if e.budget.permits(retriesOfSlow) {
			giveUp(errSlow)
		}
	})
	response, failure := e.opts.Sender.Send(ctx, a)
	timer.Stop()
	if failure != nil && errors.Is(context.Cause(ctx), errSlow) {
		failure = &proxy.Failure{Outcome: reason.Unknown, Reason: reason.BackendTimeout, Cause: errSlow}
	}
	if failure == nil || errors.Is(failure.Cause, errSlow) {
		e.latencies.record(j.kind, time.Since(startedAt))
	}
	return response, failure
}
