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

// ClaimStore stores the claims on the keys of calls that may run at most once; package keyed
// implements it.
type ClaimStore interface {
	Acquire(ctx context.Context, key, attempt string, digest []byte) claim.Answer
	Record(key, attempt string, digest []byte, r *claim.Result)
	Release(key, attempt string)
	AgeOf(c *claim.Claim) time.Duration
}

// runningGrace is the time after its deadline for which a call without a result is still reported as
// running; after that its outcome is unknown.
const runningGrace = 2 * time.Second

// claimKey returns the key of a call that may run at most once, "" if it has none.
func claimKey(r *http.Request, j *job) string {
	if j.repeatable {
		return ""
	}
	key := r.Header.Get(j.target.Service.KeyHeader)
	if key == "" {
		return ""
	}
	return claimName(j.target.Name, j.owner, key)
}

// claimName returns the name of a claim. It contains the workspace, so that a key of one workspace
// never matches a call of another.
func claimName(target string, owner *workspace.Workspace, key string) string {
	if owner == nil {
		return target + "\n" + key
	}
	return target + "\n" + owner.Name + "\n" + key
}

func requestDigest(a *proxy.Attempt) []byte {
	h := sha256.New()
	h.Write([]byte(a.Method + "\n" + a.Path + "\n"))
	h.Write(a.Body)
	return h.Sum(nil)
}

// serveKeyed acquires the claim on the call's key, sends the call and records the response for later
// calls with the same key. The call continues if the caller hangs up, so that its result is recorded.
func (e *Entry) serveKeyed(w http.ResponseWriter, r *http.Request, j *job) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(r.Context()), j.deadline())
	defer cancel()
	defer e.opts.Shutdown.OnEnd(cancel)()
	attempt, digest := rand.Text(), requestDigest(&j.attempt)
	answer := e.opts.Claims.Acquire(ctx, j.key, attempt, digest)
	if answer.Verdict != claim.Granted {
		e.answerExistingClaim(w, r, j, answer)
		return
	}
	res := e.endInterrupted(ctx, e.tryWithinQuota(ctx, j))
	if res.why != nil {
		e.recordClaimFailure(j, attempt, digest, res.why)
		e.refuseJob(w, j, res)
		return
	}
	e.opts.Claims.Record(j.key, attempt, digest, newClaimResult(res.response))
	e.writeResponse(ctx, w, r, j, res)
}

// recordClaimFailure releases the claim if the call did not run, and otherwise records that its
// outcome is unknown. A call blocked as a crasher has not run under this key: had an earlier call with
// the key run, its claim would have stopped this one earlier.
func (e *Entry) recordClaimFailure(j *job, attempt string, digest []byte, why *reason.Reason) {
	if why.Outcome == reason.NotRun || why == reason.CrashesServers {
		e.opts.Claims.Release(j.key, attempt)
		return
	}
	e.opts.Claims.Record(j.key, attempt, digest, &claim.Result{Outcome: string(why.Outcome)})
}

// undelimitedField marks a stored response whose end is unknown. It is a field that no response is stored with, and that a box
// which does not know it drops.
const undelimitedField = "Transfer-Encoding: identity"

// newClaimResult returns the result to store for a response. Responses that were not buffered are too
// large to store.
func newClaimResult(response *proxy.Response) *claim.Result {
	if response.BodyReader != nil {
		return &claim.Result{Outcome: keyed.OutcomeTooLarge, Status: response.Status}
	}
	var header bytes.Buffer
	if response.Undelimited {
		header.WriteString(undelimitedField + "\r\n")
	}
	if err := response.Header.Write(&header); err != nil {
		return &claim.Result{Outcome: keyed.OutcomeTooLarge, Status: response.Status}
	}
	return &claim.Result{Outcome: string(reason.Done), Status: response.Status, Header: header.Bytes(), Body: response.Body}
}

// answerExistingClaim answers a call whose key is claimed by another attempt.
func (e *Entry) answerExistingClaim(w http.ResponseWriter, r *http.Request, j *job, existing claim.Answer) {
	why := e.existingClaimReason(j, existing)
	if why != nil {
		e.refuseJob(w, j, result{why: why})
		return
	}
	stored, err := storedResponse(existing.Conflict.Result)
	if err != nil {
		e.refuseJob(w, j, result{why: reason.KeyUnknown, detail: err.Error()})
		return
	}
	w.Header().Set(HeaderReplayed, "true")
	outcome, undelimited := writeHeader(w, r, j, stored)
	// The error is ignored: a caller that hung up needs no answer.
	_, _ = w.Write(stored.Body)
	undelimited.Finish()
	e.finish(j, string(outcome), "replayed the response stored for its key")
}

// existingClaimReason returns why a call is refused, or nil if the stored response is to be replayed.
func (e *Entry) existingClaimReason(j *job, existing claim.Answer) *reason.Reason {
	switch {
	case existing.Verdict == claim.OtherCall:
		return reason.KeyMismatch
	case existing.Verdict != claim.Taken || existing.Conflict == nil:
		return reason.ClaimUnavailable
	case existing.Conflict.Result == nil && e.opts.Claims.AgeOf(existing.Conflict) < j.target.Class.Deadline+runningGrace:
		return reason.KeyInProgress
	case existing.Conflict.Result == nil || existing.Conflict.Result.Outcome == string(reason.Unknown):
		return reason.KeyUnknown
	case existing.Conflict.Result.Outcome == keyed.OutcomeTooLarge:
		return reason.KeyDone
	}
	return nil
}

var errStoredResponse = errors.New("cannot parse the stored response")

func storedResponse(r *claim.Result) (*proxy.Response, error) {
	lines := textproto.NewReader(bufio.NewReader(io.MultiReader(bytes.NewReader(r.Header), strings.NewReader("\r\n"))))
	header, err := lines.ReadMIMEHeader()
	if err != nil {
		return nil, errors.Join(errStoredResponse, err)
	}
	return &proxy.Response{Status: r.Status, Header: http.Header(header), Body: r.Body, Undelimited: header.Get("Transfer-Encoding") != ""}, nil
}
