package box_test

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/platform/standin"
)

// Guards against sound prompt parts that are blocked because servers crash by themselves, one after another, while streams with the
// parts run on at others: 86 of 400 requests were denied.
func TestPartsOfRunningStreamsNotBlocked(t *testing.T) {
	expectNoneBlocked(t, func(n int) (path, body string) { return fmt.Sprint("/a/", n), fmt.Sprint(n) })
}

// Guards against the same for a request that many callers send alike: 66 of 240 were denied.
func TestRequestsOfRunningStreamsNotBlocked(t *testing.T) {
	expectNoneBlocked(t, func(int) (path, body string) { return "/a/same", "same" })
}

// expectNoneBlocked sends streams that share prompt parts while three servers crash, one after another, and expects all to be served.
func expectNoneBlocked(t *testing.T, content func(n int) (path, body string)) {
	s := startMultiBox(t, 2)
	s.eventCount = 100 // 3 s
	s.startServers(12)
	g := NewWithT(t)
	var mu sync.Mutex
	reasons := map[string]int{}
	var calls sync.WaitGroup
	crashed := map[*standin.Server]bool{}
	for n := range 100 {
		if n == 20 || n == 40 || n == 60 {
			s.crashBusiest(crashed)
		}
		calls.Go(func() {
			path, body := content(n)
			a := s.sendPrompt(n, fmt.Sprint("request-", n), path, body, fmt.Sprintf("aa:100,bb:50,%x:20", 0x10000+n))
			mu.Lock()
			defer mu.Unlock()
			reasons[fmt.Sprint(a.status, " ", a.reason)]++
		})
		time.Sleep(25 * time.Millisecond)
	}
	calls.Wait()
	t.Log(reasons)
	g.Expect(crashed).To(HaveLen(3))
	g.Expect(reasons).To(HaveLen(1), "no request is rejected")
	g.Expect(reasons[fmt.Sprint(http.StatusOK, " ")]).To(Equal(100))
}

// crashBusiest terminates the server that has begun the most runs, of those that have not crashed.
func (s *multiBox) crashBusiest(crashed map[*standin.Server]bool) {
	s.mu.Lock()
	var busiest *standin.Server
	for _, v := range s.servers {
		if !crashed[v] && (busiest == nil || len(v.Runs()) > len(busiest.Runs())) {
			busiest = v
		}
	}
	s.mu.Unlock()
	crashed[busiest] = true
	busiest.Stop()
}
