// Command boxes plays case 4 of the second review: three boxes as separate processes, and an operator that changes the
// configuration. See review/4/claim.txt.
package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// record writes what was sent, answered and done.
type record struct {
	mu    sync.Mutex
	f     *os.File
	start time.Time
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.f, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// box is one process of the system, on a loopback address of its own.
type box struct {
	ip     string
	folder string
	file   string // settings
	log    *os.File
	cmd    *exec.Cmd
	exited chan struct{}
}

// ports are the same on all machines.
type ports struct{ peer, operator, entry, ready, platform int }

type fleet struct {
	root, temp string
	ports      ports
	boxes      []*box
	rec        *record

	mu      sync.Mutex // guards stopped, and the start of processes
	stopped bool
}

// freePorts returns ports that are free on all three addresses.
func freePorts(ips []string) (p ports, err error) {
	for base := 20000 + os.Getpid()%20000; base < 60000; base += 10 {
		if allFree(ips, base) {
			return ports{base, base + 1, base + 2, base + 3, base + 4}, nil
		}
	}
	return ports{}, fmt.Errorf("no free ports")
}

func allFree(ips []string, base int) bool {
	for _, ip := range ips {
		for port := base; port < base+5; port++ {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				return false
			}
			l.Close()
		}
	}
	return true
}

// settings is deploy/box.ini, filled in as for a machine with a disk of a small deployment.
func (f *fleet) settings(b *box, first bool) string {
	p := f.ports
	var seeds []string
	for _, o := range f.boxes {
		seeds = append(seeds, fmt.Sprintf("%s:%d", o.ip, p.platform))
	}
	halls := []string{"walu-hall", "laucala-hall", "nabua-hall"}
	hall := ""
	for i, o := range f.boxes {
		if o == b {
			hall = halls[i]
		}
	}
	return fmt.Sprintf(`[box]
name = %[1]s
hall = %[2]s
regions = walu-hall=suva,laucala-hall=suva,nabua-hall=suva
roles = control,entry
[cluster]
name = leverdrum
seeds = %[3]s
form = %[4]v
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
grace = 8s
[operator]
listen = %[1]s:%[8]d
platform-listen = %[1]s:%[9]d
accept-wait = 600ms
accept-most = 2000ms
[data]
folder = %[10]s
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
`, b.ip, hall, strings.Join(seeds, ","), first, p.peer, p.entry, p.ready, p.operator, p.platform, b.folder)
}

// start starts a box with the command of the deploy file.
func (f *fleet) start(b *box, first bool) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopped {
		return errors.New("the script is over")
	}
	if err := os.WriteFile(b.file, []byte(f.settings(b, first)), 0o600); err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(f.root, "target", "leverdrumd"), "run", "-settings-variable", "LEVERDRUM_SETTINGS")
	cmd.Dir = f.root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "LEVERDRUM_SETTINGS=" + b.file}
	cmd.Stdout, cmd.Stderr = b.log, b.log
	if err := cmd.Start(); err != nil {
		return err
	}
	b.cmd, b.exited = cmd, make(chan struct{})
	exited := b.exited
	go func() { _ = cmd.Wait(); close(exited) }()
	f.rec.line("start %s (bootstrap %v)", b.ip, first)
	return nil
}

func (b *box) signal(s syscall.Signal) { _ = b.cmd.Process.Signal(s) }

// kill ends a box with SIGKILL and waits for its end.
func (f *fleet) kill(b *box) {
	b.signal(syscall.SIGKILL)
	<-b.exited
	f.rec.line("SIGKILL %s", b.ip)
}

// stopAll ends all boxes. None is started after it.
func (f *fleet) stopAll() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopped = true
	for _, b := range f.boxes {
		if b.cmd != nil {
			b.signal(syscall.SIGKILL)
			<-b.exited
		}
	}
}

// leader returns the box whose log says last that it leads.
func (f *fleet) leader() *box {
	for range 100 {
		var newest *box
		at := ""
		for _, b := range f.boxes {
			data, _ := os.ReadFile(b.log.Name())
			leads, ts := false, ""
			for line := range strings.SplitSeq(string(data), "\n") {
				if !strings.Contains(line, `"leads":`) {
					continue
				}
				var e struct {
					Leads bool   `json:"leads"`
					TS    string `json:"ts"`
				}
				if json.Unmarshal([]byte(line), &e) == nil {
					leads, ts = e.Leads, e.TS
				}
			}
			if leads && ts > at {
				newest, at = b, ts
			}
		}
		if newest != nil {
			return newest
		}
		time.Sleep(50 * time.Millisecond)
	}
	return nil
}

var client = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: false, MaxIdleConnsPerHost: 8}}

func config(version int) []byte {
	c := map[string]any{
		"version": version,
		"routes": []any{map[string]any{
			"name": "r-gate", "hostname": "ficu95.example", "path_prefix": "/puxa403/", "route_type": "safe", "timeout_ms": 600 + version%7,
			"target_latency_ms": 100, "priority": 2, "backend": "wuno96b", "max_attempts": 2,
		}},
		"backends": []any{map[string]any{"name": "wuno96b", "health_check_path": "/health", "max_connections": 130, "protocol": "h1", "tls": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
	text, _ := json.Marshal(c)
	return text
}

// replace sends a change to one node and reports whether it was acknowledged.
func (f *fleet) replace(b *box, version int) bool {
	resp, err := client.Post(fmt.Sprintf("http://%s:%d/Config.Replace", b.ip, f.ports.platform), "application/json", bytes.NewReader(config(version)))
	if err != nil {
		f.rec.line("Config.Replace version %d at %s: %v", version, b.ip, err)
		return false
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	if resp.StatusCode != http.StatusOK {
		f.rec.line("Config.Replace version %d at %s: %d", version, b.ip, resp.StatusCode)
	}
	return resp.StatusCode == http.StatusOK
}

// apply sends a change again and again, to the given nodes in turn, until it is acknowledged.
func (f *fleet) apply(version int, until time.Time, nodes ...*box) bool {
	for n := 0; time.Now().Before(until); n++ {
		if f.replace(nodes[n%len(nodes)], version) {
			return true
		}
		time.Sleep(100 * time.Millisecond)
	}
	return false
}

// read reads the configuration at one node and returns its version, 0 if there was no 200.
func (f *fleet) read(b *box) int {
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/Config.Get", b.ip, f.ports.platform))
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var c struct{ Version int }
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&c) != nil {
		return 0
	}
	return c.Version
}

// inode identifies a file of a data folder; 0 if it is missing.
func inode(folder, name string) uint64 {
	var st syscall.Stat_t
	if syscall.Stat(filepath.Join(folder, name), &st) != nil {
		return 0
	}
	return st.Ino
}

// segments lists the log files of a data folder.
func segments(folder string) (names []string) {
	list, _ := os.ReadDir(folder)
	for _, e := range list {
		if strings.HasPrefix(e.Name(), "log-") && !strings.HasSuffix(e.Name(), ".new") {
			names = append(names, e.Name())
		}
	}
	return names
}
