package entry

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"leverdrum/claim"
	"leverdrum/keyed"
	"leverdrum/proxy"
	"leverdrum/reason"
	"leverdrum/workspace"
)

// ClaimStore guards keys, see package keyed.
type ClaimStore interface {
	Acquire(ctx context.Context, key, attempt string, digest []byte) claim.Answer
	Record(key, attempt string, digest []byte, r *claim.Result)
	Release(key, attempt string)
	AgeOf(c *claim.Claim) time.Duration
}

// runningSlack is how long behind its deadline a call without a result still
// counts as running rather than as unknown.
const runningSlack = 2 * time.Second

// keyOf returns the key of a call that may run at most once, "" without one.
func keyOf(r *http.Request, j *job) string {
	if j.repeatable {
		return ""
	}
	key := r.Header.Get(j.target.Service.KeyHeader)
	if key == "" {
		return ""
	}
	return keyName(j.target.Name, j.owner, key)
}

// keyName names a claim. One workspace's key never finds another's call.
func keyName(target string, owner *workspace.Workspace, key string) string {
	if owner == nil {
		return target + "\n" + key
	}
	return target + "\n" + owner.Name + "\n" + key
}

func digestOf(a *proxy.Attempt) []byte {
	h := sha256.New()
	h.Write([]byte(a.Method + "\n" + a.Path + "\n"))
	h.Write(a.Body)
	return h.Sum(nil)
}

// serveKeyed runs a call under its key: it claims the key, sends the call, and
// keeps the answer for those who ask again. The call goes on when the caller
// hangs up, so that its answer is known then.
func (e *Entry) serveKeyed(w http.ResponseWriter, r *http.Request, j *job) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), j.deadline())
	defer cancel()
	attempt, digest := rand.Text(), digestOf(&j.attempt)
	answer := e.opts.Claims.Acquire(ctx, j.key, attempt, digest)
	if answer.Verdict != claim.Granted {
		e.answerStanding(w, j, answer)
		return
	}
	res := e.tryWithinQuota(ctx, j)
	if res.why != nil {
		e.keepFailure(j, attempt, digest, res.why)
		e.giveUp(w, j, res)
		return
	}
	e.opts.Claims.Record(j.key, attempt, digest, resultOf(res.answer))
	e.pass(ctx, w, j, res)
}

// keepFailure releases the key if the call did not run, else records that its end is unknown. One that is kept from
// servers did not run under this key: under one by which it had, it would not have come so far.
func (e *Entry) keepFailure(j *job, attempt string, digest []byte, why *reason.Reason) {
	if why.Outcome == reason.NotRun || why == reason.CrashesServers {
		e.opts.Claims.Release(j.key, attempt)
		return
	}
	e.opts.Claims.Record(j.key, attempt, digest, &claim.Result{Outcome: string(why.Outcome)})
}

// resultOf is what is kept of an answer.
func resultOf(a *proxy.Response) *claim.Result {
	if a.BodyReader != nil {
		return &claim.Result{Outcome: keyed.OutcomeTooLarge, Status: a.Status}
	}
	var header bytes.Buffer
	if err := a.Header.Write(&header); err != nil {
		return &claim.Result{Outcome: keyed.OutcomeTooLarge, Status: a.Status}
	}
	return &claim.Result{Outcome: string(reason.Done), Status: a.Status, Header: header.Bytes(), Body: a.Body}
}

// answerStanding answers a call whose key is held by another attempt.
func (e *Entry) answerStanding(w http.ResponseWriter, j *job, a claim.Answer) {
	why := e.standingReason(j, a)
	if why != nil {
		e.giveUp(w, j, result{why: why})
		return
	}
	kept, err := keptAnswer(a.Conflict.Result)
	if err != nil {
		e.giveUp(w, j, result{why: reason.KeyUnknown, detail: err.Error()})
		return
	}
	w.Header().Set(HeaderReplayed, "true")
	outcome := setHead(w, j, kept)
	// A caller that has gone does not read its answer.
	_, _ = w.Write(kept.Body)
	e.finished(j, string(outcome), "the answer kept under its key")
}

// standingReason says why a call gets no answer, nil when the kept one is to be
// given.
func (e *Entry) standingReason(j *job, a claim.Answer) *reason.Reason {
	switch {
	case a.Verdict == claim.OtherCall:
		return reason.KeyMismatch
	case a.Verdict != claim.Taken || a.Conflict == nil:
		return reason.ClaimUnavailable
	case a.Conflict.Result == nil && e.opts.Claims.AgeOf(a.Conflict) < j.target.Class.Deadline+runningSlack:
		return reason.KeyInProgress
	case a.Conflict.Result == nil || a.Conflict.Result.Outcome == string(reason.Unknown):
		return reason.KeyUnknown
	case a.Conflict.Result.Outcome == keyed.OutcomeTooLarge:
		return reason.KeyDone
	}
	return nil
}

var errKept = errors.New("the kept answer cannot be read")

func keptAnswer(r *claim.Result) (*proxy.Response, error) {
	lines := textproto.NewReader(bufio.NewReader(io.MultiReader(bytes.NewReader(r.Header), strings.NewReader("\r\n"))))
	header, err := lines.ReadMIMEHeader()
	if err != nil {
		return nil, errors.Join(errKept, err)
	}
	return &proxy.Response{Status: r.Status, Header: http.Header(header), Body: r.Body}, nil
}
