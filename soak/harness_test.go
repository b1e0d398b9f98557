package soak

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"leverdrum/platform/standin"
)

const (
	diskBoxCount = 3 // number of boxes with a disk
	boxCount     = 5
	serverCount  = 4
	// orderPause is the boxes' order pause. The servers check for slightly less, since they see the arrival times of orders and
	// not the send times.
	orderPause = 1500 * time.Millisecond
	// stopTimeout is the maximum time from SIGTERM to the end of the process.
	stopTimeout = 8 * time.Second
)

var daemonPath string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "leverdrum-soak")
	if err != nil {
		panic(err)
	}
	daemonPath = filepath.Join(folder, "leverdrumd")
	if out, err := exec.Command("go", "build", "-o", daemonPath, "leverdrum/cmd/leverdrumd").CombinedOutput(); err != nil {
		panic(string(out))
	}
	status := m.Run()
	os.RemoveAll(folder)
	os.Exit(status)
}

// daemon is the process of one box.
type daemon struct {
	h      *harness
	ip     string
	folder string
	disk   bool

	mu            sync.Mutex // held for the duration of a fault
	cmd           *exec.Cmd
	done          chan struct{} // closed when the process has terminated
	logOffset     int64         // size of the log when the process started
	stopRequested bool          // the test has requested the termination
}

func (d *daemon) entry() string   { return d.ip + ":8149" }
func (d *daemon) control() string { return d.ip + ":8144" }

// harness is one run: the boxes, the links and servers around them, and the failures found.
type harness struct {
	t    *testing.T
	seed uint64
	// extraSettings are appended to the settings of all boxes.
	extraSettings string
	links         *links
	boxes         []*daemon
	servers       []*standin.Server

	timedOut bool // a wait has timed out

	limits   *limits
	pushback *pushback

	mu       sync.Mutex
	failures []string
}

// addFailure records a violated guarantee.
func (h *harness) addFailure(format string, args ...any) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.failures = append(h.failures, fmt.Sprintf(format, args...))
}

// harnessCount counts the harnesses of this process, so that each uses its own addresses.
var harnessCount int

// maxHarnesses is the number of harnesses of a process that have addresses of their own at the same time, also beside processes with
// neighbouring IDs.
const maxHarnesses = 16

func newHarness(t *testing.T, seed uint64) *harness {
	h := newBoxes(t, seed, boxCount, "")
	for i := range serverCount {
		h.startServer(i)
	}
	return h
}

// newBoxes starts boxes without servers.
func newBoxes(t *testing.T, seed uint64, count int, extraSettings string) *harness {
	harnessCount++
	subnetIndex := os.Getpid()*maxHarnesses + harnessCount%maxHarnesses
	h := &harness{t: t, seed: seed, extraSettings: extraSettings, links: newLinks(), limits: newLimits(seed), pushback: newPushback(seed)}
	subnet := fmt.Sprintf("127.%d.%d", 64+subnetIndex>>8&63, subnetIndex&255)
	for i := range count {
		h.boxes = append(h.boxes, &daemon{h: h, ip: fmt.Sprintf("%s.%d", subnet, 10+i), folder: t.TempDir(), disk: i < diskBoxCount})
	}
	for _, d := range h.boxes {
		h.listen(d)
	}
	for _, d := range h.boxes {
		d.writeConfig()
		d.start()
		t.Cleanup(d.kill)
	}
	return h
}

// listen opens the forwarder through which the other boxes reach a box.
func (h *harness) listen(d *daemon) {
	l, err := net.Listen("tcp", d.forwarderAddr())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { l.Close() })
	go h.links.forward(l, d.ip, d.ip+":7380")
}

// forwarderAddr is the address at which the other boxes reach the box.
func (d *daemon) forwarderAddr() string { return d.ip + ":7381" }

func (d *daemon) writeConfig() {
	var first, all []string
	for _, o := range d.h.boxes {
		if o.disk {
			first = append(first, o.ip)
			all = append(all, o.ip+"="+o.forwarderAddr())
		}
	}
	roles, data := "entry", ""
	if d.disk {
		roles, data = "control,entry", "[data]\nfolder = "+filepath.Join(d.folder, "data")+"\ncompact-after = 64\n"
	}
	text := fmt.Sprintf(`[box]
name = %[1]s
hall = h
roles = %[2]s
[cluster]
name = soak
first-members = %[3]s
boxes = %[4]s
voters-need-disks = true
[peer]
listen = %[1]s:7380
advertise = %[5]s
[entry]
listen = %[1]s:8149
dialect = platform
ready-listen = %[1]s:8141
parting = 2s
balancer-lag = 500ms
stop-timeout = 4500ms
[operator]
listen = %[1]s:7395
platform-listen = %[1]s:8144
accept-wait = 600ms
[orders]
pause = %[6]v
demand-settles = 1s
[timing]
config-lease = 1h
%[7]s%[8]s`, d.ip, roles, strings.Join(first, ","), strings.Join(all, ","), d.forwarderAddr(), orderPause, data, d.h.extraSettings)
	if err := os.WriteFile(filepath.Join(d.folder, "box.ini"), []byte(text), 0o600); err != nil {
		d.h.t.Fatal(err)
	}
}

// start starts the process and records a failure if it terminates without a request.
func (d *daemon) start() {
	log, err := os.OpenFile(filepath.Join(d.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		d.h.addFailure("box %s: cannot open its log: %v", d.ip, err)
		return
	}
	defer log.Close()
	info, err := log.Stat()
	if err != nil {
		d.h.addFailure("box %s: cannot stat its log: %v", d.ip, err)
		return
	}
	cmd := exec.Command(daemonPath, "run", filepath.Join(d.folder, "box.ini"))
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		d.h.addFailure("box %s: cannot start the process: %v", d.ip, err)
		return
	}
	done := make(chan struct{})
	d.cmd, d.done, d.stopRequested = cmd, done, false
	d.logOffset = info.Size()
	go func() {
		err := cmd.Wait()
		close(done)
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.cmd == cmd && !d.stopRequested {
			d.h.addFailure("box %s terminated unexpectedly: %v", d.ip, err)
		}
	}()
}

// kill kills the process with SIGKILL.
func (d *daemon) kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.killLocked()
}

func (d *daemon) killLocked() {
	if d.cmd == nil {
		return
	}
	d.stopRequested = true
	_ = d.cmd.Process.Kill() // it may have terminated
	<-d.done
}

// awaitSignalHandling waits until the process logs that it is starting: before that it cannot handle signals. Only lines of this
// process count, since the previous one may have been killed before it logged any.
func (d *daemon) awaitSignalHandling() {
	for range 500 {
		text, err := os.ReadFile(filepath.Join(d.folder, "log"))
		if err == nil && strings.Contains(string(text[d.logOffset:]), `"event":"starting"`) {
			return
		}
		select {
		case <-d.done:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
	d.h.addFailure("box %s did not log that it is starting within 5 s", d.ip)
}

// stop performs a planned stop, which must end within stopTimeout.
func (d *daemon) stop() {
	d.awaitSignalHandling()
	d.stopRequested = true
	_ = d.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-d.done:
		if status := d.cmd.ProcessState.ExitCode(); status != 0 {
			d.h.addFailure("box %s exited from a planned stop with status %d", d.ip, status)
		}
	case <-time.After(stopTimeout):
		d.h.addFailure("box %s is still running %v after SIGTERM", d.ip, stopTimeout)
		d.killLocked()
	}
}

// startServer starts a simulated server with a new ID at an index.
func (h *harness) startServer(index int) {
	s := &standin.Server{
		ID: fmt.Sprintf("i-%d-%d", index, time.Now().UnixNano()), Service: "s", Hall: "h", Memory: 220, AdapterSlots: 3, LoadTime: 200 * time.Millisecond,
		HeartbeatInterval: 300 * time.Millisecond, MinHolderGap: orderPause - 100*time.Millisecond, EventCount: eventCount, EventDelay: 15 * time.Millisecond, ModelSizes: map[string]int{},
	}
	h.limits.assignInitial(s.ID)
	s.ReportedLimit = func() string { return h.limits.limitOf(s.ID) }
	s.RetryAfter = func(string) string { return h.pushback.retryAfter(s.ID) }
	s.ControlRetryAfter = func() string { return h.pushback.retryAfter(s.ID) }
	s.ReportsDraining = func() bool { return h.pushback.isDraining(s.ID) }
	for _, d := range h.boxes {
		s.ControlAddresses = append(s.ControlAddresses, d.control())
	}
	for i := range modelCount {
		s.ModelSizes[fmt.Sprint("m", i)] = 70
	}
	if err := s.Start(fmt.Sprint("m", index)); err != nil {
		h.addFailure("cannot start a simulated server: %v", err)
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.servers = append(h.servers, s)
	h.t.Cleanup(s.Stop)
}

// newestServer returns the server last started at an index, nil if there is none.
func (h *harness) newestServer(index int) *standin.Server {
	h.mu.Lock()
	defer h.mu.Unlock()
	var newest *standin.Server
	for _, s := range h.servers {
		if strings.HasPrefix(s.ID, fmt.Sprintf("i-%d-", index)) {
			newest = s
		}
	}
	return newest
}
