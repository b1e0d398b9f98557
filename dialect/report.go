package dialect

import (
	"net/http"
	"time"
)

// Report is what a response reports about its server, apart from the response itself. The zero value
// reports nothing.
type Report struct {
	// FromServer is set if the response certainly comes from the server itself. Only then does a
	// response without a limit mean that there is none.
	FromServer bool
	// HasLimit is set if the response has a valid limit. LimitErr is set if a value was malformed or
	// clamped.
	HasLimit bool
	Limit    Limit
	LimitErr error
	// Backoff is how long the server wants no request from the box that received the response, 0 if it
	// does not say. BackoffErr is set if a value was malformed or clamped.
	Backoff    time.Duration
	BackoffErr error
	// Draining is set if the server is about to terminate. DrainTTL bounds how long that holds; 0
	// means until the server's incarnation ends.
	Draining    bool
	DrainTTL    time.Duration
	DrainingErr error
	// Brittle is set if the server is brittle. BrittleErr is set if a value was malformed.
	Brittle    Brittle
	BrittleErr error
	// Rejected is set if the server did not run the request and asked for no backoff.
	Rejected bool
}

// FromOtherServer reports whether a response comes from another server than expected; "" expects none
// in particular.
func (d *Dialect) FromOtherServer(h http.Header, expected string) bool {
	id := h.Get(d.ServerID)
	return id != "" && expected != "" && id != expected
}

// headerRetryAfter carries the server's backoff in responses with status 503.
const headerRetryAfter = "Retry-After"

// ReadReport parses the headers in which a server reports its own state.
func (d *Dialect) ReadReport(status int, h http.Header, now time.Time) Report {
	r := Report{FromServer: d.Stamp != "" && h.Get(d.Stamp) != ""}
	if values := h[d.Limit]; len(values) > 0 {
		r.Limit, r.HasLimit, r.LimitErr = ParseLimit(values)
	}
	if values := h[headerRetryAfter]; len(values) > 0 && status == http.StatusServiceUnavailable {
		r.Backoff, r.BackoffErr = ParseRetryAfter(values, h.Get("Date"), now)
	}
	if values := h[d.Draining]; len(values) > 0 {
		r.Draining, r.DrainingErr = ParseDraining(values)
		r.DrainTTL = d.DrainTTL
	}
	if values := h[d.Brittle]; len(values) > 0 {
		r.Brittle, r.BrittleErr = ParseBrittle(values)
	}
	r.Rejected = status == http.StatusServiceUnavailable && r.Backoff == 0 && h.Get(d.NotRun) != ""
	return r
}
