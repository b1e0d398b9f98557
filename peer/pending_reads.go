package peer

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// Rules for reads that are pending when their session ends:
//
//  1. While a session of yamux v0.1.2 closes, each pending Read on one of its streams spins
//     until the streams are closed as well. With one processor, the goroutine that closes them
//     has to wait for the spinning reads.
//  2. So pending reads are stopped first, by their read deadline, when the connection fails or
//     before this package closes the session.
//  3. The keep-alive of yamux closes a session on its own; rule 2 does not hold there.

// pendingReads tracks the reads in progress on the streams of one session.
type pendingReads struct {
	mu      sync.Mutex
	streams map[*yamux.Stream]int
	stopped bool
}

func newPendingReads() *pendingReads { return &pendingReads{streams: map[*yamux.Stream]int{}} }

const (
	// stopPollInterval is the time between two checks that all reads have ended, maxStopPolls
	// the maximum number of checks.
	stopPollInterval = time.Millisecond
	maxStopPolls     = 20
)

// stop makes all pending reads fail and prevents new ones (2). It returns when no read is
// pending, or after maxStopPolls checks.
func (w *pendingReads) stop() {
	w.mu.Lock()
	w.stopped = true
	for s := range w.streams {
		// Setting the deadline of an open stream does not fail.
		_ = s.SetReadDeadline(time.Unix(1, 0))
	}
	w.mu.Unlock()
	for range maxStopPolls {
		if w.idle() {
			return
		}
		time.Sleep(stopPollInterval)
	}
}

func (w *pendingReads) idle() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.streams) == 0
}

func (w *pendingReads) begin(s *yamux.Stream) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return false
	}
	w.streams[s]++
	return true
}

func (w *pendingReads) finish(s *yamux.Stream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.streams[s]--; w.streams[s] == 0 {
		delete(w.streams, s)
	}
}

// reader returns a reader of the stream whose reads are tracked.
func (w *pendingReads) reader(s *yamux.Stream) io.Reader { return trackedReader{s, w} }

type trackedReader struct {
	stream *yamux.Stream
	reads  *pendingReads
}

// Read fails with io.ErrUnexpectedEOF once the session is about to be closed.
func (r trackedReader) Read(b []byte) (int, error) {
	if !r.reads.begin(r.stream) {
		return 0, io.ErrUnexpectedEOF
	}
	defer r.reads.finish(r.stream)
	return r.stream.Read(b)
}

// readStoppingConn stops the pending reads when the connection fails (2).
type readStoppingConn struct {
	net.Conn
	reads *pendingReads
}

func (c *readStoppingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		c.reads.stop()
	}
	return n, err
}

func (c *readStoppingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		c.reads.stop()
	}
	return n, err
}
