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
	disks   = 3 // boxes with a disk
	boxes   = 5
	servers = 4
	// orderPause is the setting of the boxes; servers are a little less strict, since
	// their clocks see arrivals and not sendings.
	orderPause = 1500 * time.Millisecond
	// grace is how long a box has from SIGTERM to its end.
	grace = 8 * time.Second
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

// daemon is one box's process.
type daemon struct {
	w      *world
	ip     string
	folder string
	disk   bool

	mu     sync.Mutex // one fault at a time
	cmd    *exec.Cmd
	done   chan struct{} // closed when the process has ended
	logged int64         // how long its log was when the process started
	ends   bool          // its end was asked for
}

func (d *daemon) entry() string   { return d.ip + ":8149" }
func (d *daemon) control() string { return d.ip + ":8144" }

// world is one run: the boxes, what is before and behind them, and what was found.
type world struct {
	t       *testing.T
	seed    uint64
	links   *links
	boxes   []*daemon
	servers []*standin.Server

	missed bool // some wait ended in vain

	limits   *limits
	pushback *pushback

	mu       sync.Mutex
	findings []string
}

// find notes a broken promise.
func (w *world) find(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.findings = append(w.findings, fmt.Sprintf(format, args...))
}

// runs counts the worlds of this process, so that each has addresses of its own.
var runs int

func newWorld(t *testing.T, seed uint64) *world {
	runs++
	w := &world{t: t, seed: seed, links: newLinks(), limits: newLimits(seed), pushback: newPushback(seed)}
	net := fmt.Sprintf("127.%d.%d", 64+(os.Getpid()+runs)>>8&63, (os.Getpid()+runs)&255)
	for i := range boxes {
		w.boxes = append(w.boxes, &daemon{w: w, ip: fmt.Sprintf("%s.%d", net, 10+i), folder: t.TempDir(), disk: i < disks})
	}
	for _, d := range w.boxes {
		w.listen(d)
	}
	for _, d := range w.boxes {
		d.write()
		d.start()
		t.Cleanup(d.kill)
	}
	for i := range servers {
		w.startServer(i)
	}
	return w
}

// listen opens the forwarder that the other boxes reach a box through.
func (w *world) listen(d *daemon) {
	l, err := net.Listen("tcp", d.front())
	if err != nil {
		w.t.Fatal(err)
	}
	w.t.Cleanup(func() { l.Close() })
	go w.links.forward(l, d.ip, d.ip+":7380")
}

// front is where the others reach the box.
func (d *daemon) front() string { return d.ip + ":7381" }

func (d *daemon) write() {
	var first, all []string
	for _, o := range d.w.boxes {
		if o.disk {
			first = append(first, o.ip)
			all = append(all, o.ip+"="+o.front())
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
%[7]s`, d.ip, roles, strings.Join(first, ","), strings.Join(all, ","), d.front(), orderPause, data)
	if err := os.WriteFile(filepath.Join(d.folder, "box.ini"), []byte(text), 0o600); err != nil {
		d.w.t.Fatal(err)
	}
}

// start starts the process and watches for an end that nobody asked for.
func (d *daemon) start() {
	log, err := os.OpenFile(filepath.Join(d.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		d.w.find("box %s: its log cannot be opened: %v", d.ip, err)
		return
	}
	defer log.Close()
	info, err := log.Stat()
	if err != nil {
		d.w.find("box %s: its log cannot be read: %v", d.ip, err)
		return
	}
	cmd := exec.Command(daemonPath, "run", filepath.Join(d.folder, "box.ini"))
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		d.w.find("box %s does not start: %v", d.ip, err)
		return
	}
	done := make(chan struct{})
	d.cmd, d.done, d.ends = cmd, done, false
	d.logged = info.Size()
	go func() {
		err := cmd.Wait()
		close(done)
		d.mu.Lock()
		defer d.mu.Unlock()
		if d.cmd == cmd && !d.ends {
			d.w.find("box %s ended by itself: %v", d.ip, err)
		}
	}()
}

// kill ends the process at once.
func (d *daemon) kill() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.killLocked()
}

func (d *daemon) killLocked() {
	if d.cmd == nil {
		return
	}
	d.ends = true
	_ = d.cmd.Process.Kill() // it may have ended
	<-d.done
}

// heeds waits until the process says that it heeds signals: before, no program can. Only
// its own lines count: one before it may have been killed before it wrote any.
func (d *daemon) heeds() {
	for range 500 {
		text, err := os.ReadFile(filepath.Join(d.folder, "log"))
		if err == nil && strings.Contains(string(text[d.logged:]), `"event":"starting"`) {
			return
		}
		select {
		case <-d.done:
			return
		case <-time.After(10 * time.Millisecond):
		}
	}
	d.w.find("box %s does not begin within 5 s", d.ip)
}

// stop is a planned stop within the grace time.
func (d *daemon) stop() {
	d.heeds()
	d.ends = true
	_ = d.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-d.done:
		if status := d.cmd.ProcessState.ExitCode(); status != 0 {
			d.w.find("box %s ended a planned stop with status %d", d.ip, status)
		}
	case <-time.After(grace):
		d.w.find("box %s still runs %v after SIGTERM", d.ip, grace)
		d.killLocked()
	}
}

// startServer starts the stand-in of a place under a new id.
func (w *world) startServer(place int) {
	s := &standin.Server{
		ID: fmt.Sprintf("i-%d-%d", place, time.Now().UnixNano()), Service: "s", Hall: "h", Memory: 220, AdapterSlots: 3, LoadTime: 200 * time.Millisecond,
		HeartbeatInterval: 300 * time.Millisecond, MinHolderGap: orderPause - 100*time.Millisecond, EventCount: events, EventDelay: 15 * time.Millisecond, ModelSizes: map[string]int{},
	}
	w.limits.begin(s.ID)
	s.ReportedLimit = func() string { return w.limits.of(s.ID) }
	s.RetryAfter = func(string) string { return w.pushback.turnAway(s.ID) }
	s.ControlRetryAfter = func() string { return w.pushback.turnAway(s.ID) }
	s.ReportsDraining = func() bool { return w.pushback.leaves(s.ID) }
	for _, d := range w.boxes {
		s.ControlAddresses = append(s.ControlAddresses, d.control())
	}
	for i := range models {
		s.ModelSizes[fmt.Sprint("m", i)] = 70
	}
	if err := s.Start(fmt.Sprint("m", place)); err != nil {
		w.find("a stand-in does not start: %v", err)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers = append(w.servers, s)
	w.t.Cleanup(s.Stop)
}

// liveServer returns the newest server of a place, nil before the first.
func (w *world) liveServer(place int) *standin.Server {
	w.mu.Lock()
	defer w.mu.Unlock()
	var newest *standin.Server
	for _, s := range w.servers {
		if strings.HasPrefix(s.ID, fmt.Sprintf("i-%d-", place)) {
			newest = s
		}
	}
	return newest
}
