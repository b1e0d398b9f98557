package gateway

import (
	"bytes"
	"strconv"

	"leverdrum/internal/membudget"
)

const (
	// maxEvent bounds the size of one event of a stream in bytes.
	maxEvent = 1 << 20
	// eventBuffer is the size in bytes up to which the buffer of a large event is kept for the next one.
	eventBuffer = 16 << 10
)

// events splits a stream into whole events. An event ends with an empty line; its id is a line
// "id: NUMBER" ("Server-sent events" in the HTML standard).
type events struct {
	partial []byte          // incomplete event; the end of buf
	buf     []byte          // reserved in memory
	memory  *membudget.Hold // nil: no limit
	full    bool            // memory did not admit the incomplete event
	last    uint64          // id of the newest forwarded event
	any     bool            // an event with an id was forwarded
	noIDs   bool            // an event without an id was seen
	count   int             // whole events seen, also ones that were not forwarded
}

// next adds bytes and returns the whole events among them that come after the last one forwarded.
// The result is valid until the next call, and may be a part of b, whose contents change.
func (e *events) next(b []byte) []byte {
	if len(e.partial) == 0 {
		whole, rest := e.split(b, 0)
		if cap(e.buf) > eventBuffer {
			e.release()
		}
		e.buf = e.buf[:0]
		e.add(rest)
		return whole
	}
	searched := len(e.partial)
	e.buf = e.buf[:copy(e.buf, e.partial)]
	if !e.add(b) {
		return nil
	}
	var whole []byte
	whole, e.partial = e.split(e.buf, searched)
	return whole
}

// add appends bytes to the incomplete event and reports whether memory admits them.
func (e *events) add(b []byte) bool {
	buf, ok := e.memory.Extend(e.buf, len(b))
	e.full = e.full || !ok
	if ok {
		e.buf = append(buf, b...)
	}
	e.partial = e.buf
	return ok
}

// release frees the buffer.
func (e *events) release() {
	e.memory.Shrink(cap(e.buf))
	e.buf, e.partial = nil, nil
}

// split moves the whole events of b that are new to its beginning and returns them, and what follows the last whole event. No
// event ends in the first searched bytes.
func (e *events) split(b []byte, searched int) (whole, rest []byte) {
	kept, start := 0, 0
	for {
		from := max(start, searched-len(crlfDelimiter)+1)
		end := eventEnd(b[from:])
		if end < 0 {
			return b[:kept:kept], b[start:]
		}
		event := b[start : from+end]
		if e.accept(event) {
			kept += copy(b[kept:], event)
		}
		start = from + end
	}
}

const (
	lfDelimiter   = "\n\n"
	crlfDelimiter = "\r\n\r\n"
)

var eventDelimiters = [][]byte{[]byte(lfDelimiter), []byte(crlfDelimiter)}

// eventEnd returns the length of the first whole event, or -1 where there is none.
func eventEnd(b []byte) int {
	best := -1
	for _, sep := range eventDelimiters {
		if i := bytes.Index(b, sep); i >= 0 && (best < 0 || i+len(sep) < best) {
			best = i + len(sep)
		}
	}
	return best
}

// accept records the id of an event and reports whether the event is new.
func (e *events) accept(event []byte) bool {
	e.count++
	id, ok := eventID(event)
	if !ok {
		e.noIDs = true
		return true
	}
	if e.any && id <= e.last {
		return false
	}
	e.last, e.any = id, true
	return true
}

func eventID(event []byte) (uint64, bool) {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		rest, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseUint(string(bytes.TrimSpace(rest)), 10, 64)
		return id, err == nil
	}
	return 0, false
}

// insideEvent reports whether the pending bytes are a part of an event, rather than blank lines and comments.
func (e *events) insideEvent() bool {
	for line := range bytes.SplitSeq(e.partial, []byte("\n")) {
		line = bytes.TrimSuffix(line, []byte("\r"))
		if len(line) > 0 && line[0] != ':' {
			return true
		}
	}
	return false
}

// tooLarge reports whether the pending event exceeds maxEvent, or the memory of the box for responses.
func (e *events) tooLarge() bool { return e.full || len(e.partial) > maxEvent }

// dropPartial discards an incomplete event before the stream resumes at another server.
func (e *events) dropPartial() {
	e.release()
	e.full = false
}
