package gateway

import (
	"io"
	"net/http"
	"sync/atomic"

	"leverdrum/fleet"
	"leverdrum/reason"
)

// maxBody is the default limit of a request body in bytes, used where the configuration sets none.
const maxBody = 8 << 20

// initialBodyStep is the size of the first buffer, in bytes, for a body of unknown length.
const initialBodyStep = 16 << 10

// bodies counts the bytes of request bodies that the box holds in memory (13).
type bodies struct {
	limit int64 // 0: no limit
	used  atomic.Int64
}

// bodyReservation is the memory reserved for one request body.
type bodyReservation struct {
	bodies *bodies
	size   int64
}

func (b *bodies) reserve() *bodyReservation { return &bodyReservation{bodies: b} }

// grow reserves n more bytes and reports false where that would exceed the limit.
func (h *bodyReservation) grow(n int64) bool {
	if h.bodies.used.Add(n) > h.bodies.limit && h.bodies.limit > 0 {
		h.bodies.used.Add(-n)
		return false
	}
	h.size += n
	return true
}

func (h *bodyReservation) release() {
	h.bodies.used.Add(-h.size)
	h.size = 0
}

// readBody reads a request body completely (1), within the size limit and the memory that the box has
// for request bodies (13).
func readBody(r *http.Request, limits fleet.Limits, reservation *bodyReservation) ([]byte, *reason.Reason) {
	limit := limits.MaxBody
	if limit == 0 {
		limit = maxBody
	}
	switch {
	case r.ContentLength > limit:
		return nil, reason.BodyTooLarge
	case r.ContentLength == 0:
		return nil, nil
	case r.ContentLength > 0:
		return readSized(r, reservation)
	}
	return readUnsized(r, limit, reservation)
}

// readSized reads a body whose length the request states.
func readSized(r *http.Request, reservation *bodyReservation) ([]byte, *reason.Reason) {
	if !reservation.grow(r.ContentLength) {
		return nil, reason.BodyMemoryFull
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, reason.BadRequest
	}
	return body, nil
}

// readUnsized reads a body of unknown length in steps. Only io.EOF ends it: a body that is cut off
// returns another error.
func readUnsized(r *http.Request, limit int64, reservation *bodyReservation) (body []byte, refusal *reason.Reason) {
	for {
		if len(body) == cap(body) {
			step := min(max(initialBodyStep, len(body)), int(limit)+1-len(body))
			if !reservation.grow(int64(step)) {
				return nil, reason.BodyMemoryFull
			}
			body = append(make([]byte, 0, len(body)+step), body...)
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, reason.BodyTooLarge
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, reason.BadRequest
		}
	}
}
