package entry_test

import (
	"net/http"
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/entry"
	"leverdrum/standin"
)

// maxDuringBackoff returns the maximum number of calls that arrived after a rejected call, between 500
// ms later and the end of its backoff. All calls that arrived before until were rejected.
func maxDuringBackoff(arrivals []time.Time, until time.Time, backoff time.Duration) (maxCalls int) {
	for i, rejectedAt := range arrivals {
		n := 0
		for _, at := range arrivals[i+1:] {
			if since := at.Sub(rejectedAt); since > 500*time.Millisecond && since < backoff {
				n++
			}
		}
		if rejectedAt.Before(until) {
			maxCalls = max(maxCalls, n)
		}
	}
	return maxCalls
}

// Guards Retry-After on the entry interface: calls must go to the other instance and return when the
// backoff ends. A backoff must not count as a failure of the instance.
func TestRetryAfterIsHonored(t *testing.T) {
	g := NewWithT(t)
	l := newLimitedBoxes(t, 1, 2)
	const backoff = 1500 * time.Millisecond
	l.instances[0].SetFaults(standin.Faults{RetryAfter: "1.5"})
	_, refused := l.sendCalls(t, 40, 4*time.Second)
	l.instances[0].SetFaults(standin.Faults{})
	until := time.Now()
	g.Expect(refused).To(BeEmpty(), "the other instance has capacity")
	rejected := len(l.instances[0].ArrivalTimes())
	l.sendCalls(t, 40, backoff+2*time.Second)
	arrivals := l.instances[0].ArrivalTimes()
	t.Logf("%d calls rejected, %d accepted afterwards", rejected, len(arrivals)-rejected)
	g.Expect(maxDuringBackoff(arrivals, until, backoff)).To(BeNumerically("<=", 2))
	g.Expect(len(arrivals)-rejected).To(BeNumerically(">", 20), "the instance gets half of the calls again")
}

func TestCallsDuringBackoffAreRefusedImmediately(t *testing.T) {
	g := NewWithT(t)
	l := newLimitedBoxes(t, 1, 1)
	l.instances[0].SetFaults(standin.Faults{RetryAfter: "2"})
	_, refused := l.sendCalls(t, 30, 5*time.Second)
	until := time.Now()
	g.Expect(maxDuringBackoff(l.instances[0].ArrivalTimes(), until, 2*time.Second)).To(BeNumerically("<=", 2))
	g.Expect(len(refused)).To(BeNumerically(">", 100))
	inBackoff := 0
	for _, r := range refused {
		g.Expect(r.StatusCode).To(Equal(http.StatusServiceUnavailable))
		g.Expect(r.Header.Get(entry.HeaderOutcome)).To(Equal("not-run"))
		if r.Header.Get(entry.HeaderReason) == "servers-resting" {
			inBackoff++
		}
		after, err := strconv.Atoi(r.Header.Get("Retry-After"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(after).To(BeNumerically("<=", 4))
	}
	g.Expect(inBackoff).To(BeNumerically(">", 100))
}

func TestDrainingInstanceGetsNoCalls(t *testing.T) {
	g := NewWithT(t)
	l := newLimitedBoxes(t, 2, 2)
	l.instances[0].SetFaults(standin.Faults{DrainingHeader: true})
	began := time.Now()
	_, refused := l.sendCalls(t, 40, 4*time.Second)
	g.Expect(refused).To(BeEmpty())
	for _, at := range l.instances[0].ArrivalTimes() {
		g.Expect(at.Sub(began)).To(BeNumerically("<", 2*time.Second))
	}
}

// Guards against ejecting an instance that asked for many short backoffs: it must get calls as soon as
// it accepts them again.
func TestBackoffIsNotCountedAsFailure(t *testing.T) {
	g := NewWithT(t)
	l := newLimitedBoxes(t, 1, 2)
	l.instances[0].SetFaults(standin.Faults{RetryAfter: "0.05"})
	_, refused := l.sendCalls(t, 40, 8*time.Second)
	g.Expect(refused).To(BeEmpty())
	rejected := len(l.instances[0].ArrivalTimes())
	g.Expect(rejected).To(BeNumerically(">", 10))
	l.instances[0].SetFaults(standin.Faults{})
	sent, _ := l.sendCalls(t, 40, 6*time.Second)
	g.Expect(len(l.instances[0].ArrivalTimes())-rejected).To(BeNumerically(">", sent/4), "the instance gets half of the calls, by chance")
}
