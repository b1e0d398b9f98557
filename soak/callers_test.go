package soak

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"leverdrum/platform/standin"
)

const (
	models  = 7
	events  = 6 // of an answer
	callers = 8
	// applyBound is how long after its acknowledgement a configuration may still not
	// be read back from every box.
	applyBound = 2 * time.Second
)

// caller sends requests one after another and keeps its connections open.
type caller struct {
	w      *world
	number int
	random *rand.Rand
	client *http.Client

	mu      sync.Mutex
	unsafe  []string // ids that may run once
	refused []string // ids that were said not to have run
	served  int
}

func newCaller(w *world, number int) *caller {
	transport := &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 4, ResponseHeaderTimeout: 6 * time.Second}
	return &caller{w: w, number: number, random: rand.New(rand.NewPCG(w.seed, uint64(1000+number))), client: &http.Client{Transport: transport}}
}

func (c *caller) run(ctx context.Context) {
	for n := 0; ctx.Err() == nil; n++ {
		box := c.w.boxes[c.random.IntN(len(c.w.boxes))]
		model := fmt.Sprint("m", c.random.IntN(models))
		if c.random.IntN(4) == 0 {
			model += fmt.Sprint("/a", 1+c.random.IntN(4))
		}
		unsafe := c.random.IntN(3) == 0
		id := fmt.Sprintf("s%d-%d-%d", c.w.seed, c.number, n)
		status, fault := c.ask(ctx, box, id, model, unsafe)
		if fault != "" {
			c.w.find("request %s at %s: %s", id, box.ip, fault)
		}
		c.note(id, status, unsafe)
		time.Sleep(time.Duration(c.random.IntN(40)) * time.Millisecond)
	}
}

func (c *caller) note(id string, status int, unsafe bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if unsafe {
		c.unsafe = append(c.unsafe, id)
	}
	switch status {
	case http.StatusOK:
		c.served++
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		c.refused = append(c.refused, id)
	}
}

// ask sends one request. It returns the status, 0 where the connection broke, and
// what an answer must not look like.
func (c *caller) ask(ctx context.Context, box *daemon, id, model string, unsafe bool) (status int, fault string) {
	path := "/safe/x"
	if unsafe {
		path = "/unsafe/x"
	}
	ctx, cancel := context.WithTimeout(ctx, 6*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+box.entry()+path, bytes.NewReader([]byte("body")))
	if err != nil {
		return 0, err.Error()
	}
	req.GetBody = nil // the client must not send it again by itself
	req.Host = "h.example"
	req.Header.Set("Leverdrum-Request-Id", id)
	req.Header.Set("Leverdrum-Deadline-Ms", "5000")
	req.Header.Set("Leverdrum-Model", model)
	req.Header.Set(standin.HeaderVia, box.ip)
	req.Header.Set(standin.HeaderSent, strconv.FormatInt(time.Now().UnixMilli(), 10))
	resp, err := c.client.Do(req)
	if err != nil {
		return 0, ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	if resp.StatusCode != http.StatusOK {
		if resp.StatusCode == http.StatusServiceUnavailable && resp.Header.Get("Retry-After") == "" {
			return resp.StatusCode, "refused without a time to come back"
		}
		return resp.StatusCode, ""
	}
	return resp.StatusCode, judge(resp, id, string(body))
}

// judge says what is wrong with a whole answer.
func judge(resp *http.Response, id, body string) string {
	if resp.Header.Get("Leverdrum-Server-Stamp") == "" {
		return "a success without a server's stamp"
	}
	if got := resp.Header.Get("Leverdrum-Request-Id"); got != id {
		return "the answer to " + got
	}
	var ids []string
	for line := range strings.Lines(body) {
		if n, ok := strings.CutPrefix(line, "id: "); ok {
			ids = append(ids, strings.TrimSpace(n))
		}
	}
	var want []string
	for n := range events {
		want = append(want, fmt.Sprint(n+1))
	}
	if !slices.Equal(ids, want) {
		return fmt.Sprintf("an answer that ends as if whole has the events %v", ids)
	}
	return ""
}

// operator applies configurations and reads them back at any box.
type operator struct {
	w      *world
	random *rand.Rand
	client *http.Client

	mu    sync.Mutex
	acked []ack
	sent  map[int]string
}

type ack struct {
	version int
	at      time.Time
}

func newOperator(w *world) *operator {
	return &operator{w: w, random: rand.New(rand.NewPCG(w.seed, 7)), client: &http.Client{Timeout: 3 * time.Second}, sent: map[int]string{}}
}

func config(version int) string {
	var list []string
	for i := range models {
		list = append(list, fmt.Sprintf(`{"name":"m%d","weights_mb":70,"load_s":0.2,"warm_s":0.1,"disk_s":0.1,"adapters":4,"adapter_mb":1}`, i))
	}
	route := func(name, path, kind string, resumable bool, attempts int) string {
		return fmt.Sprintf(`{"name":%q,"hostname":"h.example","path_prefix":%q,"route_type":%q,"timeout_ms":5000,"target_latency_ms":800,"backend":"s","max_attempts":%d,"resumable":%t}`,
			name, path, kind, attempts, resumable)
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s,%s],"backends":[{"name":"s","max_connections":200,"engine":{"slots":64,"weights_mb":220,"adapter_slots":3,"loads_per_s":50,"models":[%s]}}]}`,
		version, route("safe", "/safe/", "streaming", true, 2), route("unsafe", "/unsafe/", "unsafe", false, 1), strings.Join(list, ","))
}

func (o *operator) run(ctx context.Context) {
	for version := 2; ctx.Err() == nil; version += 1 + o.random.IntN(3) {
		o.apply(version, o.anyBox())
		o.readBack(o.anyBox())
		time.Sleep(time.Duration(100+o.random.IntN(400)) * time.Millisecond)
	}
}

func (o *operator) anyBox() *daemon { return o.w.boxes[o.random.IntN(len(o.w.boxes))] }

// apply sends a configuration once, and reports whether it was acknowledged.
func (o *operator) apply(version int, box *daemon) bool {
	text := config(version)
	o.mu.Lock()
	o.sent[version] = text
	o.mu.Unlock()
	resp, err := o.client.Post("http://"+box.control()+"/Config.Replace", "application/json", strings.NewReader(text))
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	if resp.StatusCode >= 400 && resp.StatusCode < 500 {
		o.w.find("configuration %d is refused at %s with %d", version, box.ip, resp.StatusCode)
	}
	if resp.StatusCode != http.StatusOK {
		return false
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.acked = append(o.acked, ack{version, time.Now()})
	return true
}

// newest returns the highest version that was acknowledged before a time.
func (o *operator) newest(before time.Time) (version int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for _, a := range o.acked {
		if a.at.Before(before) {
			version = max(version, a.version)
		}
	}
	return version
}

// readBack reads the configuration from a box; it reports whether one came.
func (o *operator) readBack(box *daemon) bool {
	least := o.newest(time.Now().Add(-applyBound))
	resp, err := o.client.Get("http://" + box.control() + "/Config.Get")
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return false
	}
	version := 0
	fmt.Sscanf(string(text), `{"version":%d,`, &version)
	o.mu.Lock()
	want := o.sent[version]
	o.mu.Unlock()
	switch {
	case version < least:
		o.w.find("box %s reads back configuration %d, %d was acknowledged %v before", box.ip, version, least, applyBound)
	case string(text) != want:
		o.w.find("box %s reads back another text under %d than was sent", box.ip, version)
	}
	return true
}
