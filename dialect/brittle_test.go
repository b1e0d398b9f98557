package dialect

import (
	"testing"

	. "github.com/onsi/gomega"
)

func TestParseBrittle(t *testing.T) {
	for name, c := range map[string]struct {
		values  []string
		want    Brittle
		wantErr bool
	}{
		"none":              {nil, 0, false},
		"number":            {[]string{" 5 "}, 5, false},
		"lowest of several": {[]string{"9", "4"}, 4, false},
		"one malformed":     {[]string{"x", "4"}, 4, true},
		"zero":              {[]string{"0"}, 0, true},
		"negative":          {[]string{"-1"}, 0, true},
		"too large":         {[]string{"1000000000000"}, 0, true},
		"fraction":          {[]string{"1.5"}, 0, true},
		"empty":             {[]string{""}, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			b, err := ParseBrittle(c.values)
			g.Expect(b).To(Equal(c.want))
			g.Expect(err != nil).To(Equal(c.wantErr))
		})
	}
}
