// Package e2e starts real daemons on loopback, makes them fail, and checks what
// operators and callers were promised from the outside.
package e2e

import (
	"bytes"
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"leverdrum/admin"
	"leverdrum/standin"
)

var daemonPath string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "leverdrum-e2e")
	if err != nil {
		panic(err)
	}
	daemonPath = filepath.Join(folder, "leverdrumd")
	build := []string{"build", "-o", daemonPath}
	if os.Getenv("E2E_RACE") != "" { // daemons that report data races in their logs and exit 66
		build = append(build, "-race")
	}
	if out, err := exec.Command("go", append(build, "leverdrum/cmd/leverdrumd")...).CombinedOutput(); err != nil {
		panic(string(out))
	}
	status := m.Run()
	os.RemoveAll(folder)
	os.Exit(status)
}

// way is the network between boxes: a forwarder before each box that knows its
// callers by their IP numbers and can stop the bytes of each direction.
type way struct {
	mu  sync.Mutex
	cut map[[2]string]bool // by IP number, from and to
}

func (w *way) set(from, to string, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cut[[2]string{from, to}] = cut
}

func (w *way) heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	clear(w.cut)
}

func (w *way) isCut(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cut[[2]string{from, to}]
}

// forward carries the connections to one box.
func (w *way) forward(l net.Listener, ip, target string) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer in.Close()
			caller := in.RemoteAddr().(*net.TCPAddr).IP.String()
			for w.isCut(caller, ip) {
				time.Sleep(20 * time.Millisecond)
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			defer out.Close()
			done := make(chan struct{}, 2)
			go w.copy(out, in, caller, ip, done)
			go w.copy(in, out, ip, caller, done)
			<-done
		}()
	}
}

func (w *way) copy(to, from net.Conn, source, target string, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for w.isCut(source, target) {
			time.Sleep(20 * time.Millisecond)
		}
		if _, werr := to.Write(buf[:n]); werr != nil || err != nil {
			return
		}
	}
}

// boxProc is one daemon process.
type boxProc struct {
	c        *cluster
	name     string
	ip       string
	hall     string
	disk     bool
	listen   string
	entry    string
	operator string
	folder   string
	// advertised is where the other boxes reach it.
	advertised string

	// program is the build that the box runs, "" for that of the tests.
	program string

	mu  sync.Mutex
	cmd *exec.Cmd
}

// cluster is a set of boxes before in-process stand-ins.
type cluster struct {
	t        testing.TB
	way      *way
	boxes    []*boxProc
	engines  map[string]*standin.Engine
	services map[string]*standin.Service
	address  map[string]string // of stand-ins
	servers  map[string]*httptest.Server
	fleet    string // text behind [fleet] number
	filler   int    // bytes in each file that no other has, however it is packed
	platform *standin.Platform
	first    string // members, as settings list them
	seeds    string
	extra    string            // more settings for all boxes
	own      map[string]string // the same, of one box
}

// Ports of boxes are below the range that the system gives to outgoing connections
// and to listeners that name none: a port of that range, picked and released, may be
// gone before its box starts. Two of them even came out alike, for 18 of 30,000 boxes.
const (
	firstPort = 10_000
	ports     = 20_000
)

// portsUsed begins where other runs of the tests most likely do not.
var portsUsed atomic.Int64

func init() { portsUsed.Store(int64(os.Getpid()) * 389) }

// freeAddress returns an address that this run gives to nobody else.
func freeAddress(t testing.TB, ip string) string {
	t.Helper()
	for range ports {
		address := fmt.Sprintf("%s:%d", ip, firstPort+portsUsed.Add(1)%ports)
		l, err := net.Listen("tcp", address)
		if err == nil {
			l.Close()
			return address
		}
	}
	t.Fatal("no port is free")
	return ""
}

// newCluster makes disks boxes with a disk and others without, in two halls.
func newCluster(t testing.TB, disks, others int) *cluster {
	c := &cluster{
		t: t, way: &way{cut: map[[2]string]bool{}}, engines: map[string]*standin.Engine{}, services: map[string]*standin.Service{},
		address: map[string]string{}, servers: map[string]*httptest.Server{}, platform: standin.NewPlatform(), own: map[string]string{},
	}
	c.serve("platform", c.platform)
	for i := range disks + others {
		ip := fmt.Sprintf("127.0.7.%d", i+1)
		b := &boxProc{
			c: c, name: fmt.Sprintf("box%d", i), ip: ip, hall: fmt.Sprintf("hall%d", i%2), disk: i < disks,
			listen: freeAddress(t, ip), entry: freeAddress(t, ip), operator: freeAddress(t, ip), folder: filepath.Join(t.TempDir(), "data"),
		}
		c.boxes = append(c.boxes, b)
	}
	return c
}

func (c *cluster) serve(name string, h http.Handler) string {
	s := httptest.NewServer(h)
	c.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	c.servers[name] = s
	c.address[name] = s.Listener.Addr().String()
	return c.address[name]
}

// start starts all boxes behind their forwarders.
func (c *cluster) start() {
	c.t.Helper()
	for _, b := range c.boxes {
		l, err := net.Listen("tcp", strings.Replace(b.ip, "127.0.7.", "127.0.8.", 1)+":0")
		if err != nil {
			c.t.Fatal(err)
		}
		c.t.Cleanup(func() { l.Close() })
		b.advertised = l.Addr().String()
		go c.way.forward(l, b.ip, b.listen)
	}
	var first, seeds []string
	for _, b := range c.boxes {
		if b.disk {
			first = append(first, b.name)
			seeds = append(seeds, b.name+"="+b.advertised)
		}
	}
	c.first, c.seeds = strings.Join(first, ", "), strings.Join(seeds, ", ")
	for _, b := range c.boxes {
		b.writeSettings()
		b.start()
		c.t.Cleanup(b.kill)
	}
}

func (b *boxProc) settingsPath() string { return filepath.Join(filepath.Dir(b.folder), "box.ini") }

func (b *boxProc) writeSettings() {
	roles, data := "entry", ""
	if b.disk {
		roles, data = "control, entry", "[data]\nfolder = "+b.folder+"\ncompact-after = 64\n"
	}
	text := fmt.Sprintf(`[box]
name = %s
hall = %s
roles = %s
[cluster]
name = e2e
first-members = %s
boxes = %s
[peer]
listen = %s
advertise = %s
[entry]
listen = %s
balancer-lag = 800ms
[operator]
listen = %s
[platform]
address = %s
every = 200ms
%s%s%s`, b.name, b.hall, roles, b.c.first, b.c.seeds, b.listen, b.advertised, b.entry, b.operator, b.c.address["platform"], data, b.c.extra, b.c.own[b.name])
	if err := os.WriteFile(b.settingsPath(), []byte(text), 0o600); err != nil {
		b.c.t.Fatal(err)
	}
}

func (b *boxProc) start() {
	b.mu.Lock()
	defer b.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(filepath.Dir(b.folder), "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		b.c.t.Error(err)
		return
	}
	b.cmd = exec.Command(cmp.Or(b.program, daemonPath), "run", b.settingsPath())
	b.cmd.Stdout, b.cmd.Stderr = log, log
	if err := b.cmd.Start(); err != nil {
		b.c.t.Error(err)
	}
	log.Close()
}

func (b *boxProc) signal(s syscall.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cmd != nil {
		_ = b.cmd.Process.Signal(s)
	}
}

// kill ends the process at once.
func (b *boxProc) kill() {
	b.signal(syscall.SIGKILL)
	b.wait()
}

func (b *boxProc) wait() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cmd == nil {
		return 0
	}
	_ = b.cmd.Wait()
	status := b.cmd.ProcessState.ExitCode()
	b.cmd = nil
	return status
}

// stop is a planned stop; it returns the exit status.
func (b *boxProc) stop() int {
	b.signal(syscall.SIGTERM)
	return b.wait()
}

// wipe ends the process and empties its data folder.
func (b *boxProc) wipe() {
	b.kill()
	if err := os.RemoveAll(b.folder); err != nil {
		b.c.t.Error(err)
	}
}

func (b *boxProc) log() string {
	data, _ := os.ReadFile(filepath.Join(filepath.Dir(b.folder), "log"))
	return string(data)
}

// dumpLogs shows the end of each box's log when the test failed, and fails it
// when a daemon reported a data race.
func (c *cluster) dumpLogs() {
	for _, b := range c.boxes {
		if text := b.log(); strings.Contains(text, "DATA RACE") {
			i := strings.Index(text, "DATA RACE")
			c.t.Errorf("%s: %s", b.name, text[i:min(len(text), i+3000)])
		}
	}
	if !c.t.Failed() {
		return
	}
	for _, b := range c.boxes {
		text := b.log()
		c.t.Logf("%s:\n%s", b.name, text[max(0, len(text)-2500):])
	}
}

// file returns the fleet file of a number; the mark makes files of equal number
// differ.
func (c *cluster) file(number int, mark string) string {
	return fmt.Sprintf("# %s\n[fleet]\nnumber = %d\nloads-per-second = 100\n%s# %s\n", mark, number, c.fleet, c.unlike(number))
}

// unlike returns letters of six bits each for the filler of a file.
func (c *cluster) unlike(number int) string {
	const bits, alphabet = 6, "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ+/"
	draw := rand.New(rand.NewPCG(1, uint64(number)))
	letters := make([]byte, c.filler*8/bits)
	for i := range letters {
		letters[i] = alphabet[draw.IntN(len(alphabet))]
	}
	return string(letters)
}

// apply applies a file through a box. The status is 0 when no answer came.
func (b *boxProc) apply(ctx context.Context, text, operator string) (int, *admin.ApplyAnswer) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+b.operator+admin.FleetPath, strings.NewReader(text))
	if err != nil {
		b.c.t.Error(err)
		return 0, nil
	}
	req.Header.Set(admin.HeaderOperator, operator)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer resp.Body.Close()
	answer := &admin.ApplyAnswer{}
	if err := json.NewDecoder(resp.Body).Decode(answer); err != nil {
		return 0, nil
	}
	return resp.StatusCode, answer
}

// status reads back through a box, nil when no answer came.
func (b *boxProc) status(ctx context.Context) *admin.Status {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.operator+admin.StatusPath, nil)
	if err != nil {
		return nil
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	s := &admin.Status{}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(s) != nil {
		return nil
	}
	return s
}

// get returns the status code of an operators' path, 0 without an answer.
func (b *boxProc) get(path string) int {
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+b.operator+path, nil)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// answerOf is what a caller got.
type answerOf struct {
	status  int
	outcome string
	reason  string
	body    []byte
	err     error // of the connection, or of a body that broke off
}

// post sends a request to a box's callers' side.
func (b *boxProc) post(ctx context.Context, path, body string, header map[string]string) answerOf {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.entry+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return answerOf{err: err}
	}
	req.GetBody = nil // the test's client must not send it again by itself
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answerOf{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return answerOf{resp.StatusCode, resp.Header.Get("X-Leverdrum-Outcome"), resp.Header.Get("X-Leverdrum-Reason"), data, err}
}

// eventually waits until ok holds; the wait ends the test only when it never
// does.
func eventually(t testing.TB, what string, limit time.Duration, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("within %v it did not come true that %s", limit, what)
}

// applyNow applies a file and wants it accepted.
func (c *cluster) applyNow(number int) {
	c.t.Helper()
	eventually(c.t, "a file is accepted", 20*time.Second, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		defer cancel()
		status, answer := c.boxes[0].apply(ctx, c.file(number, "first"), "test")
		return status == http.StatusOK && answer.AppliedBy > answer.Boxes/2
	})
}

// up starts all boxes and waits until the first file is in force on all.
func (c *cluster) up() {
	c.t.Helper()
	c.start()
	c.applyNow(1)
	c.inForceEverywhere(1, 60*time.Second)
}

// inForceEverywhere waits until all boxes have the file of a number.
func (c *cluster) inForceEverywhere(number uint64, limit time.Duration) {
	c.t.Helper()
	lacking := ""
	ok := false
	defer func() {
		if !ok {
			c.t.Log("lacking at the last look: ", lacking)
		}
	}()
	eventually(c.t, fmt.Sprintf("file %d is in force on all boxes", number), limit, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		for _, b := range c.boxes {
			began := time.Now()
			if lacking = lacks(b.status(ctx), number, len(c.boxes)); lacking != "" {
				lacking = fmt.Sprintf("%s after %v: %s", b.name, time.Since(began), lacking)
				return false
			}
		}
		ok = true
		return true
	})
}

// lacks says what a box's status lacks of a file in force on all boxes, "" where nothing does.
func lacks(s *admin.Status, number uint64, boxes int) string {
	switch {
	case s == nil:
		return "no answer"
	case s.Fleet == nil:
		return "no file"
	case s.Fleet.Number != number || len(s.Boxes) != boxes:
		return fmt.Sprintf("file %d, %d boxes", s.Fleet.Number, len(s.Boxes))
	}
	for _, row := range s.Boxes {
		if row.State != "in-force" {
			return fmt.Sprintf("leader %s at %d has %+v", s.Leader, s.Index, row)
		}
	}
	return ""
}

// isolate cuts a box off from all others, in both directions.
func (c *cluster) isolate(b *boxProc) {
	for _, o := range c.boxes {
		if o != b {
			c.way.set(b.ip, o.ip, true)
			c.way.set(o.ip, b.ip, true)
		}
	}
}

// read reads back through any box that answers.
func (c *cluster) read() *admin.Status {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	for _, b := range c.boxes {
		if s := b.status(ctx); s != nil {
			return s
		}
	}
	return nil
}

// leader returns the box that leads, nil when none is known.
func (c *cluster) leader() *boxProc {
	s := c.read()
	if s == nil {
		return nil
	}
	for _, b := range c.boxes {
		if strings.HasPrefix(s.Leader, b.name+"/") {
			return b
		}
	}
	return nil
}

// awaitRepair waits until there are as many voters as boxes with disks, and all
// of them are heard.
func (c *cluster) awaitRepair() {
	c.t.Helper()
	disks := 0
	for _, b := range c.boxes {
		if b.disk {
			disks++
		}
	}
	eventually(c.t, "all voters are heard again", 60*time.Second, func() bool {
		s := c.read()
		if s == nil {
			return false
		}
		heard := 0
		for _, row := range s.Boxes {
			if row.Voter && row.State != "silent" {
				heard++
			}
		}
		return heard == disks && len(s.Voters) == disks
	})
}

// metric reads one metric without labels from a box.
func (b *boxProc) metric(name string) float64 {
	resp, err := http.Get("http://" + b.operator + "/metrics")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, name+" "); ok {
			v, _ := strconv.ParseFloat(strings.TrimSpace(value), 64)
			return v
		}
	}
	return 0
}
