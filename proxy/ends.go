package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"leverdrum/internal/framing"
	"leverdrum/internal/liveness"
	"leverdrum/internal/wait"
	"leverdrum/reason"
)

const (
	// maxProbeAttempts bounds the connections that one probe of a server opens, and probeRetryInterval is the time between two.
	maxProbeAttempts   = 3
	probeRetryInterval = 20 * time.Millisecond
)

// ErrEndUnknown means that a response ended with its connection, without a length or chunks, and nothing shows that its server
// went on.
var ErrEndUnknown = Error.New("the response ended with its connection, without a length or chunks, and nothing shows that its server went on")

// ErrServerEnded means that such a response ended, and its server has ended, too.
var ErrServerEnded = Error.New("the response ended with its connection, without a length or chunks, and its server has ended")

// EndObserver is told how a response of a backend server ended, and what was found of the server in which time.
type EndObserver func(end framing.End, evidence liveness.Evidence, waited time.Duration)

// judgeEnd returns an error if a body that was read to its end is not known to be complete (3).
func (r *Response) judgeEnd() error {
	if !r.Undelimited {
		r.observeEnd(framing.Judge(true, io.EOF, nil), liveness.None, 0)
		return nil
	}
	return r.judgeUndelimitedEnd()
}

func (r *Response) judgeUndelimitedEnd() error {
	began, evidence := time.Now(), liveness.None
	end := framing.Judge(false, io.EOF, func() liveness.Evidence {
		evidence = r.awaitEvidence()
		return evidence
	})
	r.observeEnd(end, evidence, time.Since(began))
	switch end {
	case framing.Confirmed:
		return nil
	case framing.Truncated:
		return ErrServerEnded
	}
	return ErrEndUnknown
}

func (r *Response) observeEnd(end framing.End, evidence liveness.Evidence, waited time.Duration) {
	if r.observe != nil {
		r.observe(end, evidence, waited)
	}
}

// probe opens a connection to a server and holds it until the context ends. No request is sent: the own interface knows none
// that all servers answer.
func probe(address string) liveness.Probe {
	return func(ctx context.Context) liveness.Evidence {
		for range maxProbeAttempts {
			c, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", address)
			switch {
			case errors.Is(err, syscall.ECONNREFUSED):
				return liveness.Ended
			case err == nil && staysOpen(ctx, c):
				return liveness.Open
			}
			if !wait.For(ctx, probeRetryInterval) {
				break
			}
		}
		return liveness.None
	}
}

// staysOpen closes a connection at the end of the context and reports whether it was open until then.
func staysOpen(ctx context.Context, c net.Conn) bool {
	defer c.Close()
	deadline, _ := ctx.Deadline()
	if c.SetReadDeadline(deadline) != nil {
		return false
	}
	_, err := c.Read(make([]byte, 1))
	return err == nil || errors.Is(err, os.ErrDeadlineExceeded)
}

// endFailure returns the failure of an attempt whose response is not known to be complete.
func endFailure(err error) *Failure {
	return &Failure{Outcome: reason.Unknown, Reason: reason.BackendDisconnected, Cause: err}
}
