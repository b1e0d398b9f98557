package gateway

import (
	"context"
	"sync"
	"time"
)

const (
	// unresponsiveAfter is the silence after which a server that runs a request of this box, and
	// accepts no connection, counts as unresponsive. A working server sends an event of some
	// stream far more often.
	unresponsiveAfter = 1200 * time.Millisecond
	// probeAfter is the silence after which the server is probed with a new connection, so that
	// the result is known by unresponsiveAfter.
	probeAfter = unresponsiveAfter - dialTimeout
	// recheckInterval is the time between two checks of an unresponsive server while the exchange
	// may not be aborted.
	recheckInterval = 200 * time.Millisecond
)

// watch aborts an exchange with a server that has sent nothing on any of this box's connections to
// it for too long.
//
// Rules:
//
//  1. Whether the exchange may be aborted depends on what was forwarded to the caller. The check
//     that aborts it and the forwarding of the response head run under one lock: either the head
//     is forwarded and the check knows of it, or the exchange is aborted and nothing of it is
//     forwarded.
//  2. Bytes that have arrived and are unread do not count as silence: a box with a fifth of a CPU
//     may read them some ten milliseconds later.
//  3. A server that accepts another connection is not unresponsive but has much to prefill. It is
//     given up only after a silence that leaves the caller just the time for another server
//     (silenceTimeout); this covers servers that accept requests and never answer. Without this
//     rule, of 20,000 requests on 240 servers, 469 were aborted at servers that were prefilling
//     long prompts: one of 300 boxes has a single request at a server and no other stream there
//     that would show that the server is working.
//  4. A box that has lost its links to the servers gives up an exchange that has been silent since: the request goes on
//     through another box.
type watch struct {
	conn           *conn
	startedAt      time.Time
	silenceTimeout time.Duration
	mayAbort       func() bool

	mu           sync.Mutex
	timer        *time.Timer // nil once stopped
	probing      bool        // a probe is under way, or found that no connection is accepted (3)
	unresponsive bool
	moved        bool // aborted for a move of the request
}

// newWatch starts to watch a connection. Requests that may not be repeated are not watched, since
// a retry is not possible. mayAbort is called on another goroutine once the server is silent.
// silence is the time after which a server that accepts connections is given up.
func newWatch(x *conn, silence time.Duration, mayAbort func() bool) *watch {
	w := &watch{conn: x, startedAt: time.Now(), silenceTimeout: silence, mayAbort: mayAbort}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(probeAfter, w.check)
	x.pool.links.addWatch(w)
	return w
}

// sinceLatest returns the time since the latest of the start of the watch and the given times in
// Unix nanoseconds.
func (w *watch) sinceLatest(times ...int64) time.Duration {
	latest := w.startedAt
	for _, at := range times {
		if t := time.Unix(0, at); t.After(latest) {
			latest = t
		}
	}
	return time.Since(latest)
}

func (w *watch) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil || w.moved {
		return
	}
	lastRead, lastDial := w.conn.pool.lastRead.Load(), w.conn.pool.lastDial.Load()
	silence, noContact := w.sinceLatest(lastRead), w.sinceLatest(lastRead, lastDial)
	links := w.conn.pool.links
	switch {
	case links.silentSince(silence) && !w.conn.hasUnread() && w.mayAbort(): // (4)
		w.giveUp()
	case links.isolated() && silence < cutOffSilence:
		w.timer.Reset(cutOffSilence - silence)
	case noContact < probeAfter && silence < w.silenceTimeout:
		w.probing = false
		w.timer.Reset(min(probeAfter-noContact, w.silenceTimeout-silence))
	case !w.probing && silence < w.silenceTimeout:
		w.probing = true
		go w.probe()
		w.timer.Reset(unresponsiveAfter - probeAfter)
	case noContact < unresponsiveAfter && silence < w.silenceTimeout:
		w.timer.Reset(unresponsiveAfter - noContact)
	case w.conn.hasUnread() || !w.mayAbort(): // (2), (1)
		w.timer.Reset(recheckInterval)
	default:
		w.giveUp()
	}
}

// giveUp aborts the exchange. The caller holds the lock.
func (w *watch) giveUp() {
	w.unresponsive = true
	w.conn.SetDeadline(time.Unix(1, 0))
}

// probe opens another connection to the silent server. If the server accepts it, it is not
// unresponsive, and may be probed again later (3).
func (w *watch) probe() {
	if w.conn.pool.probe(context.Background()) != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.probing = false
}

// abort aborts the exchange if nothing has arrived that was not read, and may allows it. It is used for moves of
// requests (move.go); may knows of a head that was forwarded (1).
func (w *watch) abort(may func() bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil || w.unresponsive || w.moved || w.conn.hasUnread() || !may() { // (2)
		return false
	}
	w.moved = true
	w.conn.SetDeadline(time.Unix(1, 0))
	return true
}

// passHead calls head, which forwards the head of a response, unless the exchange was aborted (1).
func (w *watch) passHead(head func()) bool {
	if w == nil {
		head()
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.unresponsive || w.moved {
		return false
	}
	head()
	return true
}

// stopAborted ends the watch and reports whether the exchange was aborted, so that its connection must not be
// used again.
func (w *watch) stopAborted() bool {
	unresponsive := w.stop()
	return unresponsive || w != nil && w.moved
}

// stop ends the watch and reports whether the server was found unresponsive.
func (w *watch) stop() bool {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
		w.conn.pool.links.removeWatch(w)
	}
	return w.unresponsive
}
