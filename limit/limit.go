// Package limit reads the limits that backend servers name in their answers: how many requests
// a second a server takes from all boxes together, for as long as its answers say so.
package limit

import (
	"math"
	"strconv"
	"strings"

	"github.com/zeebo/errs"
)

// Error is the class of this package's errors.
var Error = errs.Class("limit")

// Rate is a limit in thousandths of a request a second; 0: none. It is agreed between boxes and
// compared there, so it is a whole number.
type Rate uint32

const (
	// least stands for lower limits, 0 included: without one request in 20 s nobody would learn of the limit's end.
	least Rate = 50
	// most stands for higher ones: no server takes a million requests a second.
	most Rate = 1_000_000_000
)

// PerSecond returns the limit in requests a second.
func (r Rate) PerSecond() float64 { return float64(r) / 1000 }

// Read reads the values of the header that names a limit, in decimals. Without a value there is no limit. Of
// several the lowest holds. What cannot be read names nothing: said is false then, and the limit
// before stands. The error says what was passed over or clamped.
func Read(values []string) (rate Rate, said bool, err error) {
	if len(values) == 0 {
		return 0, true, nil
	}
	for _, v := range values {
		r, clamped, ok := readOne(v)
		if !ok || clamped {
			err = Error.New("%q is not a limit that is taken as it is", clip(v))
		}
		if ok && (!said || r < rate) {
			rate, said = r, true
		}
	}
	return rate, said, err
}

func readOne(v string) (rate Rate, clamped, ok bool) {
	f, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
	switch {
	case err != nil, math.IsNaN(f), math.IsInf(f, 0), f < 0:
		return 0, false, false
	case f*1000 < float64(least):
		return least, true, true
	case f*1000 > float64(most):
		return most, true, true
	}
	return Rate(math.Floor(f * 1000)), false, true
}

// clipped is how much of a malformed value is logged, in bytes.
const clipped = 40

func clip(v string) string { return v[:min(len(v), clipped)] }
