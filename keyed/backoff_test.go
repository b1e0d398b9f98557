package keyed

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/claim"
)

// countPulls counts the pulls that are due in a time span, checked every 50 ms.
func countPulls(p pullBackoff, from, to time.Duration, pulls ...claim.Pull) (n int) {
	for now := from; now < to; now += firstPullInterval {
		n += len(p.due(now, pulls))
	}
	return n
}

// Without backoff, after 83 boxes had joined within seconds, each asked holders that could never hand over 120 times
// a second for five minutes, 96,428 requests in 10 s. This took most of the processor time.
func TestBacksOffFromHoldersThatCannotHandOver(t *testing.T) {
	g := NewWithT(t)
	p := pullBackoff{}
	stuck := claim.Pull{Slot: 3, Epoch: 40, From: []string{"a", "b", "c"}}
	g.Expect(countPulls(p, 0, time.Minute, stuck)).To(BeNumerically("<", 15))
	g.Expect(countPulls(p, time.Minute, 5*time.Minute, stuck)).To(BeNumerically("~", 12, 1), "the pull is never given up")
}

func TestProgressOrNewEpochResetsBackoff(t *testing.T) {
	g := NewWithT(t)
	p := pullBackoff{}
	countPulls(p, 0, time.Minute, claim.Pull{Slot: 3, Epoch: 40, From: []string{"a", "b", "c"}})
	gained := claim.Pull{Slot: 3, Epoch: 40, From: []string{"a", "b"}}
	g.Expect(p.due(time.Minute, []claim.Pull{gained})).To(HaveLen(1))
	countPulls(p, time.Minute, 2*time.Minute, gained)
	changed := claim.Pull{Slot: 3, Epoch: 41, From: []string{"d", "b"}}
	g.Expect(p.due(2*time.Minute, []claim.Pull{changed})).To(HaveLen(1))
	g.Expect(p.untilNext(2*time.Minute, time.Second)).To(Equal(firstPullInterval))
}

func TestNoBackoffWithoutPulls(t *testing.T) {
	g := NewWithT(t)
	p := pullBackoff{}
	p.due(0, []claim.Pull{{Slot: 3, Epoch: 40, From: []string{"a"}}})
	g.Expect(p.due(time.Second, nil)).To(BeEmpty())
	g.Expect(p).To(BeEmpty())
	g.Expect(p.untilNext(time.Second, pullInterval)).To(Equal(pullInterval))
}
