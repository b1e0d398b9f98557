package dialect

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxBackoff replaces longer backoffs: no server runs longer, and the clock arithmetic cannot
// overflow.
const maxBackoff = 365 * 24 * time.Hour

// ParseRetryAfter parses the values of Retry-After. Each is a number of seconds, possibly with a
// fraction, or a date, which is relative to the response's own Date header if there is one. Of several
// values the longest applies. Malformed values are skipped; the error reports skipped and clamped
// values.
func ParseRetryAfter(values []string, date string, now time.Time) (backoff time.Duration, err error) {
	if sentAt, dateErr := http.ParseTime(date); dateErr == nil {
		now = sentAt
	}
	for _, v := range values {
		parsed, ok := parseRetryAfterValue(strings.TrimSpace(v), now)
		if !ok || parsed > maxBackoff {
			err = Error.New("Retry-After value %q is malformed or out of range", truncate(v))
		}
		if ok {
			backoff = max(backoff, min(parsed, maxBackoff))
		}
	}
	return backoff, err
}

func parseRetryAfterValue(v string, now time.Time) (backoff time.Duration, ok bool) {
	if at, err := http.ParseTime(v); err == nil {
		return max(0, at.Sub(now)), true
	}
	seconds, err := strconv.ParseFloat(v, 64)
	switch {
	case math.IsNaN(seconds), seconds < 0:
		return 0, false
	case seconds > maxBackoff.Seconds() && !math.IsInf(seconds, 0):
		return maxBackoff + 1, true
	case err != nil, math.IsInf(seconds, 0):
		return 0, false
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second))), true
}

// ParseDraining parses the values of the header in which a server reports that it is about to
// terminate. One true value is enough.
func ParseDraining(values []string) (draining bool, err error) {
	for _, v := range values {
		parsed, parseErr := strconv.ParseBool(strings.TrimSpace(v))
		if parseErr != nil {
			err = Error.New("draining value %q is not a boolean", truncate(v))
		}
		draining = draining || parsed
	}
	return draining, err
}
