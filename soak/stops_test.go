package soak

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"leverdrum/platform/standin"
)

const (
	// lossSlack is how soon after a request was sent its connection may be closed without an answer, if it crossed the close.
	lossSlack = 200 * time.Millisecond
	// stopAccepts is the balancer-lag of the boxes, and stopTotal the time of a whole planned stop.
	stopAccepts = 500 * time.Millisecond
	stopTotal   = stopAccepts + 4500*time.Millisecond
	// stopCallers is the number of callers of each box and kind of request.
	stopCallers = 2
)

// stopRoutes are the routes of planned stops with the lengths of their requests. Requests of /unsafe/ may outlast a stop by their
// timeout, those of /brief/ may not.
var stopRoutes = map[string][]time.Duration{
	"/safe/":   {time.Millisecond, 50 * time.Millisecond, time.Second},
	"/unsafe/": {time.Millisecond, 50 * time.Millisecond, time.Second, 6 * time.Second},
	"/brief/":  {time.Millisecond, 20 * time.Millisecond},
	"/stream/": {time.Millisecond, 500 * time.Millisecond, 6 * time.Second},
	"/once/":   {time.Millisecond, 500 * time.Millisecond, time.Second},
}

const stopConfig = `{"version":1,"routes":[
	{"name":"safe","hostname":"h.example","path_prefix":"/safe/","route_type":"safe","timeout_ms":20000,"backend":"s","max_attempts":2},
	{"name":"unsafe","hostname":"h.example","path_prefix":"/unsafe/","route_type":"unsafe","timeout_ms":20000,"backend":"s","max_attempts":1},
	{"name":"brief","hostname":"h.example","path_prefix":"/brief/","route_type":"unsafe","timeout_ms":2000,"backend":"s","max_attempts":1},
	{"name":"stream","hostname":"h.example","path_prefix":"/stream/","route_type":"streaming","timeout_ms":20000,"backend":"s","max_attempts":2,"resumable":true},
	{"name":"once","hostname":"h.example","path_prefix":"/once/","route_type":"streaming","timeout_ms":20000,"backend":"s","max_attempts":1,"resumable":false}],
	"backends":[{"name":"s","max_connections":1000}]}`

// stopCaller uses one box, also while that stops, and keeps its connection until the box closes it.
type stopCaller struct {
	box     *daemon
	path    string
	name    string
	random  *rand.Rand
	answers []stopAnswer
}

// stopAnswer is what a caller received for a request.
type stopAnswer struct {
	id, path string
	box      *daemon
	status   int // 0: none
	complete bool
	closes   bool
	retry    string
	sentAt   time.Time
	took     time.Duration
}

func (c *stopCaller) run(ended <-chan struct{}) {
	var conn net.Conn
	var in *bufio.Reader
	lengths := stopRoutes[c.path]
	for n := 0; ; n++ {
		select {
		case <-ended:
			if conn != nil {
				conn.Close()
			}
			return
		default:
		}
		if conn == nil {
			var err error
			if conn, err = net.Dial("tcp", c.box.entry()); err != nil {
				time.Sleep(20 * time.Millisecond)
				continue
			}
			in = bufio.NewReader(conn)
		}
		a := c.send(conn, in, fmt.Sprint(c.name, "-", n), lengths[c.random.IntN(len(lengths))])
		c.answers = append(c.answers, a)
		if !a.complete || a.closes || c.random.IntN(4) == 0 {
			conn.Close()
			conn = nil
		}
		time.Sleep(time.Duration(c.random.IntN(30)) * time.Millisecond)
	}
}

func (c *stopCaller) send(conn net.Conn, in *bufio.Reader, id string, work time.Duration) (a stopAnswer) {
	a = stopAnswer{id: id, path: c.path, box: c.box, sentAt: time.Now()}
	defer func() { a.took = time.Since(a.sentAt) }()
	if _, err := fmt.Fprintf(conn, "POST %sx HTTP/1.1\r\nHost: h.example\r\nLeverdrum-Request-Id: %s\r\n%s: %d\r\nContent-Length: 4\r\n\r\nbody", c.path, id, standin.HeaderWork, work.Milliseconds()); err != nil {
		return a
	}
	resp, err := http.ReadResponse(in, &http.Request{Method: http.MethodPost})
	if err != nil {
		return a
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	a.status, a.closes, a.retry = resp.StatusCode, resp.Close, resp.Header.Get("Retry-After")
	a.complete = err == nil
	if resp.Header.Get("Content-Type") == "text/event-stream" {
		a.complete = a.complete && strings.HasSuffix(string(body), " last\n\n")
	}
	return a
}

// plannedStop is one stop as the test carried it out.
type plannedStop struct {
	box         *daemon
	signalledAt time.Time
	endedAt     time.Time
}

// stopBySignals stops a box with two SIGTERM and a SIGHUP between them, and reports when it ended.
func (d *daemon) stopBySignals() plannedStop {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.awaitSignalHandling()
	d.stopRequested = true
	s := plannedStop{box: d, signalledAt: time.Now()}
	for _, signal := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		_ = d.cmd.Process.Signal(signal) // a process that has ended gets none
		time.Sleep(50 * time.Millisecond)
	}
	const exitInterrupted = 3
	select {
	case <-d.done:
		if status := d.cmd.ProcessState.ExitCode(); status != 0 && status != exitInterrupted {
			d.h.addFailure("box %s exited from a planned stop with status %d", d.ip, status)
		}
	case <-time.After(stopTimeout):
		d.h.addFailure("box %s is still running %v after SIGTERM", d.ip, stopTimeout)
		d.killLocked()
	}
	s.endedAt = time.Now()
	return s
}

// TestPlannedStops stops a box by a series of signals, and again during its start, while callers use it on open connections until the
// process is gone.
func TestPlannedStops(t *testing.T) { runStops(t, fixedSeed) }

func runStops(t *testing.T, seed uint64) {
	h := newBoxes(t, seed, diskBoxCount, "")
	o := newOperator(h)
	h.eventually("acknowledgement of the configuration", func() bool {
		resp, err := o.client.Post("http://"+h.boxes[0].control()+"/Config.Replace", "application/json", strings.NewReader(stopConfig))
		if err != nil {
			return false
		}
		resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	})
	servers := h.startTimedServers(2)
	random := rand.New(rand.NewPCG(seed, 3))
	var callers []*stopCaller
	for _, d := range h.boxes {
		for path := range stopRoutes {
			for n := range stopCallers {
				callers = append(callers, &stopCaller{box: d, path: path, name: fmt.Sprint(d.ip, strings.Trim(path, "/"), n), random: rand.New(rand.NewPCG(seed, uint64(len(callers))))})
			}
		}
	}
	h.eventually("every route served at every box", func() bool { return allRoutesServed(callers) })
	ended := make(chan struct{})
	var calls sync.WaitGroup
	for _, c := range callers {
		calls.Go(func() { c.run(ended) })
	}
	time.Sleep(1500 * time.Millisecond) // the slowest requests of all routes are known
	d := h.boxes[1+random.IntN(len(h.boxes)-1)]
	stops := []plannedStop{d.stopBySignals()}
	d.start()
	d.awaitSignalHandling()
	time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
	stops = append(stops, d.stopBySignals())
	close(ended)
	calls.Wait()
	h.checkStops(callers, servers, stops)
	h.reportFailures()
}

func (h *harness) startTimedServers(count int) (list []*standin.Timed) {
	for n := range count {
		s := &standin.Timed{ID: fmt.Sprint("i-", n), Service: "s", Hall: "h", HeartbeatInterval: 200 * time.Millisecond}
		for _, d := range h.boxes {
			s.ControlAddresses = append(s.ControlAddresses, d.control())
		}
		if err := s.Start(); err != nil {
			h.t.Fatal(err)
		}
		h.t.Cleanup(s.Stop)
		list = append(list, s)
	}
	return list
}

func allRoutesServed(callers []*stopCaller) bool {
	for n, c := range callers {
		conn, err := net.Dial("tcp", c.box.entry())
		if err != nil {
			return false
		}
		a := c.send(conn, bufio.NewReader(conn), fmt.Sprint("first-", n, "-", time.Now().UnixNano()), time.Millisecond)
		conn.Close()
		if a.status != http.StatusOK {
			return false
		}
	}
	return true
}

// checkStops compares what the callers received with what the servers ran.
func (h *harness) checkStops(callers []*stopCaller, servers []*standin.Timed, stops []plannedStop) {
	runs := map[string]int{}
	for _, s := range servers {
		for id, n := range s.Runs() {
			runs[id] += n
		}
	}
	during := func(a stopAnswer) (stop plannedStop, ok bool) {
		for _, s := range stops {
			if s.box == a.box && a.sentAt.Add(a.took).After(s.signalledAt) && a.sentAt.Before(s.endedAt) {
				return s, true
			}
		}
		return plannedStop{}, false
	}
	outcomes, briefs, served := map[string]int{}, 0, 0
	for _, c := range callers {
		for _, a := range c.answers {
			s, stopping := during(a)
			outcome := fmt.Sprint(a.status)
			switch {
			case a.status == http.StatusOK && a.complete:
			case a.status == http.StatusServiceUnavailable:
				if runs[a.id] > 0 || a.retry == "" || stopping && a.sentAt.After(s.signalledAt) && !a.closes {
					h.addFailure("refused request %s: %d runs, Retry-After %q, closes %v", a.id, runs[a.id], a.retry, a.closes)
				}
			case stopping && a.status == http.StatusGatewayTimeout && a.complete && a.path == "/unsafe/" && a.sentAt.Before(s.signalledAt.Add(lossSlack)):
			case stopping && a.status == http.StatusOK && a.path == "/stream/" && a.sentAt.Add(a.took).Sub(s.signalledAt) > stopTotal/2:
				outcome = "broken"
			case stopping && a.status == 0 && runs[a.id] == 0 && a.took < lossSlack:
				outcome = "crossed"
			default:
				h.addFailure("request %s, sent %v after the signal (stopping %v): status %d after %v, complete %v, %d runs", a.id, a.sentAt.Sub(s.signalledAt), stopping, a.status, a.took, a.complete, runs[a.id])
			}
			if runs[a.id] > 1 && a.path != "/safe/" && a.path != "/stream/" {
				h.addFailure("request %s ran %d times", a.id, runs[a.id])
			}
			if stopping {
				outcomes[a.path+outcome]++
			}
			if stopping && a.path == "/brief/" && a.sentAt.After(s.signalledAt) && a.sentAt.Before(s.signalledAt.Add(stopAccepts-lossSlack)) {
				briefs++
				if a.status == http.StatusOK {
					served++
				}
			}
		}
	}
	for _, d := range h.boxes {
		if text, err := os.ReadFile(filepath.Join(d.folder, "log")); err != nil || unanswered(string(text)) {
			h.addFailure("box %s reports requests without an answer, or its log cannot be read: %v", d.ip, err)
		}
	}
	h.t.Logf("seed %d: %d stops; requests during them %v; %d of %d sent early that end in time were served", h.seed, len(stops), outcomes, served, briefs)
}

// unanswered reports whether a log says that a planned stop left requests without an answer.
func unanswered(log string) bool {
	for line := range strings.Lines(log) {
		if strings.Contains(line, `"event":"cut-off"`) && !strings.Contains(line, `"unanswered":0`) {
			return true
		}
	}
	return false
}
