package box_test

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/platform/standin"
)

// streamPart is what a caller received in one response of a stream.
type streamPart struct {
	status  int
	last    string // ID of the last event
	servers []string
}

// readStream requests a stream from box n, continues after an event unless after is "", and reads at most a number of events.
func (s *multiBox) readStream(n int, id, resumes, after string, events int) (part streamPart) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel() // closes the connection
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.entries[n%len(s.entries)]+"/a/"+id, strings.NewReader("x"))
	if err != nil {
		s.t.Error(err)
		return part
	}
	req.Host = "h.example"
	for k, v := range map[string]string{"Leverdrum-Request-Id": id, "Leverdrum-Deadline-Ms": "5000", "Leverdrum-Model": "m1", "Resumes": resumes, "Last-Event-Id": after, standin.HeaderVia: s.entries[n%len(s.entries)]} {
		if v != "" {
			req.Header.Set(k, v)
		}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return part
	}
	defer resp.Body.Close()
	part.status = resp.StatusCode
	lines := bufio.NewScanner(resp.Body)
	for len(part.servers) < events && lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			part.last = text
		}
		if text, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			part.servers = append(part.servers, text)
		}
	}
	return part
}

// startVersionedCluster starts boxes, and servers of each of some software versions.
func startVersionedCluster(t *testing.T, others, servers int, versions ...string) (s *multiBox, versionOf map[string]string) {
	s = startMultiBox(t, others)
	g := NewWithT(t)
	g.Eventually(func() int { return s.apply(pathsConfig) }, testTimeout).Should(Equal(http.StatusOK))
	versionOf = map[string]string{}
	for _, v := range versions {
		s.version = v
		for range servers {
			s.server("", "", "m1")
			versionOf[s.servers[len(s.servers)-1].ID] = v
		}
	}
	for n := range s.entries {
		seen := map[string]bool{}
		g.Eventually(func() int {
			for _, id := range s.readStream(n, "first", "", "", 1).servers {
				seen[id] = true
			}
			return len(seen)
		}, testTimeout).Should(Equal(len(versionOf)), "the box knows all servers")
	}
	return s, versionOf
}

// resumedCount counts streams that callers began, those that they resumed to the last event, and those with events of two
// software versions.
type resumedCount struct{ begun, resumed, mixed int }

// resumeElsewhere begins streams at boxes, breaks off each one after its first event, and resumes it at the box that to returns.
// between is called before streams are resumed.
func (s *multiBox) resumeElsewhere(streams int, versionOf map[string]string, to func(n int) int, between func()) (count resumedCount) {
	var mu sync.Mutex
	var wg sync.WaitGroup
	begun := make([]streamPart, streams)
	for n := range begun {
		wg.Go(func() { begun[n] = s.readStream(n, fmt.Sprint("begin-", n), "", "", 1) })
	}
	wg.Wait()
	if between != nil {
		between()
	}
	for n, first := range begun {
		if len(first.servers) == 0 {
			continue
		}
		count.begun++
		wg.Go(func() {
			rest := s.readStream(to(n), fmt.Sprint("resume-", n), fmt.Sprint("begin-", n), first.last, 10)
			mu.Lock()
			defer mu.Unlock()
			if rest.last == "3" {
				count.resumed++
			}
			for _, id := range rest.servers {
				if versionOf[id] != versionOf[first.servers[0]] {
					count.mixed++
					return
				}
			}
		})
	}
	wg.Wait()
	return count
}

// minResumedShare is the least share of resumed streams that continue while servers of their version serve.
const minResumedShare = 0.95

// Guards against a caller whose stream broke off and that resumes it at another box: the box knew nothing of the server that
// began the stream, and sent the rest of it to one of another software version.
func TestCallersResumeAtTheSoftwareVersionThatBeganTheStream(t *testing.T) {
	s, versionOf := startVersionedCluster(t, 4, 2, "v1", "v2")
	g := NewWithT(t)
	count := s.resumeElsewhere(100, versionOf, func(n int) int { return n + 1 }, nil)
	g.Expect(count.begun).To(Equal(100))
	g.Expect(count.mixed).To(BeZero())
	g.Expect(float64(count.resumed)).To(BeNumerically(">=", minResumedShare*float64(count.begun)))
}

// Guards against streams that continue at another software version, or not at all, since the box that began them was killed.
func TestCallersResumeAfterTheirBoxWasKilled(t *testing.T) {
	s, versionOf := startVersionedCluster(t, 4, 2, "v1", "v2")
	g := NewWithT(t)
	const (
		killed       = 4
		deliveryTime = 500 * time.Millisecond // far above the time in which records of streams reach other boxes
	)
	count := s.resumeElsewhere(100, versionOf, func(n int) int { return n % killed }, func() {
		time.Sleep(deliveryTime)
		s.others[killed-1].Kill()
	})
	g.Expect(count.begun).To(Equal(100))
	g.Expect(count.mixed).To(BeZero())
	g.Expect(float64(count.resumed)).To(BeNumerically(">=", minResumedShare*float64(count.begun)))
}
