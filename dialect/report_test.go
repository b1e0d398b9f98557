package dialect

import (
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

var receivedAt = time.Date(2026, 12, 3, 7, 0, 0, 0, time.UTC)

func TestParseRetryAfter(t *testing.T) {
	for name, c := range map[string]struct {
		values  []string
		date    string
		backoff time.Duration
		wantErr bool
	}{
		"integer":                 {[]string{"3"}, "", 3 * time.Second, false},
		"a fraction":              {[]string{" 0.25 "}, "", 250 * time.Millisecond, false},
		"zero":                    {[]string{"0"}, "", 0, false},
		"a date":                  {[]string{"Thu, 03 Dec 2026 07:00:05 GMT"}, "", 5 * time.Second, false},
		"a date relative to Date": {[]string{"Thu, 03 Dec 2026 09:00:05 GMT"}, "Thu, 03 Dec 2026 09:00:00 GMT", 5 * time.Second, false},
		"a date in the past":      {[]string{"Thu, 03 Dec 2026 06:00:05 GMT"}, "", 0, false},
		"two: the longer":         {[]string{"1", "4"}, "", 4 * time.Second, false},
		"two, one malformed":      {[]string{"soon", "4"}, "", 4 * time.Second, true},
		"huge":                    {[]string{"1e30"}, "", maxBackoff, true},
		"infinite":                {[]string{"+Inf"}, "", 0, true},
		"beyond a float":          {[]string{"1e999"}, "", 0, true},
		"not a number":            {[]string{"NaN"}, "", 0, true},
		"negative":                {[]string{"-1"}, "", 0, true},
		"empty":                   {[]string{""}, "", 0, true},
		"text":                    {[]string{"later"}, "", 0, true},
	} {
		g := NewWithT(t)
		backoff, err := ParseRetryAfter(c.values, c.date, receivedAt)
		g.Expect(backoff).To(Equal(c.backoff), name)
		g.Expect(err != nil).To(Equal(c.wantErr), name)
	}
}

func TestParseDraining(t *testing.T) {
	for name, c := range map[string]struct {
		values   []string
		draining bool
		wantErr  bool
	}{
		"one":                {[]string{"1"}, true, false},
		"true":               {[]string{" true "}, true, false},
		"zero":               {[]string{"0"}, false, false},
		"empty":              {[]string{""}, false, true},
		"text":               {[]string{"soon"}, false, true},
		"two, one true":      {[]string{"0", "1"}, true, false},
		"two, one malformed": {[]string{"x", "1"}, true, true},
	} {
		g := NewWithT(t)
		draining, err := ParseDraining(c.values)
		g.Expect(draining).To(Equal(c.draining), name)
		g.Expect(err != nil).To(Equal(c.wantErr), name)
	}
}

// Retry-After is a backoff of the server only with status 503; with other statuses it is about the
// request.
func TestReadReport(t *testing.T) {
	g := NewWithT(t)
	h := http.Header{"Retry-After": {"2"}, "X-Server-Draining": {"1"}, "X-Server-Limit": {"3"}, "X-Server-Stamp": {"s"}}
	r := Native.ReadReport(http.StatusServiceUnavailable, h, receivedAt)
	g.Expect(r).To(Equal(Report{FromServer: true, HasLimit: true, Limit: 3000, Backoff: 2 * time.Second, Draining: true, DrainTTL: Native.DrainTTL}))
	for _, status := range []int{http.StatusOK, http.StatusTooManyRequests, http.StatusMovedPermanently, http.StatusMisdirectedRequest} {
		g.Expect(Native.ReadReport(status, h, receivedAt).Backoff).To(BeZero(), http.StatusText(status))
	}
	g.Expect(Native.ReadReport(http.StatusServiceUnavailable, http.Header{}, receivedAt)).To(Equal(Report{}))
}

// Guards against allocations for responses that report nothing about their server.
func TestReadReportWithoutReportDoesNotAllocate(t *testing.T) {
	h := http.Header{"Content-Type": {"text/event-stream"}, "X-Server-Stamp": {"s"}, "Date": {"Thu, 03 Dec 2026 07:00:05 GMT"}}
	NewWithT(t).Expect(testing.AllocsPerRun(100, func() { Native.ReadReport(http.StatusOK, h, receivedAt) })).To(BeZero())
}

func BenchmarkReadReport(b *testing.B) {
	h := http.Header{"Content-Type": {"text/event-stream"}, "X-Server-Stamp": {"s"}, "Date": {"Thu, 03 Dec 2026 07:00:05 GMT"}}
	b.ReportAllocs()
	for b.Loop() {
		Native.ReadReport(http.StatusOK, h, receivedAt)
	}
}

// FuzzParseRetryAfter checks that any header values yield a backoff within bounds and a short error.
func FuzzParseRetryAfter(f *testing.F) {
	for _, v := range []string{"1", "0.4", "", "NaN", "-0", "1e309", "0x1p4", "Thu, 03 Dec 2026 07:00:05 GMT", "Mon, 31 Dec 9999 23:59:59 GMT", strings.Repeat("9", 500)} {
		f.Add(v, "2", "Thu, 03 Dec 2026 07:00:05 GMT")
	}
	f.Fuzz(func(t *testing.T, a, b, date string) {
		g := NewWithT(t)
		backoff, err := ParseRetryAfter([]string{a, b}, date, receivedAt)
		g.Expect(backoff).To(BeNumerically(">=", 0))
		g.Expect(backoff).To(BeNumerically("<=", maxBackoff))
		if err != nil {
			g.Expect(len(err.Error())).To(BeNumerically("<", 300))
		}
	})
}

func FuzzParseDraining(f *testing.F) {
	f.Add("1", "x")
	f.Fuzz(func(t *testing.T, a, b string) {
		if _, err := ParseDraining([]string{a, b}); err != nil {
			NewWithT(t).Expect(len(err.Error())).To(BeNumerically("<", 300))
		}
	})
}
