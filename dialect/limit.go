package dialect

import (
	"math"
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("dialect")

// Limit is the request rate, in thousandths of a request per second, that a backend server accepts
// from all boxes together, for as long as its responses say so. 0 means no limit. It is an integer
// because boxes replicate and compare it.
type Limit uint32

const (
	// minLimit replaces lower limits, including 0: without one request in 20 s no box would learn that
	// the limit has ended.
	minLimit Limit = 50
	// maxLimit replaces higher limits: no server handles a million requests per second.
	maxLimit Limit = 1_000_000_000
)

// PerSecond returns the limit in requests per second.
func (l Limit) PerSecond() float64 { return float64(l) / 1000 }

// NewLimit returns the limit for a rate in requests per second, clamped to the permitted range; a rate
// that is not positive means no limit.
func NewLimit(perSecond float64) Limit {
	if !(perSecond > 0) {
		return 0
	}
	return Limit(min(max(perSecond*1000, float64(minLimit)), float64(maxLimit)))
}

// ParseLimit parses the values of the limit header, which are decimal numbers. No value means no
// limit; of several values the lowest applies. Malformed values are skipped; if none is left, valid is
// false and the previous limit remains in effect. The error reports skipped and clamped values.
func ParseLimit(values []string) (l Limit, valid bool, err error) {
	if len(values) == 0 {
		return 0, true, nil
	}
	for _, v := range values {
		parsed, clamped, ok := parseLimitValue(v)
		if !ok || clamped {
			err = Error.New("limit %q is malformed or out of range", truncate(v))
		}
		if ok && (!valid || parsed < l) {
			l, valid = parsed, true
		}
	}
	return l, valid, err
}

func parseLimitValue(v string) (l Limit, clamped, ok bool) {
	f, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
	switch {
	case err != nil, math.IsNaN(f), math.IsInf(f, 0), f < 0:
		return 0, false, false
	case f*1000 < float64(minLimit):
		return minLimit, true, true
	case f*1000 > float64(maxLimit):
		return maxLimit, true, true
	}
	return Limit(math.Floor(f * 1000)), false, true
}

// maxLoggedValue is the length in bytes to which malformed values are truncated in errors.
const maxLoggedValue = 40

func truncate(v string) string { return v[:min(len(v), maxLoggedValue)] }
