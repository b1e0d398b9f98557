// Command drive sends requests that may run once at most to three boxes, for 5.4 s. One client in five leaves before its
// deadline: it closes its sending side, and reads what still comes until the box has closed the connection too.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"

	"review/rig"
)

const (
	requests = 60
	interval = 90 * time.Millisecond  // between two requests: 5.4 s in all
	leaving  = 5                      // one request in so many is left
	work     = 400 * time.Millisecond // of a server for a request
	leave    = 75 * time.Millisecond  // after the request was sent: half of the route's objective
)

var config = map[string]any{
	"version": 1,
	"routes": []any{map[string]any{
		"name": "r-order", "hostname": "case.example", "path_prefix": "/order/", "route_type": "unsafe", "timeout_ms": 2500, "target_latency_ms": 150,
		"priority": 0, "backend": "app", "max_attempts": 1, "session_affinity": false, "resumable": false,
	}},
	"backends": []any{map[string]any{"name": "app", "health_check_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false}},
	"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
}

func main() {
	r, err := rig.New(os.Args[1])
	if err != nil {
		fmt.Println(err)
		os.Exit(rig.CouldNotRun)
	}
	fail := func(err error) {
		if err != nil {
			r.Finish(rig.CouldNotRun, "%v", err)
		}
	}
	for i := range rig.Boxes {
		fail(r.StartBox(i, true))
	}
	var list []*rig.Server
	for i := range 3 {
		s, err := r.StartServer(fmt.Sprintf("i-app%d", i), rig.Hall(i), "-service", "app", "-slots", "6", "-events", "0", "-first", work.String())
		fail(err)
		list = append(list, s)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	fail(r.Replace(ctx, config, rig.First))
	fail(r.AwaitReady(10 * time.Second))
	time.Sleep(4 * time.Second) // contact_ms, and time for each server's heartbeat
	whole, falsely, left := 0, 0, 0
	var mu sync.Mutex
	var calls sync.WaitGroup
	for n := range requests {
		leaves := rig.WithTrouble() && n%leaving == 0
		if leaves {
			left++
		}
		calls.Go(func() {
			id := fmt.Sprintf("%016x", n+1)
			status, stamp, body, err := send(r.Entry(n%rig.Boxes), id, n, leaves)
			r.Note("request %s to box%d, client leaves: %t, read status %d, stamp %q, %d bytes of body %q, %v", id, n%rig.Boxes+1, leaves, status, stamp, len(body), strings.TrimSpace(body), err)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case status/100 == 2 && stamp == "":
				falsely++
			case status == http.StatusOK && strings.Contains(body, id):
				whole++
			}
		})
		time.Sleep(interval)
	}
	calls.Wait()
	time.Sleep(time.Second)
	begun, ended := 0, 0
	for _, s := range list {
		for _, line := range s.RunLines() {
			r.Note("server %s: %s", s.ID, line)
			if strings.Contains(line, " begins ") {
				begun++
			}
			if strings.Contains(line, " ends ") {
				ended++
			}
		}
	}
	text := fmt.Sprintf("of %d requests, of which the clients left %d, they read a success without a server's stamp for %d, and a server's whole answer for %d; servers began %d and ended %d", requests, left, falsely, whole, begun, ended)
	if falsely > 0 {
		r.Finish(rig.Broken, "MIXED: %s", text)
	}
	if !rig.WithTrouble() && whole < requests {
		r.Finish(rig.CouldNotRun, "not all were answered: %s", text)
	}
	r.Finish(rig.Held, "%s", text)
}

// send sends one request on a connection of its own, leaves if it is to, and reads until the box has answered or closed
// the connection.
func send(to, id string, n int, leaves bool) (status int, stamp, body string, err error) {
	c, err := net.Dial("tcp", to)
	if err != nil {
		return 0, "", "", err
	}
	defer c.Close()
	order := fmt.Sprintf("order %d", n)
	if _, err := fmt.Fprintf(c, "POST /order/%d HTTP/1.1\r\nHost: case.example\r\nLeverdrum-Request-Id: %s\r\nLeverdrum-Deadline-Ms: 2500\r\nContent-Length: %d\r\n\r\n%s", n, id, len(order), order); err != nil {
		return 0, "", "", err
	}
	if leaves {
		time.Sleep(leave)
		if err := c.(*net.TCPConn).CloseWrite(); err != nil {
			return 0, "", "", err
		}
	}
	if err := c.SetReadDeadline(time.Now().Add(3 * time.Second)); err != nil {
		return 0, "", "", err
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, "", "", err // the box closed the connection without an answer
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return resp.StatusCode, resp.Header.Get("Leverdrum-Server-Stamp"), string(text), err
}
