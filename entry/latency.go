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
	// patienceFactor is how many times the usual time an attempt may take, and
	// patienceDeviations how many of the usual deviations beyond it.
	patienceFactor     = 4
	patienceDeviations = 8
	// minPatience keeps short answers from being given up for a hiccup.
	minPatience = 50 * time.Millisecond
	// patienceWeight is the weight of the newest answer in the usual time.
	patienceWeight = 0.05
)

var errSlow = errors.New("the backend server takes far longer than usual")

// kindOfCall groups calls that usually take about the same time to begin to be
// answered.
type kindOfCall struct {
	target, method string
	// size is the length in bits of what the time grows with: of the tokens asked
	// for, or of a service call's body; a stream begins with its first token.
	size int
}

// kindOfService returns the kind of a service call. Methods beyond the common ones
// are one kind: callers choose the word, and must not fill a box's memory with it.
func kindOfService(name, method string, bodyLength int) kindOfCall {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions:
	default:
		method = ""
	}
	return kindOfCall{"/" + name, method, bits.Len(uint(bodyLength))}
}

// usual is how long a kind of call takes.
type usual struct{ mean, deviation time.Duration }

// patience knows how long answers of each kind usually take to begin. An
// attempt that takes far longer is given up, once a request, while there is time
// to ask another server. Given up attempts count with the time that they had, so
// that patience grows when all servers are slow.
type patience struct {
	mu   sync.Mutex
	kind map[kindOfCall]*usual
}

func newPatience() *patience { return &patience{kind: map[kindOfCall]*usual{}} }

// limit returns how long an attempt may take, 0 when nothing is known.
func (p *patience) limit(k kindOfCall) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.kind[k]
	if u == nil {
		return 0
	}
	return max(patienceFactor*u.mean, u.mean+patienceDeviations*u.deviation, minPatience)
}

func (p *patience) learn(k kindOfCall, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	u := p.kind[k]
	if u == nil {
		p.kind[k] = &usual{mean: took}
		return
	}
	off := took - u.mean
	u.mean += time.Duration(patienceWeight * float64(off))
	u.deviation += time.Duration(patienceWeight * float64(off.Abs()-u.deviation))
}

// sendPatiently makes an attempt, and gives it up when it takes too long and
// another one is allowed and would have the usual time.
func (e *Entry) sendPatiently(ctx context.Context, j *job, a *proxy.Attempt) (*proxy.Response, *proxy.Failure) {
	began := time.Now()
	limit := e.patience.limit(j.kind)
	may := limit > 0 && j.repeatable && j.tries == 1 && len(j.target.Backends) > 1
	if !may || began.Add(limit+limit/patienceFactor).After(j.deadline()) {
		answer, failure := e.opts.Sender.Send(ctx, a)
		if failure == nil {
			e.patience.learn(j.kind, time.Since(began))
		}
		return answer, failure
	}
	// The answer's body is read under the same context, so its end is not a
	// deadline but a call that is called off once the answer has begun.
	ctx, giveUp := context.WithCancelCause(ctx)
	timer := time.AfterFunc(limit, func() {
		if e.budget.left() {
			giveUp(errSlow)
		}
	})
	answer, failure := e.opts.Sender.Send(ctx, a)
	timer.Stop()
	if failure != nil && errors.Is(context.Cause(ctx), errSlow) {
		failure = &proxy.Failure{Outcome: reason.Unknown, Reason: reason.BackendLate, Cause: errSlow}
	}
	if failure == nil || errors.Is(failure.Cause, errSlow) {
		e.patience.learn(j.kind, time.Since(began))
	}
	return answer, failure
}
