package gateway

import (
	"context"
	"crypto/rand"
	"errors"
	"io"
	"net/http"
	"os"
	"syscall"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sys/unix"

	"leverdrum/dialect"
	"leverdrum/event"
	"leverdrum/internal/attest"
	"leverdrum/internal/framing"
	"leverdrum/internal/liveness"
	"leverdrum/internal/wait"
	"leverdrum/meter"
	"leverdrum/reason"
)

const (
	// maxProbeAttempts bounds the connections that one probe of a server uses, and probeRetryInterval is the time between two.
	maxProbeAttempts   = 3
	probeRetryInterval = 20 * time.Millisecond
	// maxHealthBody bounds the body in bytes of the response to a health check whose connection is used again.
	maxHealthBody = 4 << 10
)

// endProbe probes a server for evidence that it went on after the end of a response (package liveness).
type endProbe struct {
	server  *server
	dialect *dialect.Dialect
	names   *attest.Headers
	// path returns the path of health checks; "": the server has none. A connection is then opened to it, which shows less:
	// that whatever listens at the address held it for the time of the probe.
	path func() string
}

// run implements liveness.Probe. A server that does not answer, or resets new connections, shows that it goes on by the connections
// that it had before: another process may have its address.
func (p *endProbe) run(ctx context.Context) liveness.Evidence {
	began, path := time.Now(), p.path()
	evidence := p.check(ctx, path)
	if evidence == liveness.Answered || evidence == liveness.Ended || evidence == liveness.Open && path == "" {
		return evidence
	}
	<-ctx.Done() // a process that ends closes its connections one after another
	if p.server.pool.holdsFromBefore(began) {
		return liveness.Open
	}
	return liveness.None
}

// check sends health checks until one is answered.
func (p *endProbe) check(ctx context.Context, path string) liveness.Evidence {
	for range maxProbeAttempts {
		x, err := p.connect(ctx)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return liveness.Ended
		}
		if err == nil {
			if evidence := p.challenge(ctx, x, path); evidence != liveness.None {
				return evidence
			}
		}
		if !wait.For(ctx, probeRetryInterval) {
			break
		}
	}
	return liveness.None
}

// connect opens a connection. An idle one would not do: a server that closes its listener, and then its connections, may answer
// on some of them after it has closed others. The new connection takes the place of the one that ended, which is counted until
// its end has been judged.
func (p *endProbe) connect(ctx context.Context) (*conn, error) {
	p.server.pool.reserveBeyondLimit()
	return p.server.pool.dial(ctx)
}

// challenge sends a health check on a new connection and waits for the response until the context ends. Without a path it only
// waits.
func (p *endProbe) challenge(ctx context.Context, x *conn, path string) liveness.Evidence {
	deadline, _ := ctx.Deadline()
	if x.SetDeadline(deadline) != nil {
		x.pool.drop(x)
		return liveness.None
	}
	id := rand.Text()
	if path != "" {
		x.history.Begin(id)
		if _, err := x.Write(p.request(path, id)); err != nil {
			x.pool.drop(x)
			return liveness.None
		}
	}
	evidence, reusable := p.await(x, id)
	if reusable && x.SetDeadline(time.Time{}) == nil {
		x.pool.put(x)
	} else {
		x.pool.drop(x)
	}
	return evidence
}

func (p *endProbe) request(path, id string) []byte {
	o := outgoing{method: http.MethodGet, target: path, host: p.server.address, header: http.Header{}}
	setHeader(o.header, p.dialect.RequestID, id)
	setHeader(o.header, p.dialect.Instance, p.server.name)
	return o.head()
}

// await reads the response to a health check with an ID, and reports whether the connection may carry requests.
func (p *endProbe) await(x *conn, id string) (evidence liveness.Evidence, reusable bool) {
	for range maxSurplus {
		r, err := x.readHead(&http.Request{Method: http.MethodGet})
		if err != nil {
			return openEvidence(x, err), false
		}
		x.history.Judge(id, r.StatusCode, r.Header, p.names)
		switch evidence = p.judge(r, id); evidence {
		case liveness.Ended:
			return evidence, false
		case liveness.Answered:
			n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxHealthBody))
			identified := r.Header.Get(p.names.RequestID) == id // else a second response would not be recognized
			return evidence, identified && err == nil && n < maxHealthBody && framing.Delimited(http.MethodGet, r) && !r.Close
		}
		if !framing.Delimited(http.MethodGet, r) {
			return liveness.None, false
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(r.Body, maxSurplusBytes)); err != nil || n == maxSurplusBytes {
			return openEvidence(x, err), false
		}
	}
	return liveness.None, false
}

// judge returns what a response shows. One that names another request, or neither the request nor the server, may have been
// sent before.
func (p *endProbe) judge(r *http.Response, id string) liveness.Evidence {
	server, request := r.Header.Get(p.dialect.ServerID), r.Header.Get(p.names.RequestID)
	switch {
	case server != "" && server != p.server.name:
		return liveness.Ended
	case request != "" && request != id, r.StatusCode < http.StatusOK:
		return liveness.None
	case r.StatusCode == http.StatusMisdirectedRequest:
		return liveness.Ended
	case server == "" && (request != id || r.StatusCode != http.StatusOK):
		return liveness.None
	}
	return liveness.Answered
}

// openEvidence returns what a connection shows on which reading ended with an error. The system of a server acknowledges bytes
// only on a connection that the server's process still holds, and resets others.
func openEvidence(x *conn, err error) liveness.Evidence {
	if errors.Is(err, os.ErrDeadlineExceeded) && x.isQuiet() && x.isAcknowledged() {
		return liveness.Open
	}
	return liveness.None
}

// isAcknowledged reports whether the other side has acknowledged all bytes that were sent.
func (x *conn) isAcknowledged() bool {
	sock, ok := x.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sock.SyscallConn()
	if err != nil {
		return false
	}
	unsent := -1
	err = raw.Control(func(fd uintptr) {
		if n, err := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ); err == nil {
			unsent = n
		}
	})
	return err == nil && unsent == 0
}

// healthCheckPath returns the path of health checks of a service, "" if it has none.
func (d *directory) healthCheckPath(service string) string {
	if f := d.table().fleet; f != nil && f.Pools[service] != nil {
		return f.Pools[service].HealthCheckPath
	}
	return ""
}

// endEvidence is what is known of a server after the end of an undelimited response.
type endEvidence struct {
	liveness.Evidence
	waited time.Duration
}

// awaitEvidence returns what is known of a server after now, the end of an undelimited response, and records the wait.
func (g *Gateway) awaitEvidence(ctx context.Context, s *server) endEvidence {
	began := time.Now()
	e := endEvidence{Evidence: s.checker.Await(ctx)}
	e.waited = time.Since(began)
	g.opts.Meters.Observer(meter.ResponseEndWait, e.String()).Observe(e.waited.Seconds())
	return e
}

// endReading closes the connection of an undelimited response that was read to its end. Its place in the pool is kept for the
// probe until finish is called.
func (a *response) endReading() {
	if a.relay == nil {
		a.watch.stop()
		a.conn.Close()
	}
}

// judgeEnd ends the reading of a response whose body was read to its end, and returns how it ended. The end of an undelimited one
// waits for evidence.
func (j *job) judgeEnd(ctx context.Context, s *server, a *response) framing.End {
	if !a.delimited {
		return j.judgeUndelimitedEnd(ctx, s, a)
	}
	a.finish(true)
	end := framing.Judge(true, io.EOF, nil)
	j.recordEnd(end)
	return end
}

func (j *job) judgeUndelimitedEnd(ctx context.Context, s *server, a *response) framing.End {
	a.endReading()
	defer a.finish(false)
	var evidence endEvidence
	end := framing.Judge(false, io.EOF, func() liveness.Evidence {
		if a.relay != nil {
			evidence.Evidence = a.relay.evidence
		} else {
			evidence = j.g.awaitEvidence(ctx, s)
		}
		return evidence.Evidence
	})
	j.recordEnd(end)
	j.logUndelimitedEnd(evidence)
	return end
}

// logUndelimitedEnd logs what was found about the end of an undelimited response.
func (j *job) logUndelimitedEnd(e endEvidence) {
	if skipped, ok := j.g.undelimitedEnds.admit(time.Now()); ok {
		event.ResponseEndUnknown.Log(j.g.opts.Log, zap.String("request", j.id), zap.String("route", j.route.Name), zap.String("server", j.current.id),
			zap.Stringer("end", j.end), zap.Stringer("life", e), zap.Duration("waited", e.waited),
			zap.Int("events", j.stream.count), zap.Int("unfinished", len(j.stream.partial)), zap.Int("skipped", skipped))
	}
}

// errServerEnded is returned where a response without a length or chunks ended and its server has ended, too.
var errServerEnded = Error.New("the response ended with its connection, without a length or chunks, and its server has ended")

// errEndUnknown is returned where such a response ended and nothing shows whether its server went on.
var errEndUnknown = Error.New("the response ended with its connection, without a length or chunks, and nothing shows that its server went on")

// endFailure returns the failure of a response whose end is not known to be that of all of it.
func (j *job) endFailure(ctx context.Context, end framing.End) *failure {
	if end == framing.Truncated {
		return j.bodyFailure(ctx, errServerEnded)
	}
	f := unknown(reason.BackendDisconnected, errEndUnknown)
	f.endUnknown = true
	return f
}
