package gateway

import (
	"errors"
	"math/rand/v2"
	"net/http"
	"time"

	"leverdrum/loadshare"
	"leverdrum/reason"
)

const (
	// repeatCost is the cost in milliseconds of one more attempt, in addition to its prefill.
	repeatCost = 100.0
	// boxProbeInterval is the mean time between the probes of all boxes to a server that is judged failing, in the whole
	// cluster.
	boxProbeInterval = 500 * time.Millisecond
	// maxProbeWait bounds the time since the last request that counts for a probe: it may have been before the server
	// began to fail.
	maxProbeWait = 10 * time.Second
)

// recordOutcome reports to the other boxes how an attempt ended.
func (l *attemptLoad) recordOutcome(failed bool) {
	if l != nil {
		l.source.RecordOutcome(l.server.id, failed)
	}
}

// recordBrokenOutcome records an attempt that failed without a usable response, or whose response broke off. What the
// caller, its deadline or this box ended is not counted, nor is what the server refused. A draining server may terminate at
// any time, so its failures say nothing.
func (j *job) recordBrokenOutcome(s *server, f *failure) {
	byServer := f.reason == reason.BackendUnreachable || f.reason == reason.BackendDisconnected
	byBox := f.unresponsive || errors.Is(f.cause, ErrConnectionLimit) || errors.Is(f.cause, ErrInBackoff)
	if _, draining := s.drainingFor(time.Now()); draining || !byServer || byBox || j.r.Context().Err() != nil || j.remaining() <= 0 {
		return
	}
	load := j.load
	j.g.links.vouch(func() { load.recordOutcome(true) })
}

// recordResponse records the status of a response: at its head if it is a failure, else at the first event. A 503 with a
// Retry-After states a backoff, which package pushback applies.
func (j *job) recordResponse(a *response, firstEvent bool) {
	failed := a.StatusCode >= http.StatusInternalServerError
	switch {
	case failed == firstEvent:
	case failed && j.g.opts.Dialect.ReadReport(a.StatusCode, a.Header, time.Now()).Backoff > 0:
	default:
		j.load.recordOutcome(failed)
	}
}

// failingCost returns the cost in milliseconds of a server that fails a share of its requests: of one more attempt
// with the given prefill where the request may be repeated, else of a request without a response.
func (w *criteria) failingCost(share, prefill float64) float64 {
	if w.repeatable {
		return share * (prefill + repeatCost)
	}
	return share * lateCost
}

// failingShares returns by how much the share of failures of each server exceeds the smallest one of the list, so that
// nothing changes where all servers fail alike; nil if none does.
func failingShares(list []*server, source LoadSource) (shares []float64) {
	least := 1.0
	for i, s := range list {
		share := source.FailingShare(s.id)
		least = min(least, share)
		if share > 0 && shares == nil {
			shares = make([]float64, len(list))
		}
		if shares != nil {
			shares[i] = share
		}
	}
	for i := range shares {
		shares[i] -= least
	}
	return shares
}

// judgedFailing reports whether all boxes avoid a server since it fails their requests.
func (w *criteria) judgedFailing(s *server) bool {
	return w.load != nil && w.load.FailingShare(s.id) >= loadshare.FailingFrom
}

// mayProbe reports whether the request may probe servers that are judged failing.
func (w *criteria) mayProbe() bool { return w.load != nil && w.repeatable && len(w.tried) == 0 }

// probesFailing reports whether a request may probe a server that is judged failing. A box probes with a likelihood that
// grows with the time since its last request that could have, so that all boxes together send one in boxProbeInterval on
// average, at random times, also where a box has a request for the server only every few seconds.
func (s *server) probesFailing(now time.Time, boxes int) bool {
	since := min(time.Duration(now.UnixNano()-s.probeSkippedAt.Swap(now.UnixNano())), maxProbeWait)
	mean := float64(boxes) * float64(boxProbeInterval)
	return rand.ExpFloat64()*mean < float64(since)
}
