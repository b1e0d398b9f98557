package dialect

import (
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var answeredAt = time.Date(2026, 12, 3, 7, 0, 0, 0, time.UTC)

func TestRestsAreRead(t *testing.T) {
	for name, c := range map[string]struct {
		values []string
		date   string
		rest   time.Duration
		faulty bool
	}{
		"whole":                       {[]string{"3"}, "", 3 * time.Second, false},
		"a fraction":                  {[]string{" 0.25 "}, "", 250 * time.Millisecond, false},
		"zero":                        {[]string{"0"}, "", 0, false},
		"a date":                      {[]string{"Thu, 03 Dec 2026 07:00:05 GMT"}, "", 5 * time.Second, false},
		"a date by the server's time": {[]string{"Thu, 03 Dec 2026 09:00:05 GMT"}, "Thu, 03 Dec 2026 09:00:00 GMT", 5 * time.Second, false},
		"a date that is past":         {[]string{"Thu, 03 Dec 2026 06:00:05 GMT"}, "", 0, false},
		"twice: the longer":           {[]string{"1", "4"}, "", 4 * time.Second, false},
		"twice, one of them reads":    {[]string{"soon", "4"}, "", 4 * time.Second, true},
		"huge":                        {[]string{"1e30"}, "", maxRest, true},
		"infinite":                    {[]string{"+Inf"}, "", 0, true},
		"beyond a float":              {[]string{"1e999"}, "", 0, true},
		"not a number":                {[]string{"NaN"}, "", 0, true},
		"negative":                    {[]string{"-1"}, "", 0, true},
		"empty":                       {[]string{""}, "", 0, true},
		"words":                       {[]string{"later"}, "", 0, true},
	} {
		g := NewWithT(t)
		rest, err := ParseRetryAfter(c.values, c.date, answeredAt)
		g.Expect(rest).To(Equal(c.rest), name)
		g.Expect(err != nil).To(Equal(c.faulty), name)
	}
}

func TestDrainingIsRead(t *testing.T) {
	for name, c := range map[string]struct {
		values   []string
		draining bool
		faulty   bool
	}{
		"one":                   {[]string{"1"}, true, false},
		"true":                  {[]string{" true "}, true, false},
		"zero":                  {[]string{"0"}, false, false},
		"empty":                 {[]string{""}, false, true},
		"words":                 {[]string{"soon"}, false, true},
		"twice, one says so":    {[]string{"0", "1"}, true, false},
		"twice, one is strange": {[]string{"x", "1"}, true, true},
	} {
		g := NewWithT(t)
		draining, err := ParseDraining(c.values)
		g.Expect(draining).To(Equal(c.draining), name)
		g.Expect(err != nil).To(Equal(c.faulty), name)
	}
}

// Retry-After is a server's rest with a 503 alone: with other answers it speaks of the request.
func TestReportsAreRead(t *testing.T) {
	g := NewWithT(t)
	h := http.Header{"Retry-After": {"2"}, "X-Server-Draining": {"1"}, "X-Server-Limit": {"3"}, "X-Server-Stamp": {"s"}}
	r := Native.ReadReport(http.StatusServiceUnavailable, h, answeredAt)
	g.Expect(r).To(Equal(Report{FromServer: true, HasLimit: true, Limit: 3000, Backoff: 2 * time.Second, Draining: true, DrainTTL: Native.DrainTTL}))
	for _, status := range []int{http.StatusOK, http.StatusTooManyRequests, http.StatusMovedPermanently, http.StatusMisdirectedRequest} {
		g.Expect(Native.ReadReport(status, h, answeredAt).Backoff).To(BeZero(), http.StatusText(status))
	}
	g.Expect(Native.ReadReport(http.StatusServiceUnavailable, http.Header{}, answeredAt)).To(Equal(Report{}))
}

// An answer that says nothing of its server costs no allocation.
func TestReportsOfSilentAnswersAllocateNothing(t *testing.T) {
	h := http.Header{"Content-Type": {"text/event-stream"}, "X-Server-Stamp": {"s"}, "Date": {"Thu, 03 Dec 2026 07:00:05 GMT"}}
	NewWithT(t).Expect(testing.AllocsPerRun(100, func() { Native.ReadReport(http.StatusOK, h, answeredAt) })).To(BeZero())
}

func BenchmarkReadReport(b *testing.B) {
	h := http.Header{"Content-Type": {"text/event-stream"}, "X-Server-Stamp": {"s"}, "Date": {"Thu, 03 Dec 2026 07:00:05 GMT"}}
	b.ReportAllocs()
	for b.Loop() {
		Native.ReadReport(http.StatusOK, h, answeredAt)
	}
}

// Whatever a server writes, a rest is within bounds, and a line of it is short.
func FuzzReadRest(f *testing.F) {
	for _, v := range []string{"1", "0.4", "", "NaN", "-0", "1e309", "0x1p4", "Thu, 03 Dec 2026 07:00:05 GMT", "Mon, 31 Dec 9999 23:59:59 GMT", strings.Repeat("9", 500)} {
		f.Add(v, "2", "Thu, 03 Dec 2026 07:00:05 GMT")
	}
	f.Fuzz(func(t *testing.T, a, b, date string) {
		g := NewWithT(t)
		rest, err := ParseRetryAfter([]string{a, b}, date, answeredAt)
		g.Expect(rest).To(BeNumerically(">=", 0))
		g.Expect(rest).To(BeNumerically("<=", maxRest))
		if err != nil {
			g.Expect(len(err.Error())).To(BeNumerically("<", 300))
		}
	})
}

func FuzzReadDraining(f *testing.F) {
	f.Add("1", "x")
	f.Fuzz(func(t *testing.T, a, b string) {
		if _, err := ParseDraining([]string{a, b}); err != nil {
			NewWithT(t).Expect(len(err.Error())).To(BeNumerically("<", 300))
		}
	})
}
