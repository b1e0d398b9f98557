// Package pushback remembers what backend servers say of themselves in their answers: that they take no more than so
// many requests a second from all boxes (package throttle), that they want a rest from this box, that they drain.
//
// Rules:
//
//  1. A rest holds between one server and this box. It begins with a 503 that bears Retry-After; of two the later end
//     holds, whatever an answer in between says.
//  2. A server that says that it drains does so for its life.
//  3. Records are kept by the server's life, so that a successor begins with none.
package pushback

import (
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"leverdrum/dialect"
	"leverdrum/event"
	"leverdrum/throttle"
)

const (
	// maxRecords bounds the servers that are remembered; those whose rest ended longer than keepFor ago go then.
	maxRecords = 4096
	keepFor    = time.Minute
)

// Options make a Registry.
type Options struct {
	// Now is a clock that goes on while the machine is suspended.
	Now      func() time.Duration
	Throttle *throttle.Throttle
	Log      *zap.Logger
}

// Registry is what one box knows of what servers said to it.
type Registry struct {
	opts Options
	some atomic.Bool // there are records

	mu      sync.Mutex
	records map[string]*record // by server
}

// record is what one server said.
type record struct {
	restsSince, restsUntil time.Duration // 0: it asked for no rest
	drainsSince            time.Duration // 0: it does not drain
	drainsUntil            time.Duration // 0: for its life
	malformed              bool          // a value that cannot be read was logged
}

// New returns a Registry.
func New(opts Options) *Registry { return &Registry{opts: opts, records: map[string]*record{}} }

// Observe records what an answer to a request says of its server.
func (r *Registry) Observe(server, request string, said dialect.Report) {
	if r == nil {
		return
	}
	r.opts.Throttle.Note(server, said)
	if said.Rest == 0 && !said.Draining && said.RestErr == nil && said.DrainingErr == nil {
		return
	}
	now := r.opts.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	rec := r.recordOf(server, now)
	r.noteMalformed(rec, server, said)
	if until := now + said.Rest; said.Rest > 0 && until > rec.restsUntil { // (1)
		if now >= rec.restsUntil {
			rec.restsSince = now
			event.ServerResting.Log(r.opts.Log, zap.String("server", server), zap.String("request", request), zap.Duration("rest", said.Rest))
		}
		rec.restsUntil = until
	}
	if said.Draining && rec.drainsSince == 0 { // (2)
		rec.drainsSince = now
		event.ServerDraining.Log(r.opts.Log, zap.String("server", server), zap.String("request", request))
	}
	if said.Draining && said.DrainTTL > 0 {
		rec.drainsUntil = now + said.DrainTTL
	}
}

func (r *Registry) noteMalformed(rec *record, server string, said dialect.Report) {
	for _, err := range []error{said.RestErr, said.DrainingErr} {
		if err == nil || rec.malformed {
			continue
		}
		rec.malformed = true
		event.PushbackMalformed.Log(r.opts.Log, zap.String("server", server), event.Cause(err))
	}
}

// recordOf returns a server's record. The caller holds the lock.
func (r *Registry) recordOf(server string, now time.Duration) *record {
	rec := r.records[server]
	if rec == nil {
		if len(r.records) >= maxRecords {
			r.forget(now)
		}
		rec = &record{}
		r.records[server] = rec
		r.some.Store(true)
	}
	return rec
}

func (r *Registry) forget(now time.Duration) {
	for server, rec := range r.records {
		if now-rec.restsUntil > keepFor && now-max(rec.drainsSince, rec.drainsUntil) > keepFor {
			delete(r.records, server)
		}
	}
}
