package box_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/box"
	"leverdrum/command"
	"leverdrum/replica"
	"leverdrum/wire"
)

// partsLoad sends requests with a deadly prompt part and sound ones that share all other parts.
type partsLoad struct {
	s       *multiBox
	mu      sync.Mutex
	guilty  []answer
	sound   []answer
	soundAt []time.Time
}

// run sends requests for some time, each at a random box and different from all others.
func (l *partsLoad) run(duration time.Duration) {
	var wg sync.WaitGroup
	random := rand.New(rand.NewPCG(1, 2))
	until := time.Now().Add(duration)
	for n := 0; time.Now().Before(until); n++ {
		box, part, deadly := random.IntN(len(l.s.entries)), fmt.Sprintf("%x", 0xb0+random.IntN(6)), n%5 == 4
		if deadly {
			part = deadlyPart
		}
		wg.Go(func() {
			sentAt := time.Now()
			a := l.s.sendPrompt(box, fmt.Sprint("request-", n), fmt.Sprint("/a/", n), fmt.Sprint("body ", n), fmt.Sprintf("aa:100,%s:50,%x:20", part, 0x10000+n))
			l.mu.Lock()
			defer l.mu.Unlock()
			if deadly {
				l.guilty = append(l.guilty, a)
				return
			}
			l.sound, l.soundAt = append(l.sound, a), append(l.soundAt, sentAt)
		})
		time.Sleep(20 * time.Millisecond)
	}
	wg.Wait()
}

// servedShare returns the share of sound requests sent from a time on that were answered in full.
func (l *partsLoad) servedShare(from time.Time) float64 {
	served, sent := 0, 0
	for i, a := range l.sound {
		if l.soundAt[i].Before(from) {
			continue
		}
		sent++
		if a.complete {
			served++
		}
	}
	return float64(served) / float64(max(sent, 1))
}

const (
	deadlyPart = "bad"
	// maxTerminatedByPart is five servers, and three more.
	maxTerminatedByPart = 5 + 3
)

// Guards against a prompt part that terminates each server, in requests that all differ otherwise: 62 servers terminated under
// requests with one such part, because evidence was only added up for whole requests.
func TestCrashingPromptPartBlocked(t *testing.T) {
	s := startMultiBox(t, 2)
	s.deadlyPart = deadlyPart
	g := NewWithT(t)
	s.startServers(12)
	l := &partsLoad{s: s}
	began := time.Now()
	l.run(6 * time.Second)
	t.Logf("%d servers terminated under %d requests; %.2f of the sound requests were served, %.2f of those from 3 s on",
		s.terminatedCount(), len(l.guilty), l.servedShare(began), l.servedShare(began.Add(3*time.Second)))
	g.Expect(s.terminatedCount()).To(BeNumerically(">=", 1), "else the test proves nothing")
	g.Expect(s.terminatedCount()).To(BeNumerically("<=", maxTerminatedByPart))
	g.Expect(l.servedShare(began.Add(3 * time.Second))).To(BeNumerically(">=", 0.95))
	for n := range s.entries {
		a := s.sendPrompt(n, fmt.Sprint("last-", n), "/a/last", "last", "cc:10,"+deadlyPart+":50,1:20")
		g.Expect(a.status).To(Equal(http.StatusUnprocessableEntity))
		g.Expect(a.reason).To(Equal("crashes-servers"))
		g.Expect(a.after).To(BeEmpty(), "a retry cannot succeed")
		g.Expect(a.took).To(BeNumerically("<", time.Second), "rejected at once")
	}
	for _, a := range l.sound {
		g.Expect(a.reason).NotTo(Equal("crashes-servers"), "a sound request was blocked")
	}
}

// stallingStorage makes one write take stallDuration once a server has terminated.
type stallingStorage struct {
	replica.Storage
	terminated func() int
	once       *sync.Once
}

const stallDuration = 2200 * time.Millisecond

func (d stallingStorage) Append(b *wire.Batch) error {
	if d.terminated() > 0 {
		d.once.Do(func() { time.Sleep(stallDuration) })
	}
	return d.Storage.Append(b)
}

// Guards against a prompt part that terminates servers for as long as the disk of the only voter stalls, since no evidence can be
// committed meanwhile: 11 to 15 servers terminated.
func TestCrashingPromptPartBlockedWhileDiskStalls(t *testing.T) {
	var s atomic.Pointer[multiBox]
	var once sync.Once
	terminated := func() int {
		if s.Load() == nil {
			return 0
		}
		return s.Load().terminatedCount()
	}
	t.Cleanup(box.SetNewStorage(func(disk replica.Storage) replica.Storage { return stallingStorage{disk, terminated, &once} }))
	s.Store(startMultiBox(t, 2))
	s.Load().deadlyPart = deadlyPart
	g := NewWithT(t)
	s.Load().startServers(12)
	l := &partsLoad{s: s.Load()}
	began := time.Now()
	l.run(6 * time.Second)
	t.Logf("%d servers terminated under %d requests; %.2f of the sound requests were served, %.2f of those from 4 s on",
		terminated(), len(l.guilty), l.servedShare(began), l.servedShare(began.Add(4*time.Second)))
	g.Expect(terminated()).To(BeNumerically(">=", 3), "else the test proves nothing")
	g.Expect(terminated()).To(BeNumerically("<=", maxTerminatedByPart))
	g.Expect(l.servedShare(began.Add(4 * time.Second))).To(BeNumerically(">=", 0.95))
	for _, a := range l.sound {
		g.Expect(a.reason).NotTo(Equal("crashes-servers"), "a sound request was blocked")
	}
}

// Operators block a part that has crashed nothing, exempt it while it crashes servers, and take both back.
func TestOperatorsRuleOnPromptParts(t *testing.T) {
	s := startMultiBox(t, 1)
	s.deadlyPart = deadlyPart
	g := NewWithT(t)
	s.startServers(8)
	run := func(args ...string) string {
		var out strings.Builder
		status := command.Run(append([]string{"-box", s.box.OperatorAddress(), "crashers"}, args...), &out, &out)
		g.Expect(status).To(BeEquivalentTo(command.ExitOK), out.String())
		return out.String()
	}
	n := 0
	send := func(box int, part string) answer { // no other part is shared: it would be suspected in place of an exempt one
		n++
		return s.sendPrompt(box, fmt.Sprint("r", n), fmt.Sprint("/a/", n), fmt.Sprint(n), fmt.Sprintf("%s:50,%x:20", part, 0x1000+n))
	}
	g.Expect(send(0, "ee").complete).To(BeTrue())
	run("-block", "s", "ee")
	for i := range s.entries {
		g.Eventually(func() string { return send(i, "ee").reason }, testTimeout).Should(Equal("crashes-servers"))
	}
	g.Expect(run()).To(ContainSubstring(`part ee of "s"  blocked by an operator`))
	run("-forget", "s", "ee")
	for i := range s.entries {
		g.Eventually(func() bool { return send(i, "ee").complete }, testTimeout).Should(BeTrue())
	}
	run("-exempt", "s", deadlyPart)
	g.Expect(run()).To(ContainSubstring("exempt"))
	for range 6 {
		g.Eventually(func() string { return send(0, deadlyPart).reason }, testTimeout).ShouldNot(Equal("crashes-servers"))
	}
	g.Expect(s.terminatedCount()).To(BeNumerically(">", 3), "more than block a part without the ruling")
	g.Expect(command.Run([]string{"-box", s.box.OperatorAddress(), "crashers", "-block", "s", "no-hex"}, io.Discard, io.Discard)).To(BeEquivalentTo(command.ExitRefused))
}
