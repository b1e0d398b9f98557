// Package attest decides whether a response that was read from a connection belongs to the attempt that was sent on it, and
// what it proves about that attempt.
//
// A request ID names a request, not an attempt, and a server may send a response twice, the second time whenever it likes. A
// retry of the request must not take the copy for its own response.
//
// Rules:
//
//  1. A response with another ID than the attempt's belongs to another attempt. It is skipped.
//  2. A response with the attempt's ID belongs to the attempt, unless an earlier attempt with that ID had a response on
//     the connection. Such a connection may not carry the attempt (MayCarry). Only IDs whose response was no success are
//     remembered: other requests do not come again.
//  3. A response without an ID, or with several, belongs to the attempt only where nothing else can have caused it: on a
//     connection that carried no earlier attempt, or whose server has never identified its responses. An attempt
//     without an ID is sent on a connection of its own.
//  4. A response proves that its attempt was not run only if it says so in the header for it, has a status that fits, and
//     belongs to the attempt by its ID or as the first response on its connection. Nothing else proves it: without the
//     header, a status that promises it to callers proves nothing.
//  5. A success proves that the attempt was run if it has the server's stamp. Any other status that does not promise the
//     contrary proves it, too.
//  6. What is remembered is bounded. A connection on which maxRemembered requests had no success is not used again.
package attest

import (
	"net/http"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// MaxHeadBytes is the maximum size in bytes of the head of a response. A server may send one without end.
const MaxHeadBytes = 64 << 10

// maxRemembered is the number of request IDs that are remembered of a connection, 8 bytes each (6).
const maxRemembered = 1024

// Owner is the attempt that a response belongs to.
type Owner int

// Values of Owner.
const (
	// Unidentified means that the response may belong to any attempt, or to none.
	Unidentified Owner = iota
	// This means the attempt under way.
	This
	// Another means another attempt.
	Another
)

// String returns the owner as used in metrics and logs.
func (o Owner) String() string { return [...]string{"unidentified", "this", "another"}[o] }

// Proof is what a response proves about the attempt under way.
type Proof int

// Values of Proof.
const (
	// Nothing means that the server may run the attempt.
	Nothing Proof = iota
	// NotRun means that the server has not run the attempt and never will.
	NotRun
	// Run means that the response is the server's answer to the attempt.
	Run
)

// String returns the proof as used in metrics and logs.
func (p Proof) String() string { return [...]string{"nothing", "not-run", "run"}[p] }

// Headers are the names of the headers of a response that matter here.
type Headers struct {
	RequestID string // repeats the ID of the request
	NotRun    string // the server did not run the request
	Stamp     string // the server generated the response; "" if successes have no stamp
}

// Ruling is the result for one response.
type Ruling struct {
	Owner Owner
	Proof Proof
}

// History is what is remembered of a connection. The zero value is that of a new one. It is not safe for concurrent use.
type History struct {
	attempts     int      // sent on the connection
	identifies   bool     // the server has sent an ID in a response
	unidentified bool     // an attempt without an ID was sent
	unsuccessful []uint64 // hashes of the IDs whose response was no success
}

// OfReused returns the history of a connection of which it is only known that it carried attempts with other IDs.
func OfReused() *History { return &History{attempts: 1} }

// MayCarry reports whether an attempt of the request with an ID may be sent on the connection (2, 3).
func (h *History) MayCarry(id string) bool {
	return h.attempts == 0 || id != "" && !h.unidentified && !h.remembers(id)
}

// Reusable reports whether the connection may carry attempts of other requests (3, 6).
func (h *History) Reusable() bool {
	return !h.unidentified && len(h.unsuccessful) < maxRemembered
}

// Begin records that an attempt is about to be sent.
func (h *History) Begin(id string) {
	h.attempts++
	h.unidentified = h.unidentified || id == ""
}

// Judge decides on a final response that was read while an attempt with an ID was under way.
func (h *History) Judge(id string, status int, header http.Header, names *Headers) Ruling {
	owner := h.owner(id, header.Values(names.RequestID))
	if owner != This {
		return Ruling{Owner: owner}
	}
	identified := h.attempts <= 1 || len(header.Values(names.RequestID)) > 0
	ruling := Ruling{Owner: owner, Proof: proofOf(status, header, names)}
	if ruling.Proof == NotRun && (!identified || h.remembers(id)) {
		ruling.Proof = Nothing
	}
	if id != "" && status >= http.StatusMultipleChoices && !h.remembers(id) {
		h.unsuccessful = append(h.unsuccessful, xxhash.Sum64String(id))
	}
	return ruling
}

func (h *History) owner(id string, ids []string) Owner {
	switch {
	case len(ids) == 0 && (h.attempts <= 1 || !h.identifies): // (3)
		return This
	case len(ids) == 0:
		return Unidentified
	}
	h.identifies = true
	switch {
	case slices.ContainsFunc(ids, func(other string) bool { return other != ids[0] }):
		return Unidentified
	case ids[0] != id: // (1)
		return Another
	}
	return This
}

func (h *History) remembers(id string) bool {
	return len(h.unsuccessful) > 0 && slices.Contains(h.unsuccessful, xxhash.Sum64String(id))
}

// proofOf returns what a response proves about the attempt that it belongs to (4, 5).
func proofOf(status int, header http.Header, names *Headers) Proof {
	if says, contrary := header.Get(names.NotRun), false; says != "" {
		if denied, err := strconv.ParseBool(says); err == nil {
			contrary = !denied
		}
		if !contrary && (status == http.StatusServiceUnavailable || status >= http.StatusBadRequest && status < http.StatusInternalServerError) {
			return NotRun
		}
		return Nothing
	}
	switch {
	case Promises(status):
		return Nothing
	case status < http.StatusMultipleChoices && names.Stamp != "" && header.Get(names.Stamp) == "":
		return Nothing
	}
	return Run
}

// Promises reports whether a status promises to callers that their request has not run and never will.
func Promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}
