package gateway

import (
	"bytes"
	"strconv"
)

// maxEvent bounds one event of a stream, in bytes.
const maxEvent = 1 << 20

// events cuts a stream into whole events. Events end with an empty line; an id is
// a line "id: NUMBER" ("Server-sent events" in the HTML standard).
type events struct {
	partial []byte
	last    uint64 // id of the newest event passed
	any     bool   // some event with an id was passed
	noIDs   bool   // some event came without one
}

var eventEnds = [][]byte{[]byte("\n\n"), []byte("\r\n\r\n")}

// next takes in bytes and returns the whole events among them that come behind
// the last one passed. What is returned is valid until the next call.
func (e *events) next(b []byte) []byte {
	e.partial = append(e.partial, b...)
	var out []byte
	for {
		end := eventEnd(e.partial)
		if end < 0 {
			break
		}
		event := e.partial[:end]
		if e.take(event) {
			out = append(out, event...)
		}
		e.partial = e.partial[end:]
	}
	e.partial = bytes.Clone(e.partial)
	return out
}

// eventEnd returns the length of the first whole event, -1 when there is none.
func eventEnd(b []byte) int {
	best := -1
	for _, sep := range eventEnds {
		if i := bytes.Index(b, sep); i >= 0 && (best < 0 || i+len(sep) < best) {
			best = i + len(sep)
		}
	}
	return best
}

// take notes an event's id, and reports whether the event is new.
func (e *events) take(event []byte) bool {
	id, ok := idOf(event)
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

func idOf(event []byte) (uint64, bool) {
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

// tooLarge reports whether an event exceeds the limit.
func (e *events) tooLarge() bool { return len(e.partial) > maxEvent }

// broke forgets the part of an event that broke off, before the stream goes on at
// another server.
func (e *events) broke() { e.partial = nil }
