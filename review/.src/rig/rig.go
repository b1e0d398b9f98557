// Package rig starts the project's own boxes as separate processes on loopback addresses, with settings like those of a
// small deployment, and stand-ins for the operator, the clients and the backend servers around them.
package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Rig is a fleet of boxes and its surroundings.
type Rig struct {
	Folder string // temporary; removed by Close
	Began  time.Time

	mu     sync.Mutex
	record *os.File
	procs  map[*exec.Cmd]chan struct{}
	boxes  []*exec.Cmd
	ports  ports
}

// ports are alike on all boxes.
type ports struct{ peer, operator, entry, ready, control int }

// Boxes is the number of boxes at the first start; box i has the address 127.0.0.(i+1). Successor is the box that may take the
// place of one that is gone for good, at another address.
const (
	Boxes     = 3
	Successor = 3
	addresses = 4
)

// Processes are started with Pdeathsig, which refers to the thread that starts them: the main goroutine keeps its own.
func init() { runtime.LockOSThread() }

var halls = []string{"walu-hall", "laucala-hall", "nabua-hall", "nabua-hall"}

// Hall returns the data hall of a box.
func Hall(i int) string { return halls[i] }

// IP returns the address of a box.
func IP(i int) string { return fmt.Sprintf("127.0.0.%d", i+1) }

// New returns a Rig that writes its record to a file.
func New(record string) (*Rig, error) {
	folder, err := os.MkdirTemp("", "leverdrum-review-")
	if err != nil {
		return nil, err
	}
	f, err := os.Create(record)
	if err != nil {
		return nil, err
	}
	r := &Rig{Folder: folder, Began: time.Now(), record: f, procs: map[*exec.Cmd]chan struct{}{}, boxes: make([]*exec.Cmd, addresses)}
	for _, p := range []*int{&r.ports.peer, &r.ports.operator, &r.ports.entry, &r.ports.ready, &r.ports.control} {
		if *p, err = freePort(); err != nil {
			return nil, err
		}
	}
	return r, nil
}

// taken are the ports that were handed out.
var taken = map[int]bool{}

// freePort returns a port that is free on the addresses of all boxes.
func freePort() (int, error) {
	for range 200 {
		l, err := net.Listen("tcp", IP(0)+":0")
		if err != nil {
			return 0, err
		}
		port := l.Addr().(*net.TCPAddr).Port
		free := !taken[port]
		for i := 1; i < addresses; i++ {
			other, err := net.Listen("tcp", fmt.Sprintf("%s:%d", IP(i), port))
			if err != nil {
				free = false
				continue
			}
			other.Close()
		}
		l.Close()
		if free {
			taken[port] = true
			return port, nil
		}
	}
	return 0, fmt.Errorf("no port is free on all addresses")
}

// Note writes a line to the record, with the seconds since the start.
func (r *Rig) Note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.record, "%9.3f  %s\n", time.Since(r.Began).Seconds(), fmt.Sprintf(format, args...))
}

// Close ends all processes that were started and removes the temporary folder.
func (r *Rig) Close() {
	r.mu.Lock()
	var ended []chan struct{}
	for c, done := range r.procs {
		_ = c.Process.Kill() // it may have ended by itself
		ended = append(ended, done)
	}
	r.mu.Unlock()
	for _, done := range ended {
		<-done
	}
	os.RemoveAll(r.Folder)
	r.record.Close()
}

// Start starts a process and waits for its end in the background. Its output goes to a file of the temporary folder. It
// must be called by the main goroutine.
func (r *Rig) Start(name string, env []string, program string, args ...string) (*exec.Cmd, error) {
	out, err := os.OpenFile(filepath.Join(r.Folder, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	c := exec.Command(program, args...)
	c.Env = append([]string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}, env...)
	c.Stdout, c.Stderr = out, out
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return nil, err
	}
	done := make(chan struct{})
	r.mu.Lock()
	r.procs[c] = done
	r.mu.Unlock()
	go func() {
		err := c.Wait()
		r.Note("%s (process %d) has ended: %v", name, c.Process.Pid, err)
		out.Close()
		r.mu.Lock()
		delete(r.procs, c)
		r.mu.Unlock()
		close(done)
	}()
	return c, nil
}

// Wait waits until a process has ended.
func (r *Rig) Wait(c *exec.Cmd) {
	r.mu.Lock()
	done := r.procs[c]
	r.mu.Unlock()
	if done != nil {
		<-done
	}
}

// settings is deploy/box.ini as the platform fills it in.
const settings = `[box]
name = %[1]s
hall = %[2]s
regions = walu-hall=suva,laucala-hall=suva,nabua-hall=suva
roles = control,entry

[cluster]
name = leverdrum
seeds = 127.0.0.1:%[3]d,127.0.0.2:%[3]d,127.0.0.3:%[3]d
form = %[4]t
tolerate = 1
voters-need-disks = true

[peer]
listen = %[1]s:%[5]d
plain-text = anywhere

[entry]
listen = %[1]s:%[6]d
dialect = platform
ready-listen = %[1]s:%[7]d
parting = 2000ms
balancer-lag = 3s
stop-timeout = 4500ms

[operator]
listen = %[1]s:%[8]d
platform-listen = %[1]s:%[3]d
accept-wait = 600ms
accept-most = 2000ms

[data]
folder = %[9]s
limit = 64MB

[orders]
pause = 3000ms
demand-settles = 1500ms

[budget]
ratio = 0.2
slack = 62
window = 10s

[quotas]
window = 8s

[load]
share = auto

[limits]
memory = 284MB
link = 1000.0

[timing]
config-lease = 1h

[log]
level = info
`

// StartBox starts a box with the command of the deploy file. bootstrap is true only at the first start of the whole system.
func (r *Rig) StartBox(i int, bootstrap bool) error {
	name := fmt.Sprintf("box%d", i+1)
	data := filepath.Join(r.Folder, name+".data")
	if err := os.MkdirAll(data, 0o700); err != nil {
		return err
	}
	file := filepath.Join(r.Folder, name+".ini")
	text := fmt.Sprintf(settings, IP(i), halls[i], r.ports.control, bootstrap, r.ports.peer, r.ports.entry, r.ports.ready, r.ports.operator, data)
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	c, err := r.Start(name, []string{"LEVERDRUM_SETTINGS=" + file}, "target/leverdrumd", "run", "-settings-variable", "LEVERDRUM_SETTINGS")
	if err != nil {
		return err
	}
	r.boxes[i] = c
	r.Note("%s started (process %d, bootstrap %t)", name, c.Process.Pid, bootstrap)
	return nil
}

// SignalBox sends a signal to a box; after SIGKILL it returns once the box has ended.
func (r *Rig) SignalBox(i int, s syscall.Signal) error {
	r.Note("box%d gets %v", i+1, s)
	if err := r.boxes[i].Process.Signal(s); err != nil {
		return err
	}
	if s == syscall.SIGKILL {
		r.Wait(r.boxes[i])
	}
	return nil
}

// Control returns the control_plane address of a box, Entry its frontend address.
func (r *Rig) Control(i int) string { return fmt.Sprintf("%s:%d", IP(i), r.ports.control) }
func (r *Rig) Entry(i int) string   { return fmt.Sprintf("%s:%d", IP(i), r.ports.entry) }

// First lists the boxes of the first start.
func First() []int { return []int{0, 1, 2} }

// Controls lists the control_plane addresses.
func (r *Rig) Controls() (list []string) {
	for i := range Boxes {
		list = append(list, r.Control(i))
	}
	return list
}

var operator = &http.Client{Timeout: time.Second}

// IsReady asks a box whether it is ready.
func (r *Rig) IsReady(i int) bool {
	resp, err := operator.Get(fmt.Sprintf("http://%s:%d/ready", IP(i), r.ports.ready))
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Replace sends a configuration as the operator does: to one box after another until it is acknowledged, or the context ends.
// boxes returns the operator's list of boxes.
func (r *Rig) Replace(ctx context.Context, config any, boxes func() []int) error {
	text, err := json.Marshal(config)
	if err != nil {
		return err
	}
	pause := 100 * time.Millisecond
	for n := 0; ; n++ {
		list := boxes()
		box := list[n%len(list)]
		status, err := r.replaceOnce(ctx, box, text)
		switch {
		case err == nil && status == http.StatusOK:
			r.Note("operator: box%d acknowledged the configuration", box+1)
			return nil
		case err == nil && status/100 == 4 && status != http.StatusRequestTimeout && status != http.StatusTooManyRequests:
			return fmt.Errorf("box%d refused the configuration with %d", box+1, status)
		}
		r.Note("operator: box%d did not acknowledge the configuration: status %d, %v", box+1, status, err)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pause):
		}
		pause = min(2*pause, time.Second)
	}
}

func (r *Rig) replaceOnce(ctx context.Context, box int, text []byte) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.Control(box)+"/Config.Replace", bytes.NewReader(text))
	if err != nil {
		return 0, err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body) // only the status counts
	return resp.StatusCode, nil
}

// AwaitReady waits until all boxes are ready.
func (r *Rig) AwaitReady(within time.Duration) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for i := range Boxes {
			if r.IsReady(i) {
				ready++
			}
		}
		if ready == Boxes {
			r.Note("all boxes are ready")
			return nil
		}
	}
	return fmt.Errorf("not all boxes are ready within %v", within)
}

// Server is a backend server in a process of its own.
type Server struct {
	ID      string
	Address string
	Cmd     *exec.Cmd
	Runs    string // file with a line for each event of a run
}

// StartServer starts the stand-in target/review-stand as a backend server, which registers itself.
func (r *Rig) StartServer(id, hall string, args ...string) (*Server, error) {
	port, err := freePort()
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, Address: fmt.Sprintf("127.0.0.1:%d", port), Runs: filepath.Join(r.Folder, id+".runs")}
	all := append([]string{"-id", id, "-zone", hall, "-address", s.Address, "-control", strings.Join(r.Controls(), ","), "-runs", s.Runs}, args...)
	if s.Cmd, err = r.Start("server-"+id, nil, "target/review-stand", all...); err != nil {
		return nil, err
	}
	r.Note("server %s started at %s (process %d)", id, s.Address, s.Cmd.Process.Pid)
	return s, nil
}

// Exit status of a case: held, broken, or that it could not run.
const (
	Held = iota
	Broken
	CouldNotRun
)

// WithTrouble reports whether the case is to run with its disruption.
func WithTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// Finish notes and prints the result, ends all processes and exits.
func (r *Rig) Finish(status int, format string, args ...any) {
	text := [...]string{"HELD", "BROKEN", "COULD NOT RUN"}[status] + ": " + fmt.Sprintf(format, args...)
	r.Note("%s", text)
	fmt.Println(text)
	r.Close()
	os.Exit(status)
}

// Kill crashes a server.
func (r *Rig) Kill(s *Server) {
	r.Note("server %s crashes (SIGKILL)", s.ID)
	_ = s.Cmd.Process.Kill()
	r.Wait(s.Cmd)
}

// RunLines returns what a server noted of its runs.
func (s *Server) RunLines() []string {
	text, _ := os.ReadFile(s.Runs) // a server that ran nothing has no file
	return strings.FieldsFunc(string(text), func(c rune) bool { return c == '\n' })
}
