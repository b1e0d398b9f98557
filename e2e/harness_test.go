// Package e2e runs real daemons on loopback addresses, injects failures, and checks
// the guarantees to operators and callers from the outside.
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
	if os.Getenv("E2E_RACE") != "" { // the daemons report data races in their logs and exit with status 66
		build = append(build, "-race")
	}
	if out, err := exec.Command("go", append(build, "leverdrum/cmd/leverdrumd")...).CombinedOutput(); err != nil {
		panic(string(out))
	}
	status := m.Run()
	os.RemoveAll(folder)
	os.Exit(status)
}

// network simulates the network between boxes: a TCP proxy in front of each box
// identifies peers by IP address and can block each direction separately.
type network struct {
	mu      sync.Mutex
	blocked map[[2]string]bool // by source and destination IP address
}

func (nw *network) setBlocked(from, to string, blocked bool) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.blocked[[2]string{from, to}] = blocked
}

func (nw *network) heal() {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	clear(nw.blocked)
}

func (nw *network) isBlocked(from, to string) bool {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.blocked[[2]string{from, to}]
}

// forward proxies connections to one box.
func (nw *network) forward(l net.Listener, boxIP, target string) {
	for {
		in, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer in.Close()
			caller := in.RemoteAddr().(*net.TCPAddr).IP.String()
			for nw.isBlocked(caller, boxIP) {
				time.Sleep(20 * time.Millisecond)
			}
			out, err := net.Dial("tcp", target)
			if err != nil {
				return
			}
			defer out.Close()
			done := make(chan struct{}, 2)
			go nw.copy(out, in, caller, boxIP, done)
			go nw.copy(in, out, boxIP, caller, done)
			<-done
		}()
	}
}

func (nw *network) copy(to, from net.Conn, source, target string, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		for nw.isBlocked(source, target) {
			time.Sleep(20 * time.Millisecond)
		}
		if _, werr := to.Write(buf[:n]); werr != nil || err != nil {
			return
		}
	}
}

// boxProcess runs the daemon of one box.
type boxProcess struct {
	c        *cluster
	name     string
	ip       string
	hall     string
	disk     bool
	listen   string
	entry    string
	operator string
	dataDir  string
	// advertiseAddress is the address of its proxy, which the other boxes connect to.
	advertiseAddress string

	// binary is the path of the daemon that the box runs; "" stands for daemonPath.
	binary string

	mu  sync.Mutex
	cmd *exec.Cmd
}

// cluster is a set of boxes in front of simulated, in-process backend servers.
type cluster struct {
	t             testing.TB
	network       *network
	boxes         []*boxProcess
	engines       map[string]*standin.Engine
	services      map[string]*standin.Service
	addresses     map[string]string // of simulated servers
	servers       map[string]*httptest.Server
	fleetText     string // fleet file text after the number in [fleet]
	fillerBytes   int    // incompressible bytes in each file, different for each number
	platform      *standin.Platform
	firstMembers  string // as in the setting first-members
	seeds         string
	extraSettings string            // appended to the settings of all boxes
	boxSettings   map[string]string // by box name, appended to its settings
}

// Ports of boxes are below the ephemeral range, which the system assigns to outgoing
// connections and to listeners on port 0. A port of that range that was picked and
// released may be taken before its box starts. With such ports, 18 of 30,000 boxes even
// got the same port twice.
const (
	firstPort = 10_000
	portCount = 20_000
)

// portCounter starts at a value derived from the process ID, so that concurrent test
// runs are unlikely to pick the same ports.
var portCounter atomic.Int64

func init() { portCounter.Store(int64(os.Getpid()) * 389) }

// freeAddress returns an unused address that this run hands out only once.
func freeAddress(t testing.TB, ip string) string {
	t.Helper()
	for range portCount {
		address := fmt.Sprintf("%s:%d", ip, firstPort+portCounter.Add(1)%portCount)
		l, err := net.Listen("tcp", address)
		if err == nil {
			l.Close()
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// newCluster returns a cluster of disks boxes with a disk and others without, in two
// data halls. It starts no boxes.
func newCluster(t testing.TB, disks, others int) *cluster {
	c := &cluster{
		t: t, network: &network{blocked: map[[2]string]bool{}}, engines: map[string]*standin.Engine{}, services: map[string]*standin.Service{},
		addresses: map[string]string{}, servers: map[string]*httptest.Server{}, platform: standin.NewPlatform(), boxSettings: map[string]string{},
	}
	c.serve("platform", c.platform)
	for i := range disks + others {
		ip := fmt.Sprintf("127.0.7.%d", i+1)
		b := &boxProcess{
			c: c, name: fmt.Sprintf("box%d", i), ip: ip, hall: fmt.Sprintf("hall%d", i%2), disk: i < disks,
			listen: freeAddress(t, ip), entry: freeAddress(t, ip), operator: freeAddress(t, ip), dataDir: filepath.Join(t.TempDir(), "data"),
		}
		c.boxes = append(c.boxes, b)
	}
	return c
}

// serve starts an HTTP server on loopback and returns its address.
func (c *cluster) serve(name string, h http.Handler) string {
	s := httptest.NewServer(h)
	c.t.Cleanup(func() {
		s.CloseClientConnections()
		s.Close()
	})
	c.servers[name] = s
	c.addresses[name] = s.Listener.Addr().String()
	return c.addresses[name]
}

// start starts all boxes behind their proxies.
func (c *cluster) start() {
	c.t.Helper()
	for _, b := range c.boxes {
		l, err := net.Listen("tcp", strings.Replace(b.ip, "127.0.7.", "127.0.8.", 1)+":0")
		if err != nil {
			c.t.Fatal(err)
		}
		c.t.Cleanup(func() { l.Close() })
		b.advertiseAddress = l.Addr().String()
		go c.network.forward(l, b.ip, b.listen)
	}
	var first, seeds []string
	for _, b := range c.boxes {
		if b.disk {
			first = append(first, b.name)
			seeds = append(seeds, b.name+"="+b.advertiseAddress)
		}
	}
	c.firstMembers, c.seeds = strings.Join(first, ", "), strings.Join(seeds, ", ")
	for _, b := range c.boxes {
		b.writeSettings()
		b.start()
		c.t.Cleanup(b.kill)
	}
}

func (b *boxProcess) settingsPath() string { return filepath.Join(filepath.Dir(b.dataDir), "box.ini") }

func (b *boxProcess) writeSettings() {
	roles, data := "entry", ""
	if b.disk {
		roles, data = "control, entry", "[data]\nfolder = "+b.dataDir+"\ncompact-after = 64\n"
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
%s%s%s`, b.name, b.hall, roles, b.c.firstMembers, b.c.seeds, b.listen, b.advertiseAddress, b.entry, b.operator, b.c.addresses["platform"], data, b.c.extraSettings, b.c.boxSettings[b.name])
	if err := os.WriteFile(b.settingsPath(), []byte(text), 0o600); err != nil {
		b.c.t.Fatal(err)
	}
}

func (b *boxProcess) start() {
	b.mu.Lock()
	defer b.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(filepath.Dir(b.dataDir), "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		b.c.t.Error(err)
		return
	}
	b.cmd = exec.Command(cmp.Or(b.binary, daemonPath), "run", b.settingsPath())
	b.cmd.Stdout, b.cmd.Stderr = log, log
	if err := b.cmd.Start(); err != nil {
		b.c.t.Error(err)
	}
	log.Close()
}

func (b *boxProcess) signal(s syscall.Signal) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.cmd != nil {
		_ = b.cmd.Process.Signal(s)
	}
}

// kill sends SIGKILL and waits for the process to exit.
func (b *boxProcess) kill() {
	b.signal(syscall.SIGKILL)
	b.wait()
}

// wait waits for the process to exit and returns its exit status.
func (b *boxProcess) wait() int {
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

// stop shuts the daemon down with SIGTERM and returns its exit status.
func (b *boxProcess) stop() int {
	b.signal(syscall.SIGTERM)
	return b.wait()
}

// wipe kills the process and removes its data folder.
func (b *boxProcess) wipe() {
	b.kill()
	if err := os.RemoveAll(b.dataDir); err != nil {
		b.c.t.Error(err)
	}
}

func (b *boxProcess) log() string {
	data, _ := os.ReadFile(filepath.Join(filepath.Dir(b.dataDir), "log"))
	return string(data)
}

// dumpLogs fails the test if a daemon reported a data race. If the test failed, it
// logs the end of each box's log.
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

// fleetFile returns the fleet file with the given number. Files of equal number and
// different labels differ.
func (c *cluster) fleetFile(number int, label string) string {
	return fmt.Sprintf("# %s\n[fleet]\nnumber = %d\nloads-per-second = 100\n%s# %s\n", label, number, c.fleetText, c.filler(number))
}

// filler returns fillerBytes*8/6 pseudorandom letters of six bits each, determined by number.
func (c *cluster) filler(number int) string {
	const bits, alphabet = 6, "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ+/"
	rng := rand.New(rand.NewPCG(1, uint64(number)))
	letters := make([]byte, c.fillerBytes*8/bits)
	for i := range letters {
		letters[i] = alphabet[rng.IntN(len(alphabet))]
	}
	return string(letters)
}

// apply applies a file through a box. The status is 0 if there was no answer.
func (b *boxProcess) apply(ctx context.Context, text, operator string) (int, *admin.ApplyAnswer) {
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

// status reads the status through a box; nil if there was no answer.
func (b *boxProcess) status(ctx context.Context) *admin.Status {
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

// get returns the HTTP status of a path of the operator API, 0 if there was no answer.
func (b *boxProcess) get(path string) int {
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

// callResponse is the response to a caller's request.
type callResponse struct {
	status  int
	outcome string
	reason  string
	body    []byte
	err     error // connection error or truncated body
}

// post sends a request to a box's entry address.
func (b *boxProcess) post(ctx context.Context, path, body string, header map[string]string) callResponse {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.entry+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return callResponse{err: err}
	}
	req.GetBody = nil // the HTTP client must not retry on its own
	for k, v := range header {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return callResponse{err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	return callResponse{resp.StatusCode, resp.Header.Get("X-Leverdrum-Outcome"), resp.Header.Get("X-Leverdrum-Reason"), data, err}
}

// eventually polls holds until it returns true and fails the test after limit.
func eventually(t testing.TB, condition string, limit time.Duration, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("not reached within %v: %s", limit, condition)
}

// awaitAccepted applies a file until it is accepted and active on a majority of the boxes.
func (c *cluster) awaitAccepted(number int) {
	c.t.Helper()
	eventually(c.t, "a file is accepted", 20*time.Second, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 8*time.Second)
		defer cancel()
		status, answer := c.boxes[0].apply(ctx, c.fleetFile(number, "first"), "test")
		return status == http.StatusOK && answer.AppliedBy > answer.Boxes/2
	})
}

// startReady starts all boxes and waits until the first file is active on all.
func (c *cluster) startReady() {
	c.t.Helper()
	c.start()
	c.awaitAccepted(1)
	c.awaitActive(1, 60*time.Second)
}

// awaitActive waits until the file with the given number is active on all boxes.
func (c *cluster) awaitActive(number uint64, limit time.Duration) {
	c.t.Helper()
	reason := ""
	active := false
	defer func() {
		if !active {
			c.t.Log("not active in the last poll: ", reason)
		}
	}()
	eventually(c.t, fmt.Sprintf("file %d is active on all boxes", number), limit, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		for _, b := range c.boxes {
			began := time.Now()
			if reason = inactiveReason(b.status(ctx), number, len(c.boxes)); reason != "" {
				reason = fmt.Sprintf("%s after %v: %s", b.name, time.Since(began), reason)
				return false
			}
		}
		active = true
		return true
	})
}

// inactiveReason returns why a status does not show the file as active on all boxes,
// "" if it does.
func inactiveReason(s *admin.Status, number uint64, boxes int) string {
	switch {
	case s == nil:
		return "no answer"
	case s.Fleet == nil:
		return "no fleet file"
	case s.Fleet.Number != number || len(s.Boxes) != boxes:
		return fmt.Sprintf("file %d, %d boxes", s.Fleet.Number, len(s.Boxes))
	}
	for _, row := range s.Boxes {
		if row.State != "in-force" {
			return fmt.Sprintf("leader %s at index %d reports %+v", s.Leader, s.Index, row)
		}
	}
	return ""
}

// isolate partitions a box from all others, in both directions.
func (c *cluster) isolate(b *boxProcess) {
	for _, o := range c.boxes {
		if o != b {
			c.network.setBlocked(b.ip, o.ip, true)
			c.network.setBlocked(o.ip, b.ip, true)
		}
	}
}

// readStatus returns the status from the first box that answers, nil if none does.
func (c *cluster) readStatus() *admin.Status {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	for _, b := range c.boxes {
		if s := b.status(ctx); s != nil {
			return s
		}
	}
	return nil
}

// leader returns the leader, nil if none is known.
func (c *cluster) leader() *boxProcess {
	s := c.readStatus()
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

// awaitVoters waits until there are as many voters as boxes with disks and all of them
// are responsive.
func (c *cluster) awaitVoters() {
	c.t.Helper()
	diskCount := 0
	for _, b := range c.boxes {
		if b.disk {
			diskCount++
		}
	}
	eventually(c.t, "all voters are responsive again", 60*time.Second, func() bool {
		s := c.readStatus()
		if s == nil {
			return false
		}
		reachable := 0
		for _, row := range s.Boxes {
			if row.Voter && row.State != "silent" {
				reachable++
			}
		}
		return reachable == diskCount && len(s.Voters) == diskCount
	})
}

// metric reads the sample of a box with the given name and labels, 0 if it is missing.
func (b *boxProcess) metric(name string) float64 {
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
