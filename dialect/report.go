package dialect

import (
	"net/http"
	"time"
)

// Report is what an answer says of the server that gave it, beside the answer to its request. The zero value says
// nothing.
type Report struct {
	// FromServer tells that the answer is surely the server's: only then does one without a limit say that there is none.
	FromServer bool
	// HasLimit tells that the answer names a limit that can be read, LimitErr why it is not taken as it is.
	HasLimit bool
	Limit    Limit
	LimitErr error
	// Backoff is for how long the server wants no request from the box that it answered, 0 where it does not say;
	// RestErr tells why it is not taken as it is.
	Backoff    time.Duration
	BackoffErr error
	// Draining tells that the server is about to end. DrainTTL bounds for how long that holds; 0: for the server's life.
	Draining    bool
	DrainTTL    time.Duration
	DrainingErr error
}

// FromOtherServer reports whether an answer is of another server than the one that was meant; "" where none was.
func (d *Dialect) FromOtherServer(h http.Header, meant string) bool {
	id := h.Get(d.ServerID)
	return id != "" && meant != "" && id != meant
}

// headerRetryAfter tells, with a 503, for how long a server wants to rest.
const headerRetryAfter = "Retry-After"

// ReadReport reads the headers of an answer by which its server speaks of itself.
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
	return r
}
