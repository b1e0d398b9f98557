package gateway

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"leverdrum/dialect"
	"leverdrum/fleet"
	"leverdrum/meter"
	"leverdrum/state"
	"leverdrum/wire"
)

const (
	seqServers  = 2
	seqCallers  = 3
	seqRequests = 6 // of each caller
	// seqReturns is how often a caller sends a request again after a promise that it has not run.
	seqReturns = 3
)

// Kinds of responses of a seqServer.
const (
	seqAnswered = iota
	seqAnsweredTwice
	seqFailed
	seqRefused
	seqRefusedTwice
	seqRefusedAgainWithoutID
	seqUnpromised  // runs, and answers 503 without a promise
	seqMisdirected // runs, and answers 421 without a promise
	seqForeign     // a refusal of another request comes first
	seqCut         // runs, and breaks off inside the response
	seqClosed      // runs, and closes the connection
	seqGarbage     // runs, and sends bytes that are no response
	seqEndlessHead // runs, and sends header lines until the connection is closed
	seqEndlessBody // refuses, with a body without end
	seqInterim     // interim responses come first
	seqKinds
)

// seqRun is one sequence: callers, a gateway and servers that send all kinds of responses.
type seqRun struct {
	draw     *rand.Rand // guarded by mu
	sameID   bool       // callers come again with the ID of the refused request
	healthy  bool       // servers only answer and refuse, once
	mu       sync.Mutex
	runs     map[string]int
	promised map[string]bool // the last answer by request ID was a promise
	requests int
	attempts int // that servers received
	conns    []*seqConn
}

// seqConn is what a server knows of a connection.
type seqConn struct {
	sound    int  // exchanges with one whole response
	unsound  bool // anything else was sent
	lost     bool // closed by the box right after a sound exchange
	finished bool // the run has ended
}

func (r *seqRun) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.draw.IntN(n)
}

func (r *seqRun) dial(context.Context, string) (net.Conn, error) {
	near, far := newMemConns()
	x := &seqConn{}
	r.mu.Lock()
	r.conns = append(r.conns, x)
	r.mu.Unlock()
	go r.serve(far, x)
	return near, nil
}

// serve handles the requests of one connection.
func (r *seqRun) serve(c net.Conn, x *seqConn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			r.mu.Lock()
			x.lost = !x.finished && !x.unsound && x.sound > 0
			r.mu.Unlock()
			return
		}
		_, _ = io.Copy(io.Discard, req.Body)
		r.mu.Lock()
		r.attempts++
		r.mu.Unlock()
		if !r.respond(c, x, req.Header.Get("X-Request-Id")) {
			return
		}
	}
}

func seqResponse(status int, id, header, body string) string {
	return fmt.Sprintf("HTTP/1.1 %d x\r\nX-Request-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", status, id, header, len(body), body)
}

// respond sends one response and reports whether the connection stays open.
func (r *seqRun) respond(c net.Conn, x *seqConn, id string) bool {
	kind := seqAnswered
	if r.healthy {
		kind = []int{seqAnswered, seqAnswered, seqRefused, seqFailed}[r.intN(4)]
	} else if r.intN(3) > 0 {
		kind = r.intN(seqKinds)
	}
	answer := seqResponse(http.StatusOK, id, "X-Server-Stamp: s\r\n", "fine")
	refusal := seqResponse(http.StatusServiceUnavailable, id, "X-Not-Run: 1\r\n", "")
	switch kind {
	case seqRefused, seqRefusedTwice, seqRefusedAgainWithoutID, seqEndlessBody:
	default:
		r.mu.Lock()
		r.runs[id]++
		r.mu.Unlock()
		time.Sleep(time.Duration(1+r.intN(30)) * time.Millisecond)
	}
	r.mu.Lock()
	switch kind {
	case seqAnswered, seqRefused, seqFailed:
		x.sound++
	default:
		x.unsound = true
	}
	r.mu.Unlock()
	again := func(text string) {
		delay := time.Duration(r.intN(300)) * time.Millisecond
		time.AfterFunc(delay, func() { _, _ = io.WriteString(c, text) })
	}
	write := func(text string) bool {
		_, err := io.WriteString(c, text)
		return err == nil
	}
	switch kind {
	case seqAnsweredTwice:
		again(answer)
	case seqFailed:
		return write(seqResponse(http.StatusInternalServerError, id, "X-Server-Stamp: s\r\n", "bad"))
	case seqRefused:
		return write(refusal)
	case seqRefusedTwice:
		again(refusal)
		return write(refusal)
	case seqRefusedAgainWithoutID:
		again(strings.Replace(refusal, "X-Request-Id: "+id+"\r\n", "", 1))
		return write(refusal)
	case seqUnpromised:
		return write(seqResponse(http.StatusServiceUnavailable, id, "X-Server-Stamp: s\r\n", ""))
	case seqMisdirected:
		return write(seqResponse(http.StatusMisdirectedRequest, id, "", ""))
	case seqForeign:
		write(strings.Replace(refusal, id, "other", 1))
	case seqCut:
		write(answer[:len(answer)-r.intN(len(answer)-1)-1])
		return false
	case seqClosed:
		return false
	case seqGarbage:
		return write("garbage\r\n\r\n")
	case seqEndlessHead:
		for write("HTTP/1.1 200 x\r\n") && write("X: "+strings.Repeat("x", 1000)+"\r\n") {
			time.Sleep(time.Millisecond)
		}
		return false
	case seqEndlessBody:
		for ok := write(strings.Replace(refusal, "Content-Length: 0", "Transfer-Encoding: chunked", 1)); ok; ok = write("1\r\nx\r\n") {
			time.Sleep(time.Millisecond)
		}
		return false
	case seqInterim:
		write("HTTP/1.1 103 x\r\n\r\nHTTP/1.1 103 x\r\n\r\n")
	}
	return write(answer)
}

// seqMeters are shared by all runs: they take long to make.
var seqMeters = sync.OnceValue(meter.New)

func (r *seqRun) gateway() *Gateway {
	f := fleet.New()
	f.Number = 1
	f.Pools["s"] = &fleet.Pool{Name: "s", MaxConnections: 100}
	f.Routes = append(f.Routes, &fleet.Route{Name: "r", Host: "h", Prefix: "/", Kind: fleet.Unsafe, Timeout: 3 * time.Second, LatencyTarget: time.Second, MaxAttempts: 3, Split: []fleet.Share{{Pool: "s", Weight: 1}}})
	view := state.New()
	view.Fleet, view.Version = f, &wire.FleetVersion{Number: 1, Index: 1}
	for i := range seqServers {
		id := fmt.Sprint("i", i)
		view.Announcements.Set(id, &wire.Announcement{Id: id, Service: "s", Address: id + ":1", Hall: "h", Slots: 8})
	}
	g := New(Options{
		Dialect: dialect.Native, View: func() *state.State { return view }, Current: func() bool { return true }, Hall: "h", Dial: r.dial,
		Notify: func(Notice) {}, Budget: Budget{Ratio: 1, Slack: 1000, Window: 10 * time.Second}, Meters: seqMeters(), Log: zap.NewNop(),
	})
	g.Refresh()
	return g
}

// call sends the requests of one caller.
func (r *seqRun) call(g *Gateway, number int) {
	for n := range seqRequests {
		id := fmt.Sprintf("q%d.%d", number, n)
		for returns := range seqReturns + 1 {
			if !r.sameID {
				id = fmt.Sprintf("q%d.%d.%d", number, n, returns)
			}
			if !r.send(g, id) {
				break
			}
			time.Sleep(time.Duration(r.intN(60)) * time.Millisecond)
		}
		time.Sleep(time.Duration(r.intN(20)) * time.Millisecond)
	}
}

// send sends a request and reports whether its answer promises that it has not run.
func (r *seqRun) send(g *Gateway, id string) (promised bool) {
	req := httptest.NewRequest(http.MethodPost, "/x", bytes.NewReader([]byte("order")))
	req.Host = "h"
	req.Header.Set("X-Request-Id", id)
	w := httptest.NewRecorder()
	func() {
		defer func() {
			if v := recover(); v != nil && v != http.ErrAbortHandler {
				panic(v)
			}
		}()
		g.ServeHTTP(w, req)
	}()
	switch w.Code {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		promised = true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.promised[id] = promised
	r.requests++
	return promised
}

// seqTotals sums up what was seen.
type seqTotals struct{ requests, attempts, refused, twice, conns, sound, lost int }

func (r *seqRun) play(t *testing.T, totals *seqTotals) {
	synctest.Test(t, func(t *testing.T) {
		g := r.gateway()
		var callers sync.WaitGroup
		for i := range seqCallers {
			callers.Go(func() { r.call(g, i) })
		}
		callers.Wait()
		time.Sleep(400 * time.Millisecond) // copies arrive
		r.mu.Lock()
		for _, x := range r.conns {
			x.finished = true
		}
		r.mu.Unlock()
		g.dir.mu.Lock()
		for i := range seqServers {
			g.dir.serverByID(fmt.Sprint("i", i)).pool.close()
		}
		g.dir.mu.Unlock()
		synctest.Wait()
	})
	totals.requests += r.requests
	totals.attempts += r.attempts
	totals.conns += len(r.conns)
	for id, promised := range r.promised {
		if promised && r.runs[id] > 0 {
			totals.refused++
		}
		if r.runs[id] > 1 {
			totals.twice++
		}
	}
	for _, x := range r.conns {
		if !x.unsound {
			totals.sound += x.sound
			if x.lost {
				totals.lost++
			}
		}
	}
}

// Guards against false promises, requests that run twice, and connections that are thrown away although they can be used, over
// random sequences of whole, copied, late, foreign, unidentified, cut and endless responses. SEQUENCES sets how many are played.
func TestPromisesAreTrueOverSequencesOfResponses(t *testing.T) {
	count, err := strconv.Atoi(os.Getenv("SEQUENCES"))
	if err != nil {
		count = 2000
	}
	var troubled, healthy seqTotals
	for seed := range uint64(count) {
		r := &seqRun{draw: rand.New(rand.NewPCG(seed, 7)), sameID: seed%2 == 0, healthy: seed%8 == 7, runs: map[string]int{}, promised: map[string]bool{}}
		totals := &troubled
		if r.healthy {
			totals = &healthy
		}
		before := *totals
		r.play(t, totals)
		if totals.refused > before.refused || totals.twice > before.twice {
			t.Errorf("seed %d: %d requests refused and had run, %d ran twice", seed, totals.refused-before.refused, totals.twice-before.twice)
		}
	}
	t.Logf("%d sequences: %+v; only sound responses: %+v", count, troubled, healthy)
	for _, totals := range []seqTotals{troubled, healthy} {
		if float64(totals.lost) > 0.05*float64(totals.sound) {
			t.Errorf("%d connections closed after %d sound exchanges", totals.lost, totals.sound)
		}
	}
}
