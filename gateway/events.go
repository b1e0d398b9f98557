package gateway

import (
	"bytes"
	"strconv"
)

// maxEvent bounds the size of one event of a stream in bytes.
const maxEvent = 1 << 20

// events splits a stream into whole events. An event ends with an empty line; its id is a line
// "id: NUMBER" ("Server-sent events" in the HTML standard).
type events struct {
	partial []byte
	last    uint64 // id of the newest forwarded event
	any     bool   // an event with an id was forwarded
	noIDs   bool   // an event without an id was seen
	count   int    // whole events seen, also ones that were not forwarded
}

var eventDelimiters = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}

// next adds bytes and returns the whole events among them that come after the last one forwarded.
// The result is valid until the next call.
func (e *events) next(b []byte) []byte {
	e.partial = append(e.partial, b...)
	var out []byte
	for {
		end := eventEnd(e.partial)
		if end < 0 {
			break
		}
		event := e.partial[:end]
		if e.accept(event) {
			out = append(out, event...)
		}
		e.partial = e.partial[end:]
	}
	e.partial = bytes.Clone(e.partial)
	return out
}

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

// tooLarge reports whether the pending event exceeds maxEvent.
func (e *events) tooLarge() bool { return len(e.partial) > maxEvent }

// dropPartial discards an incomplete event before the stream resumes at another server.
func (e *events) dropPartial() { e.partial = nil }
