package peer

import (
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// Rules for streams that wait when their session ends:
//
//  1. While a session of yamux v0.1.2 closes, each Read that waits on one of its streams
//     goes round and round without a pause until the streams are closed, too. With one
//     processor the goroutine that closes them waits for that.
//  2. So what waits is ended first: by its read deadline, when the connection fails, or
//     before this package closes the session.
//  3. The keep-alive of yamux closes a session by itself; there rule 2 does not hold.

// waits are the reads under way on the streams of one session.
type waits struct {
	mu      sync.Mutex
	streams map[*yamux.Stream]int
	ended   bool
}

func newWaits() *waits { return &waits{streams: map[*yamux.Stream]int{}} }

const (
	// endLook is the time between two looks whether all reads have ended, endLooks how
	// many there are at most.
	endLook  = time.Millisecond
	endLooks = 20
)

// end is rule 2. It returns once no read is under way, or after a moment.
func (w *waits) end() {
	w.mu.Lock()
	w.ended = true
	for s := range w.streams {
		// The deadline of an open stream can be set.
		_ = s.SetReadDeadline(time.Unix(1, 0))
	}
	w.mu.Unlock()
	for range endLooks {
		if w.none() {
			return
		}
		time.Sleep(endLook)
	}
}

func (w *waits) none() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.streams) == 0
}

func (w *waits) enter(s *yamux.Stream) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.ended {
		return false
	}
	w.streams[s]++
	return true
}

func (w *waits) leave(s *yamux.Stream) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.streams[s]--; w.streams[s] == 0 {
		delete(w.streams, s)
	}
}

// reader reads from a stream of the session.
func (w *waits) reader(s *yamux.Stream) io.Reader { return waitingReader{s, w} }

type waitingReader struct {
	stream *yamux.Stream
	waits  *waits
}

// Read fails with io.ErrUnexpectedEOF once the session is about to be closed.
func (r waitingReader) Read(b []byte) (int, error) {
	if !r.waits.enter(r.stream) {
		return 0, io.ErrUnexpectedEOF
	}
	defer r.waits.leave(r.stream)
	return r.stream.Read(b)
}

// endingConn ends the waits when the connection fails.
type endingConn struct {
	net.Conn
	waits *waits
}

func (c *endingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil {
		c.waits.end()
	}
	return n, err
}

func (c *endingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if err != nil {
		c.waits.end()
	}
	return n, err
}
