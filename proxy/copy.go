package proxy

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"leverdrum/stream"
)

// ErrTruncated: the stream ended without its last event.
var ErrTruncated = Error.New("the stream ended without its last event")

// ErrCallerDisconnected: the caller hung up.
var ErrCallerDisconnected = errors.New("the caller hung up")

const copyBuffer = 16 << 10

// CopyOptions is how the rest of an answer is passed on.
type CopyOptions struct {
	// Relay is what a stream goes through, nil for what is no stream.
	Relay *stream.Relay
	// OnFirstEvent is called when the first event was passed on.
	OnFirstEvent func()
	// StallAfter is how long a stream may be silent before Stalled is asked
	// whether to break it off; 0: for ever.
	StallAfter   time.Duration
	AbortStalled func() bool
}

// CopyBody passes the rest of an answer on as it comes. The answer was whole only
// if no error comes back (3).
func CopyBody(w http.ResponseWriter, answer *Response, how CopyOptions) error {
	defer answer.BodyReader.Close()
	c := copier{w: w, flusher: http.NewResponseController(w), how: how}
	watch := newWatch(answer.BodyReader, how)
	defer watch.stop()
	buf := make([]byte, copyBuffer)
	for {
		n, err := answer.BodyReader.Read(buf)
		watch.heard()
		if n > 0 {
			if perr := c.pass(buf[:n]); perr != nil {
				return perr
			}
		}
		if err != nil {
			return c.end(err)
		}
	}
}

type copier struct {
	w       http.ResponseWriter
	flusher *http.ResponseController
	how     CopyOptions
	out     []byte
}

func (c *copier) pass(b []byte) error {
	relay := c.how.Relay
	if relay == nil {
		return c.write(b)
	}
	before := relay.Forwarded()
	var broken error
	c.out, broken = relay.Feed(c.out[:0], b)
	if err := c.write(c.out); err != nil {
		return err
	}
	if before == 0 && relay.Forwarded() > 0 && c.how.OnFirstEvent != nil {
		c.how.OnFirstEvent()
	}
	return Error.Wrap(broken)
}

func (c *copier) write(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if _, err := c.w.Write(b); err != nil {
		return Error.Wrap(errors.Join(ErrCallerDisconnected, err))
	}
	if c.how.Relay != nil {
		_ = c.flusher.Flush() // a caller that has gone is met at the next write
	}
	return nil
}

// end says whether the answer was whole when its body ended with err.
func (c *copier) end(err error) error {
	switch {
	case c.how.Relay != nil && c.how.Relay.Done():
		return nil
	case !errors.Is(err, io.EOF):
		return Error.Wrap(err)
	case c.how.Relay != nil && !c.how.Relay.Complete():
		return ErrTruncated
	}
	return nil
}

// watch breaks a silent stream off.
type watch struct {
	mu    sync.Mutex
	timer *time.Timer // nil once stopped
	after time.Duration
}

func newWatch(rest io.Closer, how CopyOptions) *watch {
	w := &watch{after: how.StallAfter}
	if w.after == 0 {
		return w
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.after, func() {
		if how.AbortStalled() {
			rest.Close()
			return
		}
		w.heard()
	})
	return w
}

// heard begins the wait anew.
func (w *watch) heard() {
	if w.after == 0 {
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Reset(w.after)
	}
}

func (w *watch) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.timer != nil {
		w.timer.Stop()
		w.timer = nil
	}
}
