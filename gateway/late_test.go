package gateway

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/fleet"
	"leverdrum/meter"
)

// Guards against a flood of lines when many requests are late, and against a wrong count of those left out.
func TestLateLinesAreBounded(t *testing.T) {
	g := NewWithT(t)
	s := &lineSampler{}
	start := time.Unix(1000, 0)
	lines, skippedSum := 0, 0
	for i := range 300 { // 100 a second
		if skipped, ok := s.admit(start.Add(time.Duration(i) * 10 * time.Millisecond)); ok {
			lines++
			skippedSum += skipped
		}
	}
	g.Expect(lines).To(Equal(3 * maxLateLines))
	g.Expect(lines + skippedSum + s.skipped).To(Equal(300))
}

// Guards against requests that count as late without a target, as errors, or under both causes.
func TestLateCause(t *testing.T) {
	const target, gap = 400 * time.Millisecond, 300 * time.Millisecond
	for name, c := range map[string]struct {
		route          fleet.Route
		status         int
		first, longest time.Duration
		want           string
	}{
		"in time":     {fleet.Route{LatencyTarget: target, EventGapTarget: gap}, http.StatusOK, target, gap, ""},
		"first event": {fleet.Route{LatencyTarget: target, EventGapTarget: gap}, http.StatusOK, target + 1, gap + 1, meter.LateFirstEvent},
		"gap":         {fleet.Route{LatencyTarget: target, EventGapTarget: gap}, http.StatusOK, target, gap + 1, meter.LateGap},
		"no targets":  {fleet.Route{}, http.StatusOK, time.Hour, time.Hour, ""},
		"error":       {fleet.Route{LatencyTarget: target}, http.StatusInternalServerError, time.Hour, 0, ""},
	} {
		j := &job{route: &c.route, headSent: true, status: c.status, firstEventAfter: c.first, longestPause: c.longest}
		NewWithT(t).Expect(j.lateCause()).To(Equal(c.want), name)
	}
}
