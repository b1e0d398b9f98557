package gateway

import (
	"sync"
	"time"
)

const (
	// darkAfter is the silence after which a server that has a request of this box, and takes
	// no connection, is taken to be dark: one that works sends an event of some stream far
	// more often.
	darkAfter = 1200 * time.Millisecond
	// askAfter is the silence after which it is asked for a connection, so that what comes of
	// that is known by then.
	askAfter = darkAfter - dialTimeout
	// darkAgain is the time between two looks at a server that is silent while the exchange
	// may not be ended.
	darkAgain = 200 * time.Millisecond
)

// watch ends an exchange with a server that has fallen silent on all of this box's
// connections to it.
//
// Rules:
//
//  1. Whether the exchange may be ended depends on what was passed on to the caller. Both
//     the look that ends it and the passing on of the answer's head are done under one
//     lock: either the head is passed on and the look knows of it, or the exchange has
//     ended and nothing of it is passed on.
//  2. What has arrived and was not read yet is no silence: a box that has a fifth of a
//     processor may read it some ten milliseconds later.
//  3. A server that takes another connection is not dark but has much to read first. It is
//     given up only for a silence that leaves the caller just the time for another server
//     (mute): servers that take requests and never answer are such. One of 300 boxes has
//     one request at a server and no other stream there that would speak for it: of 20,000
//     requests on 240 servers 469 were ended at servers that read long prompts.
type watch struct {
	x      *conn
	began  time.Time
	mute   time.Duration
	mayEnd func() bool

	mu     sync.Mutex
	timer  *time.Timer // nil once stopped
	asking bool        // for a connection, or it took none (3)
	dark   bool
}

// watchOver begins to watch a connection; what may not be repeated is not watched,
// since nothing could be done about it. mayEnd is asked once the server is silent, on
// another goroutine; mute is the silence after which one that takes connections is given up.
func watchOver(x *conn, mute time.Duration, mayEnd func() bool) *watch {
	w := &watch{x: x, began: time.Now(), mute: mute, mayEnd: mayEnd}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(askAfter, w.look)
	return w
}

// since is how long ago the later of the watch's begin and some times was, in unix
// nanoseconds.
func (w *watch) since(times ...int64) time.Duration {
	latest := w.began
	for _, at := range times {
		if t := time.Unix(0, at); t.After(latest) {
			latest = t
		}
	}
	return time.Since(latest)
}

func (w *watch) look() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer == nil {
		return
	}
	heard, reached := w.x.from.heard.Load(), w.x.from.reached.Load()
	silence, unreached := w.since(heard), w.since(heard, reached)
	switch {
	case unreached < askAfter && silence < w.mute:
		w.asking = false
		w.timer.Reset(min(askAfter-unreached, w.mute-silence))
	case !w.asking && silence < w.mute:
		w.asking = true
		go w.ask()
		w.timer.Reset(darkAfter - askAfter)
	case unreached < darkAfter && silence < w.mute:
		w.timer.Reset(darkAfter - unreached)
	case w.x.arrived() || !w.mayEnd(): // (2), (1)
		w.timer.Reset(darkAgain)
	default:
		w.dark = true
		w.x.SetDeadline(time.Unix(1, 0))
	}
}

// ask is rule 3.
func (w *watch) ask() {
	if w.x.from.reach() != nil {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.asking = false
}

// pass has the head of an answer passed on, unless the exchange has ended (1).
func (w *watch) pass(head func()) bool {
	if w == nil {
		head()
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.dark {
		return false
	}
	head()
	return true
}

// stop ends the watch and reports whether it found the server dark.
func (w *watch) stop() bool {
	if w == nil {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
	return w.dark
}
