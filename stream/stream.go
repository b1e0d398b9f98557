// Package stream relays server-sent events so that a stream that broke off can
// be continued at another backend server with nothing twice and nothing missing.
//
// Rules:
//
//  1. An event is passed on whole or not at all: the part of one that broke off
//     is dropped.
//  2. The position is the id of the newest event that was passed on. Ids rise by
//     one from 1.
//  3. A continuation begins behind the position: an event at or before it is
//     dropped, and one that leaves a gap ends the stream as broken.
//  4. Only a stream whose events all had ids can be continued. The last event
//     needs none.
//  5. Nothing behind the last event is passed on.
//
// The format is that of "Server-sent events" in the HTML standard, as far as
// needed: events end with an empty line, and an id is a line "id: NUMBER".
package stream

import (
	"bytes"
	"strconv"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("stream")

var (
	// ErrGap: an event is missing (3).
	ErrGap = Error.New("events are missing from the stream")
	// ErrTooLarge: an event exceeds the limit.
	ErrTooLarge = Error.New("an event of the stream exceeds 1 MiB")
)

// maxEvent bounds an event, in bytes.
const maxEvent = 1 << 20

// Relay is one stream on its way to a caller, over all its continuations.
type Relay struct {
	last     []byte // line of the last event; nil when the end of the body is the end
	partial  []byte
	position uint64
	passed   int
	noIDs    bool // some event had no id (4)
	resumed  bool
	done     bool
}

// New returns a relay of a stream whose last event is the line last, "" when
// the stream has no such event and is whole when its body is.
func New(last string) *Relay {
	r := &Relay{}
	if last != "" {
		r.last = []byte(last)
	}
	return r
}

// Position returns the id behind which the stream can go on, and whether it can.
func (r *Relay) Position() (id uint64, ok bool) {
	return r.position, !r.noIDs && r.last != nil && !r.done
}

// Forwarded returns how many events were passed on.
func (r *Relay) Forwarded() int { return r.passed }

// Done reports whether the last event was passed on.
func (r *Relay) Done() bool { return r.done }

// Complete reports whether a body that ended here ended with the whole stream.
func (r *Relay) Complete() bool {
	if r.last == nil {
		return len(bytes.TrimSpace(r.partial)) == 0
	}
	return r.done
}

// Continue begins a continuation (1).
func (r *Relay) Continue() {
	r.partial = nil
	r.resumed = true
}

// Feed takes bytes of the stream and appends what is to be passed on to out.
func (r *Relay) Feed(out, b []byte) ([]byte, error) {
	data := b
	if len(r.partial) > 0 {
		data = append(r.partial, b...)
	}
	for !r.done { // (5)
		n := eventLength(data)
		if n == 0 {
			break
		}
		pass, err := r.take(data[:n])
		if err != nil {
			return out, err
		}
		if pass {
			out = append(out, data[:n]...)
			r.passed++
		}
		data = data[n:]
	}
	if len(data) > maxEvent {
		return out, ErrTooLarge
	}
	r.partial = append(r.partial[:0:0], data...)
	return out, nil
}

// take reports whether an event is to be passed on.
func (r *Relay) take(event []byte) (bool, error) {
	id, isLast := r.read(event)
	switch {
	case isLast:
		r.done = true
		return true, nil
	case id == 0:
		r.noIDs = true // (4)
		if r.resumed {
			return false, ErrGap
		}
		return true, nil
	case id <= r.position && r.resumed: // (3)
		return false, nil
	case id != r.position+1 && r.resumed:
		return false, ErrGap
	case id != r.position+1:
		r.noIDs = true // ids of another meaning
	}
	r.position = id
	return true, nil
}

// read returns an event's id, 0 without one, and whether it is the last.
func (r *Relay) read(event []byte) (id uint64, isLast bool) {
	for line := range bytes.Lines(event) {
		line = bytes.TrimRight(line, "\r\n")
		if r.last != nil && bytes.Equal(line, r.last) {
			return 0, true
		}
		if text, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id, _ = strconv.ParseUint(string(bytes.TrimSpace(text)), 10, 64)
		}
	}
	return id, false
}

// eventLength returns the length of the first event of data with its empty
// line, 0 when it is not whole.
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
