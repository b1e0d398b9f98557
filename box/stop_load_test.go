package box_test

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	stopLoadSeed = 88
	// lossSlack is how soon after a request was sent its connection may be closed without an answer, if it crossed the close.
	lossSlack = 200 * time.Millisecond
	// lastEventMark ends the streams of a standin.Timed.
	lastEventMark = "data: x last\n\n"
)

// stopLoad sends requests of every length on new and kept connections until the box is gone.
type stopLoad struct {
	*stopBox
	mu      sync.Mutex
	answers []stopAnswer
	gone    chan struct{} // closed when the box has stopped
}

// lengths returns how long requests of a route take.
func lengths(path string) []time.Duration {
	switch path {
	case "/brief/":
		return []time.Duration{time.Millisecond, 20 * time.Millisecond, 100 * time.Millisecond}
	case "/stream/":
		return []time.Duration{time.Millisecond, 50 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second, 10 * time.Second}
	case "/unsafe/":
		return []time.Duration{time.Millisecond, 50 * time.Millisecond, 500 * time.Millisecond, 10 * time.Second}
	}
	return []time.Duration{time.Millisecond, 50 * time.Millisecond, 500 * time.Millisecond, 2 * time.Second}
}

func (l *stopLoad) record(a stopAnswer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, a)
}

// run sends requests to a route, one after another.
func (l *stopLoad) run(caller int, path string, keep bool) {
	random := rand.New(rand.NewPCG(stopLoadSeed, uint64(caller)))
	var c net.Conn
	var in *bufio.Reader
	for n := 0; ; n++ {
		select {
		case <-l.gone:
			return
		default:
		}
		if c == nil {
			var err error
			if c, err = net.Dial("tcp", l.entry); err != nil {
				time.Sleep(20 * time.Millisecond) // the caller would use another box
				continue
			}
			in = bufio.NewReader(c)
		}
		all := lengths(path)
		a := l.sendOn(c, in, fmt.Sprint(caller, path, n), path+"x", all[random.IntN(len(all))])
		l.record(a)
		if !keep || !a.complete || a.closes {
			c.Close()
			c = nil
		}
		time.Sleep(time.Duration(random.IntN(20)) * time.Millisecond)
	}
}

// useLate sends a request on each connection, one after another, over the given time. The connections were idle before.
func (l *stopLoad) useLate(connections []net.Conn, over time.Duration) {
	for n, c := range connections {
		time.Sleep(over / time.Duration(len(connections)))
		a := l.sendOn(c, bufio.NewReader(c), fmt.Sprint("idle ", n), "/brief/x", time.Millisecond)
		l.record(a)
		c.Close()
	}
}

// idleConnections returns connections on which one request was answered.
func (l *stopLoad) idleConnections(count int) (list []net.Conn) {
	for n := range count {
		c, err := net.Dial("tcp", l.entry)
		if err != nil {
			l.t.Fatal(err)
		}
		if a := l.sendOn(c, bufio.NewReader(c), fmt.Sprint("warm ", n), "/brief/x", time.Millisecond); a.status != http.StatusOK {
			l.t.Fatal(a)
		}
		list = append(list, c)
	}
	return list
}

// Guards against requests that are cut without an answer during a planned stop (issue 88), whatever their length and whenever they
// arrive, on new and on kept connections. Those that end in time are served.
func TestPlannedStopLosesNoRequest(t *testing.T) {
	const lag, timeout = time.Second, 3 * time.Second
	b := startStopBox(t, lag, timeout)
	g := NewWithT(t)
	l := &stopLoad{stopBox: b, gone: make(chan struct{})}
	paths := []string{"/safe/", "/unsafe/", "/brief/", "/stream/", "/once/"}
	var warm sync.WaitGroup
	for _, path := range []string{"/safe/", "/once/"} {
		warm.Go(func() { b.send("slowest"+path, path+"x", lengths(path)[len(lengths(path))-1]) })
	}
	idle := l.idleConnections(30)
	var calls sync.WaitGroup
	for i, path := range paths {
		for n := range 6 {
			calls.Go(func() { l.run(10*i+n, path, n%2 == 0) })
		}
	}
	warm.Wait()
	calls.Go(func() { l.record(b.send("long", "/stream/x", 15*time.Second)) })
	g.Eventually(b.server.Runs, testTimeout).Should(HaveKey("long"))
	signal := time.Now()
	calls.Go(func() { l.useLate(idle, lag+timeout) })
	g.Expect(b.box.Stop()).NotTo(Succeed(), "a stream was broken off")
	close(l.gone)
	calls.Wait()
	l.check(signal, signal.Add(lag))
}

// check compares what the callers received with what the server ran.
func (l *stopLoad) check(signal, refused time.Time) {
	runs := l.server.Runs()
	outcomes, briefs, served := map[string]int{}, 0, 0
	for _, a := range l.answers {
		route := strings.SplitAfter(a.path, "/")[1]
		complete := a.complete && (!strings.Contains("stream/once/", route) || strings.HasSuffix(a.body, lastEventMark))
		outcome := fmt.Sprint(a.status)
		duringStop := a.sentAt.After(signal)
		switch {
		case a.status == http.StatusOK && complete:
		case a.status == http.StatusServiceUnavailable && duringStop:
			if runs[a.id] > 0 || !a.closes || a.retry == "" || a.took > time.Second {
				l.t.Errorf("refused request %s: %d runs, closes %v, Retry-After %q, took %v", a.id, runs[a.id], a.closes, a.retry, a.took)
			}
		case a.status == http.StatusGatewayTimeout && a.complete && route == "unsafe/" && a.sentAt.Before(signal.Add(lossSlack)):
		case a.status == http.StatusOK && route == "stream/" && !a.complete:
			outcome = "broken"
		case a.status == 0 && duringStop && runs[a.id] == 0 && a.took < lossSlack:
			outcome = "crossed"
		default:
			l.t.Errorf("request %s, sent %v after the signal: status %d after %v, complete %v, %d runs, %v", a.id, a.sentAt.Sub(signal), a.status, a.took, a.complete, runs[a.id], a.err)
		}
		if duringStop {
			outcomes[route+outcome]++
		}
		if runs[a.id] > 1 {
			l.t.Errorf("request %s ran %d times", a.id, runs[a.id])
		}
		if route == "brief/" && duringStop && a.sentAt.Before(refused.Add(-lossSlack)) {
			briefs++
			if a.status == http.StatusOK {
				served++
			}
		}
	}
	l.t.Logf("requests sent after the signal: %v; %d of %d that must not be repeated and end in time were served", outcomes, served, briefs)
	if briefs == 0 || served < briefs {
		l.t.Errorf("%d of %d requests that end in time were served", served, briefs)
	}
}
