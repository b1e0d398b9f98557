package gateway

import (
	"io"
	"net/http"
	"sync/atomic"

	"leverdrum/fleet"
	"leverdrum/reason"
)

// maxBody bounds a body when the configuration does not, in bytes.
const maxBody = 8 << 20

// bodyStep is how many bytes are first held for a body of unknown length.
const bodyStep = 16 << 10

// bodies counts the bytes of bodies that the box holds (13).
type bodies struct {
	most int64 // 0: no bound
	held atomic.Int64
}

// bodyHold is one body's part of them.
type bodyHold struct {
	of    *bodies
	bytes int64
}

func (b *bodies) hold() *bodyHold { return &bodyHold{of: b} }

// grow takes so many bytes more, unless that passes the bound.
func (h *bodyHold) grow(n int64) bool {
	if h.of.held.Add(n) > h.of.most && h.of.most > 0 {
		h.of.held.Add(-n)
		return false
	}
	h.bytes += n
	return true
}

func (h *bodyHold) release() {
	h.of.held.Add(-h.bytes)
	h.bytes = 0
}

// readBody is rules 1 and 13.
func readBody(r *http.Request, limits fleet.Limits, hold *bodyHold) ([]byte, *reason.Reason) {
	most := limits.MaxBody
	if most == 0 {
		most = maxBody
	}
	switch {
	case r.ContentLength > most:
		return nil, reason.BodyTooLarge
	case r.ContentLength == 0:
		return nil, nil
	case r.ContentLength > 0:
		return readKnown(r, hold)
	}
	return readUnknown(r, most, hold)
}

// readKnown reads a body that tells its length.
func readKnown(r *http.Request, hold *bodyHold) ([]byte, *reason.Reason) {
	if !hold.grow(r.ContentLength) {
		return nil, reason.BodiesFull
	}
	body := make([]byte, r.ContentLength)
	if _, err := io.ReadFull(r.Body, body); err != nil {
		return nil, reason.BadRequest
	}
	return body, nil
}

// readUnknown reads a body in chunks. Only io.EOF is its end: one that is cut off ends with another error.
func readUnknown(r *http.Request, most int64, hold *bodyHold) (body []byte, why *reason.Reason) {
	for {
		if len(body) == cap(body) {
			step := min(max(bodyStep, len(body)), int(most)+1-len(body))
			if !hold.grow(int64(step)) {
				return nil, reason.BodiesFull
			}
			body = append(make([]byte, 0, len(body)+step), body...)
		}
		n, err := r.Body.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > most:
			return nil, reason.BodyTooLarge
		case err == io.EOF:
			return body, nil
		case err != nil:
			return nil, reason.BadRequest
		}
	}
}
