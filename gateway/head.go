package gateway

import (
	"io"
	"net/http"
	"time"

	"leverdrum/internal/attest"
	"leverdrum/internal/framing"
	"leverdrum/internal/responsehead"
)

const (
	// headTimeout bounds the time from the first byte of a response's head to its last one. It leaves time for lost packets
	// to be sent again.
	headTimeout = time.Second
	// idleSurplusTimeout bounds the reading of responses that have arrived on an idle connection. A request waits for it.
	idleSurplusTimeout = 2 * time.Millisecond
)

// readHead reads the head of a response, within headTimeout from its first byte. All its bytes are checked before net/http has
// the last of them (package responsehead).
func (x *conn) readHead(r *http.Request) (*http.Response, error) {
	x.head = responsehead.Head{}
	buffered, _ := x.in.Peek(x.in.Buffered()) // no more than is buffered
	_, ended, err := x.head.Feed(buffered)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	x.readingHead = !ended
	defer func() { x.readingHead = false }()
	if _, err := x.in.Peek(1); err != nil {
		return nil, Error.Wrap(err)
	}
	timer := x.abortReadAfter(headTimeout)
	resp, err := http.ReadResponse(x.in, r)
	inTime := timer.Stop()
	if _, _, malformed := x.head.Feed(nil); malformed != nil {
		err = malformed // net/http may report it in other words
	}
	if !inTime && err == nil {
		err = errSlowHead
	}
	if err == nil && !x.head.Ended() {
		err = errUncheckedHead
	}
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return resp, nil
}

// errUncheckedHead is returned where net/http ended a head before its check did.
var errUncheckedHead = Error.New("the head of the response did not end where its check does")

// errSlowHead is returned where the head of a response did not arrive within headTimeout.
var errSlowHead = Error.New("the head of the response did not arrive in time")

// abortReadAfter makes reads fail after d, unless the timer is stopped before.
func (x *conn) abortReadAfter(d time.Duration) *time.Timer {
	return time.AfterFunc(d, func() { _ = x.SetReadDeadline(time.Unix(1, 0)) }) // fails only on a closed connection
}

// skipSurplus reads the responses that have arrived on an idle connection. It reports whether they were whole and say which
// request they are for: the next response then begins behind them.
func (x *conn) skipSurplus(names *attest.Headers) bool {
	if x.SetReadDeadline(time.Now().Add(idleSurplusTimeout)) != nil {
		return false
	}
	for n := 0; x.in.Buffered() > 0 || x.hasUnread(); n++ {
		resp, err := x.readHead(&http.Request{Method: http.MethodPost})
		if err != nil || n == maxSurplus || resp.Header.Get(names.RequestID) == "" || !framing.Delimited(http.MethodPost, resp) {
			return false
		}
		if size, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxSurplusBytes)); err != nil || size == maxSurplusBytes {
			return false
		}
	}
	return x.SetReadDeadline(time.Time{}) == nil
}
