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

// mostInRests is the most calls that came between half a second after a call that was turned away and the end of the rest;
// all that came until a time were turned away.
func mostInRests(came []time.Time, until time.Time, rest time.Duration) (most int) {
	for i, asked := range came {
		n := 0
		for _, at := range came[i+1:] {
			if since := at.Sub(asked); since > 500*time.Millisecond && since < rest {
				n++
			}
		}
		if asked.Before(until) {
			most = max(most, n)
		}
	}
	return most
}

// The product's own interface heeds a rest: calls go to the other instance, and come back when it is over. A rest is not held
// against the instance.
func TestAnInstanceThatAsksForRestGetsIt(t *testing.T) {
	g := NewWithT(t)
	l := newLimitedBoxes(t, 1, 2)
	const rest = 1500 * time.Millisecond
	l.instances[0].Set(standin.Faults{Rest: "1.5"})
	_, refused := l.ask(t, 40, 4*time.Second)
	l.instances[0].Set(standin.Faults{})
	until := time.Now()
	g.Expect(refused).To(BeEmpty(), "the other instance has room")
	turned := len(l.instances[0].Came())
	l.ask(t, 40, rest+2*time.Second)
	came := l.instances[0].Came()
	t.Logf("%d calls turned away, %d taken afterwards", turned, len(came)-turned)
	g.Expect(mostInRests(came, until, rest)).To(BeNumerically("<=", 2))
	g.Expect(len(came)-turned).To(BeNumerically(">", 20), "it takes its half again")
}

func TestCallsOfAnInstanceThatRestsAreRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	l := newLimitedBoxes(t, 1, 1)
	l.instances[0].Set(standin.Faults{Rest: "2"})
	_, refused := l.ask(t, 30, 5*time.Second)
	until := time.Now()
	g.Expect(mostInRests(l.instances[0].Came(), until, 2*time.Second)).To(BeNumerically("<=", 2))
	g.Expect(len(refused)).To(BeNumerically(">", 100))
	resting := 0
	for _, r := range refused {
		g.Expect(r.StatusCode).To(Equal(http.StatusServiceUnavailable))
		g.Expect(r.Header.Get(entry.HeaderOutcome)).To(Equal("not-run"))
		if r.Header.Get(entry.HeaderReason) == "servers-resting" {
			resting++
		}
		after, err := strconv.Atoi(r.Header.Get("Retry-After"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(after).To(BeNumerically("<=", 4))
	}
	g.Expect(resting).To(BeNumerically(">", 100))
}

func TestAnInstanceThatSaysThatItDrainsGetsNoMore(t *testing.T) {
	g := NewWithT(t)
	l := newLimitedBoxes(t, 2, 2)
	l.instances[0].Set(standin.Faults{Drains: true})
	began := time.Now()
	_, refused := l.ask(t, 40, 4*time.Second)
	g.Expect(refused).To(BeEmpty())
	for _, at := range l.instances[0].Came() {
		g.Expect(at.Sub(began)).To(BeNumerically("<", 2*time.Second))
	}
}

// An instance that asked for many short rests is not held to be sick: it gets calls as soon as it takes them.
func TestRestsAreNotHeldAgainstAnInstance(t *testing.T) {
	g := NewWithT(t)
	l := newLimitedBoxes(t, 1, 2)
	l.instances[0].Set(standin.Faults{Rest: "0.05"})
	_, refused := l.ask(t, 40, 8*time.Second)
	g.Expect(refused).To(BeEmpty())
	turned := len(l.instances[0].Came())
	g.Expect(turned).To(BeNumerically(">", 10))
	l.instances[0].Set(standin.Faults{})
	l.ask(t, 40, 1500*time.Millisecond)
	g.Expect(len(l.instances[0].Came())-turned).To(BeNumerically(">", 15), "half of what comes is its own")
}
