package dialect

import (
	"math"
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("dialect")

// Limit is how many thousandths of a request a second a backend server takes from all boxes together, for as long as
// its answers say so; 0: no limit. Boxes agree on it and compare it, so it is a whole number.
type Limit uint32

const (
	// leastLimit stands for lower limits, 0 included: without one request in 20 s nobody would learn of the limit's end.
	leastLimit Limit = 50
	// mostLimit stands for higher ones: no server takes a million requests a second.
	mostLimit Limit = 1_000_000_000
)

// PerSecond returns the limit in requests a second.
func (l Limit) PerSecond() float64 { return float64(l) / 1000 }

// NewLimit returns the limit of so many requests a second, 0 for none.
func NewLimit(perSecond float64) Limit {
	if !(perSecond > 0) {
		return 0
	}
	return Limit(min(max(perSecond*1000, float64(leastLimit)), float64(mostLimit)))
}

// ParseLimit reads the values of the header that names a limit, in decimals. Without a value there is no limit. Of
// several the lowest holds. What cannot be read names nothing: said is false then, and the limit
// before stands. The error says what was passed over or clamped.
func ParseLimit(values []string) (l Limit, said bool, err error) {
	if len(values) == 0 {
		return 0, true, nil
	}
	for _, v := range values {
		one, clamped, ok := readOneLimit(v)
		if !ok || clamped {
			err = Error.New("%q is not a limit that is taken as it is", clip(v))
		}
		if ok && (!said || one < l) {
			l, said = one, true
		}
	}
	return l, said, err
}

func readOneLimit(v string) (l Limit, clamped, ok bool) {
	f, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
	switch {
	case err != nil, math.IsNaN(f), math.IsInf(f, 0), f < 0:
		return 0, false, false
	case f*1000 < float64(leastLimit):
		return leastLimit, true, true
	case f*1000 > float64(mostLimit):
		return mostLimit, true, true
	}
	return Limit(math.Floor(f * 1000)), false, true
}

// clipped is how much of a malformed value is logged, in bytes.
const clipped = 40

func clip(v string) string { return v[:min(len(v), clipped)] }
