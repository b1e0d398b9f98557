// Package stream relays server-sent events, so that a stream that broke off can be resumed at another
// backend server without duplicate or missing events.
//
// Rules:
//
//  1. An event is forwarded completely or not at all: a partial event at a break is
//     dropped.
//  2. The position is the id of the newest forwarded event. Ids start at 1 and
//     increase by one.
//  3. A continuation starts after the position: an event at or before it is dropped,
//     and one that leaves a gap ends the stream as broken.
//  4. Only a stream whose events all have ids can be resumed. The last event needs
//     none.
//  5. Nothing after the last event is forwarded.
//
// The format is that of "Server-sent events" in the HTML standard, as far as needed: events end with
// an empty line, and an id is a line "id: NUMBER".
package stream

import (
	"bytes"
	"strconv"

	"github.com/zeebo/errs"

	"leverdrum/internal/membudget"
)

// Error is the class of this package's errors.
var Error = errs.Class("stream")

var (
	// ErrGap means that an event is missing (3).
	ErrGap = Error.New("events are missing from the stream")
	// ErrTooLarge means that an event exceeds maxEventSize.
	ErrTooLarge = Error.New("an event of the stream exceeds 1 MiB")
)

// smallEvent is the size in bytes up to which events are forwarded without a reservation for their copy.
const smallEvent = 16 << 10

// maxEventSize is the maximum size of an event in bytes.
const maxEventSize = 1 << 20

// Relay forwards one stream to a caller across all its continuations.
type Relay struct {
	// Memory is what incomplete events are kept in; nil means no limit.
	Memory       *membudget.Hold
	copied       int    // bytes reserved for the copy of large events
	terminator   []byte // line of the last event; nil if the stream ends with its body
	partial      []byte
	position     uint64
	forwarded    int
	notResumable bool // some event had no usable id (4)
	resumed      bool
	done         bool
}

// New returns a Relay for a stream whose last event is the line last. If last is "", the stream has no
// such event and is complete when its body ends.
func New(last string) *Relay {
	r := &Relay{}
	if last != "" {
		r.terminator = []byte(last)
	}
	return r
}

// Position returns the id after which the stream can be resumed, and whether it can be.
func (r *Relay) Position() (id uint64, ok bool) {
	return r.position, !r.notResumable && r.terminator != nil && !r.done
}

// Forwarded returns the number of events forwarded.
func (r *Relay) Forwarded() int { return r.forwarded }

// Done reports whether the last event was forwarded.
func (r *Relay) Done() bool { return r.done }

// Complete reports whether the stream is complete if its body ends now.
func (r *Relay) Complete() bool {
	if r.terminator == nil {
		return len(bytes.TrimSpace(r.partial)) == 0
	}
	return r.done
}

// Continue starts a continuation; a partial event is dropped (1).
func (r *Relay) Continue() {
	r.release()
	r.resumed = true
}

// release frees the partial event.
func (r *Relay) release() {
	r.Memory.Shrink(cap(r.partial))
	r.partial = nil
}

// Feed processes bytes of the stream and appends what is to be forwarded to out. It returns ErrTooLarge or membudget.ErrFull for
// an event that may not be kept.
func (r *Relay) Feed(out, b []byte) ([]byte, error) {
	r.Memory.Shrink(r.copied)
	r.copied = 0
	data := b
	if len(r.partial) > 0 {
		if !r.keep(r.partial, b) {
			return out, membudget.ErrFull
		}
		data = r.partial
	}
	for !r.done { // (5)
		n := eventLength(data)
		if n == 0 {
			break
		}
		forward, err := r.accept(data[:n])
		if err != nil {
			return out, err
		}
		if forward && n > smallEvent {
			if !r.Memory.Grow(n) {
				return out, membudget.ErrFull
			}
			r.copied += n
		}
		if forward {
			out = append(out, data[:n]...)
			r.forwarded++
		}
		data = data[n:]
	}
	if len(data) > maxEventSize {
		return out, ErrTooLarge
	}
	if cap(r.partial) > smallEvent && len(data) <= smallEvent { // a large event is complete
		data = bytes.Clone(data)
		r.release()
	}
	if !r.keep(nil, data) {
		return out, membudget.ErrFull
	}
	return out, nil
}

// keep makes the partial event consist of kept, which is its beginning or empty, and more, which may be its end. It reports
// whether there is memory for it.
func (r *Relay) keep(kept, more []byte) bool {
	buf, ok := r.Memory.Extend(r.partial[:len(kept)], len(more))
	if ok {
		r.partial = append(buf, more...)
	}
	return ok
}

// accept reports whether an event is to be forwarded.
func (r *Relay) accept(event []byte) (bool, error) {
	id, isLast := r.parseEvent(event)
	switch {
	case isLast:
		r.done = true
		return true, nil
	case id == 0:
		r.notResumable = true // (4)
		if r.resumed {
			return false, ErrGap
		}
		return true, nil
	case id <= r.position && r.resumed: // (3)
		return false, nil
	case id != r.position+1 && r.resumed:
		return false, ErrGap
	case id != r.position+1:
		r.notResumable = true // the ids have another meaning
	}
	r.position = id
	return true, nil
}

// parseEvent returns an event's id, 0 if it has none, and whether it is the last event.
func (r *Relay) parseEvent(event []byte) (id uint64, isLast bool) {
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if r.terminator != nil && bytes.Equal(line, r.terminator) {
			return 0, true
		}
		if text, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, _ = strconv.ParseUint(string(bytes.TrimSpace(text)), 10, 64)
		}
	}
	return id, false
}

// eventLength returns the length of the first event in data including its empty line, or 0 if the
// event is incomplete.
func eventLength(data []byte) int {
	for at := 0; at < len(data); {
		n := bytes.IndexByte(data[at:], '\n')
		if n < 0 {
			return 0
		}
		if n == 0 || n == 1 && data[at] == '\r' {
			return at + n + 1
		}
		at += n + 1
	}
	return 0
}
