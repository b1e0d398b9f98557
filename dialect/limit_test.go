package dialect

import (
	"math"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func TestParseLimit(t *testing.T) {
	for name, c := range map[string]struct {
		values  []string
		limit   Limit
		valid   bool
		wantErr bool
	}{
		"none":               {nil, 0, true, false},
		"integer":            {[]string{"3"}, 3000, true, false},
		"a fraction":         {[]string{" 0.4 "}, 400, true, false},
		"rounded down":       {[]string{"1.0009"}, 1000, true, false},
		"zero":               {[]string{"0"}, minLimit, true, true},
		"tiny":               {[]string{"1e-9"}, minLimit, true, true},
		"huge":               {[]string{"1e30"}, maxLimit, true, true},
		"infinite":           {[]string{"+Inf"}, 0, false, true},
		"beyond a float":     {[]string{"1e999"}, 0, false, true},
		"not a number":       {[]string{"NaN"}, 0, false, true},
		"negative":           {[]string{"-1"}, 0, false, true},
		"empty":              {[]string{""}, 0, false, true},
		"text":               {[]string{"much"}, 0, false, true},
		"two: the lower":     {[]string{"5", "2"}, 2000, true, false},
		"two, one malformed": {[]string{"x", "2"}, 2000, true, true},
	} {
		g := NewWithT(t)
		limit, valid, err := ParseLimit(c.values)
		g.Expect(limit).To(Equal(c.limit), name)
		g.Expect(valid).To(Equal(c.valid), name)
		g.Expect(err != nil).To(Equal(c.wantErr), name)
	}
}

// FuzzParseLimit checks that any header values yield a limit within bounds or none, and a short error.
func FuzzParseLimit(f *testing.F) {
	for _, v := range []string{"1", "0.4", "", "NaN", "-0", "1e309", "0x1p4", strings.Repeat("9", 500)} {
		f.Add(v, "2")
	}
	f.Fuzz(func(t *testing.T, a, b string) {
		g := NewWithT(t)
		limit, valid, err := ParseLimit([]string{a, b})
		if valid {
			g.Expect(limit).To(BeNumerically(">=", minLimit))
			g.Expect(limit).To(BeNumerically("<=", maxLimit))
			g.Expect(math.IsInf(limit.PerSecond(), 0)).To(BeFalse())
		}
		if err != nil {
			g.Expect(len(err.Error())).To(BeNumerically("<", 300))
		}
	})
}
