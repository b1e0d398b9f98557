package box_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/platform/standin"
)

// stopConfig has a route of each kind whose timeout is longer than a planned stop, and /brief/ with requests that must not be repeated
// and always end in time.
const stopConfig = `{"version":1,"routes":[
	{"name":"safe","hostname":"h.example","path_prefix":"/safe/","route_type":"safe","timeout_ms":20000,"backend":"s","max_attempts":2},
	{"name":"unsafe","hostname":"h.example","path_prefix":"/unsafe/","route_type":"unsafe","timeout_ms":20000,"backend":"s","max_attempts":1},
	{"name":"brief","hostname":"h.example","path_prefix":"/brief/","route_type":"unsafe","timeout_ms":300,"backend":"s","max_attempts":1},
	{"name":"stream","hostname":"h.example","path_prefix":"/stream/","route_type":"streaming","timeout_ms":20000,"backend":"s","max_attempts":2,"resumable":true},
	{"name":"once","hostname":"h.example","path_prefix":"/once/","route_type":"streaming","timeout_ms":20000,"backend":"s","max_attempts":1,"resumable":false}],
	"backends":[{"name":"s","max_connections":1000}]}`

// stopBox is a box in front of a server that works on requests for as long as they say.
type stopBox struct {
	*singleBox
	server *standin.Timed
}

func startStopBox(t *testing.T, lag, timeout time.Duration) *stopBox {
	o := startSingleBox(t)
	o.settings.BalancerLag, o.settings.StopTimeout = lag, timeout
	g := NewWithT(t)
	g.Eventually(func() int { return o.apply(stopConfig) }, testTimeout).Should(Equal(http.StatusOK))
	s := &standin.Timed{ID: "i-1", Service: "s", Hall: "h", ControlAddresses: []string{o.control}, HeartbeatInterval: 100 * time.Millisecond}
	g.Expect(s.Start()).To(Succeed())
	t.Cleanup(s.Stop)
	b := &stopBox{singleBox: o, server: s}
	for _, path := range []string{"/safe/", "/unsafe/", "/brief/", "/stream/", "/once/"} {
		n := 0
		g.Eventually(func() int {
			n++
			return b.send(fmt.Sprint("first", path, n), path+"x", time.Millisecond).status
		}, testTimeout).Should(Equal(http.StatusOK))
	}
	return b
}

// stopAnswer is what a caller received for a request.
type stopAnswer struct {
	id, path string
	status   int // 0: no answer
	complete bool
	body     string
	sentAt   time.Time
	took     time.Duration
	closes   bool // the response announces that the connection is closed
	retry    string
	err      error
}

func (b *stopBox) rawRequest(id, path string, work time.Duration, length int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h.example\r\nLeverdrum-Request-Id: %s\r\n%s: %d\r\nContent-Length: %d\r\n\r\n", path, id, standin.HeaderWork, work.Milliseconds(), length)
}

// send sends a request on a new connection.
func (b *stopBox) send(id, path string, work time.Duration) stopAnswer {
	c, err := net.Dial("tcp", b.entry)
	if err != nil {
		return stopAnswer{id: id, path: path, err: err, sentAt: time.Now()}
	}
	defer c.Close()
	return b.sendOn(c, bufio.NewReader(c), id, path, work)
}

func (b *stopBox) sendOn(c net.Conn, in *bufio.Reader, id, path string, work time.Duration) stopAnswer {
	a := stopAnswer{id: id, path: path, sentAt: time.Now()}
	if _, a.err = io.WriteString(c, b.rawRequest(id, path, work, 4)+"body"); a.err != nil {
		return a
	}
	a.read(in)
	return a
}

// read reads the response.
func (a *stopAnswer) read(in *bufio.Reader) {
	resp, err := http.ReadResponse(in, &http.Request{Method: http.MethodPost})
	if err != nil {
		a.err, a.took = err, time.Since(a.sentAt)
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	a.status, a.body, a.err, a.complete, a.took = resp.StatusCode, string(body), err, err == nil, time.Since(a.sentAt)
	a.closes, a.retry = resp.Close, resp.Header.Get("Retry-After")
}

// Guards against requests in flight at the end of a planned stop that are cut without an answer (rule LOST): they are answered with an
// unknown outcome before the process ends, and streams that have begun are visibly broken off.
func TestPlannedStopAnswersRequestsInFlight(t *testing.T) {
	b := startStopBox(t, 200*time.Millisecond, 2*time.Second)
	g := NewWithT(t)
	var mu sync.Mutex
	answers := map[string]stopAnswer{}
	var calls sync.WaitGroup
	for _, path := range []string{"/safe/x", "/unsafe/x", "/stream/x", "/once/x"} {
		calls.Go(func() {
			a := b.send("long"+path, path, 15*time.Second)
			mu.Lock()
			defer mu.Unlock()
			answers[path] = a
		})
	}
	g.Eventually(func() int { return len(b.server.Runs()) }, testTimeout).Should(BeNumerically(">=", 5+4), "all run")
	g.Expect(b.box.Stop()).NotTo(Succeed(), "requests were still in flight")
	calls.Wait()
	for _, path := range []string{"/safe/x", "/unsafe/x"} {
		g.Expect(answers[path].status).To(Equal(http.StatusGatewayTimeout), "%s: %v", path, answers[path].err)
		g.Expect(answers[path].complete).To(BeTrue(), path)
	}
	for _, path := range []string{"/stream/x", "/once/x"} {
		g.Expect(answers[path].status).To(Equal(http.StatusOK), path)
		g.Expect(answers[path].complete).To(BeFalse(), "%s ends as complete", path)
	}
}

// Guards against requests that are passed on during a planned stop although they may outlast it (issue 88): those that may not be
// repeated were lost at the end of the grace.
func TestPlannedStopRefusesRequestsThatMayOutlastIt(t *testing.T) {
	b := startStopBox(t, time.Second, time.Second)
	g := NewWithT(t)
	stopped := make(chan error, 1)
	go func() { stopped <- b.box.Stop() }()
	g.Eventually(func() bool { return b.readyStatus() == http.StatusOK }, testTimeout).Should(BeFalse(), "the stop has begun")
	long := b.send("outlasts", "/unsafe/x", 15*time.Second)
	g.Expect(long.status).To(Equal(http.StatusServiceUnavailable), "%v", long.err)
	g.Expect(long.closes).To(BeTrue())
	g.Expect(long.retry).NotTo(BeEmpty())
	g.Expect(long.took).To(BeNumerically("<", 500*time.Millisecond))
	g.Expect(b.server.Runs()).NotTo(HaveKey("outlasts"))
	g.Expect(b.send("fits", "/brief/x", time.Millisecond).status).To(Equal(http.StatusOK))
	g.Expect(b.send("short stream", "/stream/x", time.Millisecond).status).To(Equal(http.StatusOK))
	g.Expect(<-stopped).To(Succeed())
}

// Guards against a request that is passed on when its body ends although the box refuses requests by then.
func TestPlannedStopRefusesRequestsWhoseBodyEndsLate(t *testing.T) {
	b := startStopBox(t, 300*time.Millisecond, 3*time.Second)
	b.expectUploadRefused(func(stop func()) { stop() })
}

// Guards against an upload that is still being read at the end of a planned stop, and gets no answer.
func TestPlannedStopRefusesUnfinishedUploads(t *testing.T) {
	b := startStopBox(t, 100*time.Millisecond, time.Second)
	g := NewWithT(t)
	c, err := net.Dial("tcp", b.entry)
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	a := stopAnswer{id: "unfinished", sentAt: time.Now()}
	_, err = io.WriteString(c, b.rawRequest("unfinished", "/stream/x", time.Millisecond, 8)+"half")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(b.box.InFlight, testTimeout).Should(BeEquivalentTo(1))
	g.Expect(b.box.Stop()).NotTo(Succeed(), "the request was in flight")
	a.read(bufio.NewReader(c))
	g.Expect(a.status).To(Equal(http.StatusServiceUnavailable), "%v", a.err)
	g.Expect(b.server.Runs()).NotTo(HaveKey("unfinished"))
}

// Guards against a box that is stopped during its start and finds its cluster only then: it passed requests on for as long as it ran.
func TestPlannedStopDuringStart(t *testing.T) {
	b := startStopBox(t, 4*time.Second, 5*time.Second)
	b.box.Kill()
	b.start()
	stopped := make(chan error, 1)
	go func() { stopped <- b.box.Stop() }()
	n := 0
	NewWithT(t).Eventually(func() int {
		n++
		return b.send(fmt.Sprint("joined ", n), "/brief/x", time.Millisecond).status
	}, 4*time.Second).Should(Equal(http.StatusOK), "the box joins its cluster before it refuses requests")
	b.expectUploadRefused(func(func()) {})
	NewWithT(t).Expect(<-stopped).To(Succeed())
}

// expectUploadRefused begins an upload, stops the box and completes the upload once the box refuses requests. begin receives what stops
// the box; it need not call it if the stop has begun.
func (b *stopBox) expectUploadRefused(begin func(stop func())) {
	g := NewWithT(b.t)
	c, err := net.Dial("tcp", b.entry)
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	a := stopAnswer{id: "upload", sentAt: time.Now()}
	_, err = io.WriteString(c, b.rawRequest("upload", "/stream/x", time.Millisecond, 8)+"half")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(b.box.InFlight, testTimeout).Should(BeEquivalentTo(1))
	var stopping sync.WaitGroup
	begin(func() { stopping.Go(func() { g.Expect(b.box.Stop()).To(Succeed()) }) })
	g.Eventually(func() error { // until the box accepts no connections
		n, err := net.Dial("tcp", b.entry)
		if err == nil {
			n.Close()
		}
		return err
	}, testTimeout).Should(HaveOccurred())
	_, err = io.WriteString(c, "half")
	g.Expect(err).NotTo(HaveOccurred())
	a.read(bufio.NewReader(c))
	g.Expect(a.status).To(Equal(http.StatusServiceUnavailable), "%v", a.err)
	g.Expect(a.body).To(ContainSubstring("stopping"))
	g.Expect(b.server.Runs()).NotTo(HaveKey("upload"))
	stopping.Wait()
}

func (b *stopBox) readyStatus() int {
	resp, err := http.Get("http://" + b.ready + "/")
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}
