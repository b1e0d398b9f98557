package dialect

import (
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// maxRest stands for longer rests: no server's life is longer, and no clock overflows.
const maxRest = 365 * 24 * time.Hour

// ParseRetryAfter reads the values of Retry-After: seconds, with fractions or without, or a date, which counts from the answer's own
// Date where it has one. Of several the longest holds. What cannot be read is skipped; the error says what was
// skipped or clamped.
func ParseRetryAfter(values []string, date string, now time.Time) (rest time.Duration, err error) {
	if answered, dateErr := http.ParseTime(date); dateErr == nil {
		now = answered
	}
	for _, v := range values {
		one, ok := readOneRest(strings.TrimSpace(v), now)
		if !ok || one > maxRest {
			err = Error.New("%q is not a time to rest that is taken as it is", clip(v))
		}
		if ok {
			rest = max(rest, min(one, maxRest))
		}
	}
	return rest, err
}

func readOneRest(v string, now time.Time) (rest time.Duration, ok bool) {
	if at, err := http.ParseTime(v); err == nil {
		return max(0, at.Sub(now)), true
	}
	seconds, err := strconv.ParseFloat(v, 64)
	switch {
	case math.IsNaN(seconds), seconds < 0:
		return 0, false
	case seconds > maxRest.Seconds() && !math.IsInf(seconds, 0):
		return maxRest + 1, true
	case err != nil, math.IsInf(seconds, 0):
		return 0, false
	}
	return time.Duration(math.Ceil(seconds * float64(time.Second))), true
}

// ParseDraining reads the values of the header by which a server says that it is about to end. One that says so is
// enough.
func ParseDraining(values []string) (draining bool, err error) {
	for _, v := range values {
		one, parseErr := strconv.ParseBool(strings.TrimSpace(v))
		if parseErr != nil {
			err = Error.New("%q does not tell whether the server drains", clip(v))
		}
		draining = draining || one
	}
	return draining, err
}
