package dialect

import (
	"strconv"
	"strings"
)

// Brittle is the number of requests that a backend server can reject in a second for want of room, from all boxes together,
// without falling over. 0 means any number.
type Brittle uint32

// maxBrittle is above what any server receives in a second.
const maxBrittle = 1_000_000

// ParseBrittle parses the values of the header in which a server reports that it is brittle. Each is a whole number from 1 to
// maxBrittle. Of several, the lowest applies. Malformed values are skipped, and reported in the error.
func ParseBrittle(values []string) (b Brittle, err error) {
	for _, v := range values {
		n, parseErr := strconv.ParseUint(strings.TrimSpace(v), 10, 32)
		if parseErr != nil || n == 0 || n > maxBrittle {
			err = Error.New("brittle value %q is malformed or out of range", truncate(v))
			continue
		}
		if b == 0 || Brittle(n) < b {
			b = Brittle(n)
		}
	}
	return b, err
}
