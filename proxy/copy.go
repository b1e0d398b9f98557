package proxy

import (
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"leverdrum/stream"
)

// ErrTruncated means that a stream ended without its last event.
var ErrTruncated = Error.New("the stream ended without its last event")

// ErrCallerDisconnected means that the caller hung up.
var ErrCallerDisconnected = errors.New("the caller hung up")

const copyBuffer = 16 << 10

// CopyOptions configures how the unread part of a response is copied.
type CopyOptions struct {
	// Relay processes the events of a stream; nil if the response is not a stream.
	Relay *stream.Relay
	// OnEvents is called after one or more events were forwarded.
	OnEvents func()
	// StallAfter is how long a stream may send nothing before AbortStalled is asked whether to close
	// it; 0 means no limit.
	StallAfter   time.Duration
	AbortStalled func() bool
}

// CopyBody copies the unread part of a response to the caller as it arrives. The response was complete
// only if the returned error is nil (3).
func CopyBody(w http.ResponseWriter, response *Response, opts CopyOptions) error {
	defer response.BodyReader.Close()
	c := copier{w: w, flusher: http.NewResponseController(w), opts: opts}
	stall := newStallTimer(response.BodyReader, opts)
	defer stall.stop()
	buf := make([]byte, copyBuffer)
	for {
		n, err := response.BodyReader.Read(buf)
		stall.reset()
		if n > 0 {
			if perr := c.forward(buf[:n]); perr != nil {
				return perr
			}
		}
		if err != nil {
			return c.finish(response, err)
		}
	}
}

type copier struct {
	w       http.ResponseWriter
	flusher *http.ResponseController
	opts    CopyOptions
	out     []byte
}

func (c *copier) forward(b []byte) error {
	relay := c.opts.Relay
	if relay == nil {
		return c.write(b)
	}
	before := relay.Forwarded()
	var relayErr error
	c.out, relayErr = relay.Feed(c.out[:0], b)
	if err := c.write(c.out); err != nil {
		return err
	}
	if cap(c.out) > copyBuffer { // a large event
		c.out = nil
	}
	if relay.Forwarded() > before && c.opts.OnEvents != nil {
		c.opts.OnEvents()
	}
	return Error.Wrap(relayErr)
}

func (c *copier) write(b []byte) error {
	if len(b) == 0 {
		return nil
	}
	if _, err := c.w.Write(b); err != nil {
		return Error.Wrap(errors.Join(ErrCallerDisconnected, err))
	}
	if c.opts.Relay != nil {
		_ = c.flusher.Flush() // a caller that hung up is detected at the next write
	}
	return nil
}

// finish reports whether the response was complete when its body ended with err.
func (c *copier) finish(response *Response, err error) error {
	switch {
	case c.opts.Relay != nil && c.opts.Relay.Done():
		return nil
	case !errors.Is(err, io.EOF):
		return Error.Wrap(err)
	case c.opts.Relay != nil && !c.opts.Relay.Complete():
		return ErrTruncated
	}
	return response.judgeEnd()
}

// stallTimer closes a stream that sends nothing.
type stallTimer struct {
	mu    sync.Mutex
	timer *time.Timer // nil once stopped
	after time.Duration
}

func newStallTimer(body io.Closer, opts CopyOptions) *stallTimer {
	s := &stallTimer{after: opts.StallAfter}
	if s.after == 0 {
		return s
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timer = time.AfterFunc(s.after, func() {
		if opts.AbortStalled() {
			body.Close()
			return
		}
		s.reset()
	})
	return s
}

// reset restarts the timer.
func (s *stallTimer) reset() {
	if s.after == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Reset(s.after)
	}
}

func (s *stallTimer) stop() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.timer != nil {
		s.timer.Stop()
		s.timer = nil
	}
}
