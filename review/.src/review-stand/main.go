// Command review-stand is a backend server that speaks the platform's protocol as PROTOCOL.md tells it: it registers itself,
// beats, runs requests, answers reports and carries out orders. It notes each run in a file.
package main

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

var (
	id       = flag.String("id", "", "id of this incarnation")
	zone     = flag.String("zone", "", "zone")
	address  = flag.String("address", "", "address to listen on")
	control  = flag.String("control", "", "control_plane addresses, separated by commas")
	service  = flag.String("service", "lm", "name of the service")
	engine   = flag.Bool("engine", false, "whether it is a model server")
	models   = flag.String("models", "", "models that it holds at the start, separated by commas")
	slots    = flag.Int("slots", 64, "slots")
	first    = flag.Duration("first", 200*time.Millisecond, "time to the first event, or to a plain answer")
	gap      = flag.Duration("gap", 100*time.Millisecond, "time between two events")
	events   = flag.Int("events", 10, "events of a stream; 0: plain answers")
	runsFile = flag.String("runs", "", "file for runs")
)

type server struct {
	mu       sync.Mutex
	held     map[string]bool
	busy     bool
	orders   uint64
	sequence uint64
	runs     *os.File
}

func main() {
	flag.Parse()
	f, err := os.OpenFile(*runsFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		log.Fatal(err)
	}
	s := &server{held: map[string]bool{}, runs: f}
	for m := range strings.SplitSeq(*models, ",") {
		if m != "" {
			s.held[m] = true
		}
	}
	l, err := net.Listen("tcp", *address)
	if err != nil {
		log.Fatal(err)
	}
	go s.beat()
	log.Fatal(http.Serve(l, s))
}

func (s *server) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	fmt.Fprintf(s.runs, "%d %s\n", time.Now().UnixMilli(), fmt.Sprintf(format, args...))
}

func (s *server) modelList() []any {
	list := []any{}
	for m := range s.held {
		list = append(list, map[string]any{"name": m, "version": 1, "adapters": []string{}})
	}
	return list
}

// beat registers the server and sends heartbeats, each to the next address until one acknowledges it.
func (s *server) beat() {
	client := &http.Client{Timeout: time.Second}
	list := strings.Split(*control, ",")
	next, preferred := 0, ""
	for ; ; time.Sleep(1200 * time.Millisecond) {
		for range list {
			to := preferred
			if to == "" {
				to = list[next%len(list)]
				next++
			}
			url, ok := s.beatOnce(client, to)
			if ok {
				preferred = url
				break
			}
			preferred = ""
		}
	}
}

func (s *server) beatOnce(client *http.Client, to string) (url string, ok bool) {
	s.mu.Lock()
	s.sequence++
	m := map[string]any{"backend": *service, "address": *address, "zone": *zone, "version": "v1", "slots": *slots, "state": "ready", "cold_remaining_ms": 0, "sequence": s.sequence}
	if *engine {
		m["stage"], m["models"] = "both", s.modelList()
	}
	s.mu.Unlock()
	text, _ := json.Marshal(m)
	resp, err := client.Post("http://"+to+"/Instances.Heartbeat/"+*id, "application/json", bytes.NewReader(text))
	if err != nil {
		return "", false
	}
	defer resp.Body.Close()
	answer := struct {
		URL string `json:"heartbeat_url"`
	}{}
	_ = json.NewDecoder(io.LimitReader(resp.Body, 4<<10)).Decode(&answer) // an answer without an address is fine
	return answer.URL, resp.StatusCode/100 == 2
}

func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Leverdrum-Expect-Instance"); want != "" && want != *id {
		w.Header().Set("Leverdrum-Instance-Id", *id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/health":
		w.Header().Set("Leverdrum-Instance-Id", *id)
	case "/report":
		s.mu.Lock()
		defer s.mu.Unlock()
		_ = json.NewEncoder(w).Encode(map[string]any{"stage": "both", "models": s.modelList(), "busy": s.busy, "sequence": s.orders, "queued": 0, "running": 0, "kv_used": 0, "kv_total": 250000, "handles": 0})
	case "/order":
		s.order(w, r)
	default:
		s.run(w, r)
	}
}

func (s *server) order(w http.ResponseWriter, r *http.Request) {
	var o struct {
		Op, Model string
		Expected  *uint64 `json:"expected_count"`
		Holder    string
		Fence     uint64 `json:"fencing_token"`
	}
	if json.NewDecoder(r.Body).Decode(&o) != nil || o.Holder == "" || o.Fence == 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.note("order %s %s holder %s fence %d", o.Op, o.Model, o.Holder, o.Fence)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.busy || o.Expected != nil && *o.Expected != s.orders:
		w.WriteHeader(http.StatusConflict)
	case s.held[o.Model] == (o.Op == "load"):
		s.orders++
		w.WriteHeader(http.StatusOK)
	default:
		s.orders++
		s.busy = true
		time.AfterFunc(2*time.Second, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			s.busy = false
			if o.Op == "load" {
				s.held[o.Model] = true
			} else {
				delete(s.held, o.Model)
			}
		})
		w.WriteHeader(http.StatusAccepted)
	}
}

func (s *server) run(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	request := r.Header.Get("Leverdrum-Request-Id")
	w.Header().Set("Leverdrum-Request-Id", request)
	model := r.Header.Get("Leverdrum-Model")
	s.mu.Lock()
	missing := model != "" && !s.held[model]
	s.mu.Unlock()
	switch {
	case request == "":
		w.Header().Set("Leverdrum-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case missing:
		w.Header().Set("Leverdrum-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.note("begins %s %s %s body %d", request, r.Method, r.URL.Path, len(body))
	w.Header().Set("Leverdrum-Server-Stamp", *id)
	select {
	case <-time.After(*first):
	case <-r.Context().Done():
		s.note("caller of %s is gone", request)
		return
	}
	if *events == 0 {
		answer := "answer to " + request + " by " + *id + "\n"
		w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
		_, _ = io.WriteString(w, answer)
		s.note("ends %s", request)
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	from := 0
	_, _ = fmt.Sscan(r.Header.Get("Last-Event-Id"), &from)
	for n := from + 1; n <= *events; n++ {
		fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n, request)
		if http.NewResponseController(w).Flush() != nil || r.Context().Err() != nil {
			s.note("caller of %s is gone", request)
			return
		}
		if n < *events {
			time.Sleep(*gap)
		}
	}
	s.note("ends %s", request)
}
