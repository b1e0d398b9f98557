package soak

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"leverdrum/platform/standin"
)

const (
	versionBoxes   = boxCount // some without a disk
	versionServers = 3        // of each version
	versionStreams = 300
	// minResumedSingle is the share of resumed streams of a service of a single version that must be served.
	minResumedSingle = 0.95
	// resumeAfterRestart is the time from the start of all boxes to the requests that resume streams.
	resumeAfterRestart = time.Second
	// replacementTime is well above the time in which servers announce themselves.
	replacementTime = time.Second
)

// versionRun has streams that break off when all boxes are killed.
type versionRun struct {
	h       *harness
	servers []*standin.Server
	started int
}

// brokenStream is a stream that broke off.
type brokenStream struct{ id, last, version string }

// startVersion starts servers of a version, under the names of the given ones that have stopped, if any.
func (r *versionRun) startVersion(version string, names ...string) {
	for i := range versionServers {
		r.started++
		name := fmt.Sprintf("v-%d", r.started)
		if len(names) > 0 {
			name = names[i]
		}
		s := &standin.Server{
			ID: name, Version: version, Service: "s", Hall: "h", Memory: 220, LoadTime: 200 * time.Millisecond, StartedAt: uint64(time.Now().UnixMilli()),
			HeartbeatInterval: 300 * time.Millisecond, EventCount: eventCount, EventDelay: 200 * time.Millisecond, ModelSizes: map[string]int{"m0": 70},
		}
		for _, d := range r.h.boxes {
			s.ControlAddresses = append(s.ControlAddresses, d.control())
		}
		if err := s.Start("m0"); err != nil {
			r.h.t.Fatal(err)
		}
		r.h.t.Cleanup(s.Stop)
		r.servers = append(r.servers, s)
	}
}

// versionOfServer returns the version of the running server with an ID.
func (r *versionRun) versionOfServer(id string) string {
	for i := len(r.servers) - 1; i >= 0; i-- {
		if r.servers[i].ID == id {
			return r.servers[i].Version
		}
	}
	return ""
}

// stream requests a stream at box n, from after an event if last is not "", and reads events until it has read a number of them or the
// stream ends. It returns the status, the last event and the servers that sent events.
func (r *versionRun) stream(n int, id, resumes, last string, events int) (status int, newLast string, servers []string) {
	ctx, cancel := context.WithTimeout(r.h.t.Context(), 6*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.h.boxes[n%len(r.h.boxes)].entry()+"/resumable/x", strings.NewReader(id))
	if err != nil {
		return 0, last, nil
	}
	req.Host = "h.example"
	for k, v := range map[string]string{"Leverdrum-Request-Id": id, "Leverdrum-Deadline-Ms": "5000", "Leverdrum-Model": "m0", "Resumes": resumes, "Last-Event-Id": last} {
		if v != "" {
			req.Header.Set(k, v)
		}
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, last, nil
	}
	defer resp.Body.Close()
	lines := bufio.NewScanner(resp.Body)
	for len(servers) < events && lines.Scan() {
		if text, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			last = text
		}
		if text, ok := strings.CutPrefix(lines.Text(), "data: "); ok {
			servers = append(servers, text)
		}
	}
	return resp.StatusCode, last, servers
}

// begin begins streams and reads the first event of each.
func (r *versionRun) begin() []brokenStream { return r.beginAt(len(r.h.boxes)) }

// beginAt is begin at the first boxes.
func (r *versionRun) beginAt(boxes int) (list []brokenStream) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for n := range versionStreams {
		wg.Go(func() {
			id := fmt.Sprintf("b%d-%d", r.h.seed, n)
			_, last, servers := r.stream(n%boxes, id, "", "", 1)
			if len(servers) == 0 {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			list = append(list, brokenStream{id, last, r.versionOfServer(servers[0])})
		})
	}
	wg.Wait()
	return list
}

// resume resumes streams at other boxes. It returns how many were served and joined from two versions.
func (r *versionRun) resume(list []brokenStream) (served, joined int) {
	return r.resumeAt(list, 0, len(r.h.boxes))
}

// resumeAt is resume at the boxes from first to end.
func (r *versionRun) resumeAt(list []brokenStream, first, end int) (served, joined int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	for n, b := range list {
		wg.Go(func() {
			status, _, servers := r.stream(first+(n+1)%(end-first), "resume-"+b.id, b.id, b.last, 1)
			mu.Lock()
			defer mu.Unlock()
			if status == http.StatusOK && len(servers) > 0 {
				served++
				if r.versionOfServer(servers[0]) != b.version {
					joined++
				}
			}
		})
	}
	wg.Wait()
	return served, joined
}

// killAll kills all boxes at once and starts them again.
func (r *versionRun) killAll() {
	var wg sync.WaitGroup
	for _, d := range r.h.boxes {
		wg.Go(d.kill)
	}
	wg.Wait()
	for _, d := range r.h.boxes {
		d.mu.Lock()
		d.start()
		d.mu.Unlock()
	}
}

// Guards against streams that are joined from two software versions after all boxes were killed, and against streams of services of
// a single version that are rejected then.
func TestStreamsResumeAfterTheLossOfAllBoxes(t *testing.T) {
	for _, c := range []struct {
		name     string
		versions []string
		replaced string // the version that replaces them just before the boxes are killed, if any
		minimum  float64
	}{
		{"a single version", []string{"v1"}, "", minResumedSingle},
		{"two versions", []string{"v1", "v2"}, "", 0},
		{"just replaced", []string{"v1"}, "v2", 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &versionRun{h: newBoxes(t, fixedSeed, versionBoxes, "")}
			for _, v := range c.versions {
				r.startVersion(v)
			}
			r.h.eventually("acknowledgement of the configuration", (&endRun{h: r.h}).apply)
			for i, d := range r.h.boxes {
				r.h.eventually("box "+d.ip+" serves", func() bool {
					status, _, _ := r.stream(i, fmt.Sprint("probe-", i), "", "", 1)
					return status == http.StatusOK
				})
			}
			begun := r.begin()
			if c.replaced != "" {
				r.replace(c.replaced)
			}
			r.killAll()
			time.Sleep(resumeAfterRestart)
			served, joined := r.resume(begun)
			t.Logf("%d streams begun, %d resumed, %d joined", len(begun), served, joined)
			if len(begun) < versionStreams*9/10 {
				r.h.addFailure("only %d streams began", len(begun))
			}
			if joined > 0 {
				r.h.addFailure("%d of %d streams are joined from two versions", joined, len(begun))
			}
			if float64(served) < c.minimum*float64(len(begun)) {
				r.h.addFailure("%d of %d streams of a single version were resumed", served, len(begun))
			}
			r.h.reportFailures()
		})
	}
}

// replace starts the servers again under their names as another version, then others, so that the disks have more than the replacement
// as the newest entry. It waits until each box has sent a request to one.
func (r *versionRun) replace(version string) {
	var names []string
	for _, s := range r.servers {
		s.Stop()
		names = append(names, s.ID)
	}
	r.startVersion(version, names...)
	time.Sleep(replacementTime)
	r.startVersion(version)
	time.Sleep(replacementTime)
	for i, d := range r.h.boxes {
		r.h.eventually("box "+d.ip+" serves again", func() bool {
			status, _, _ := r.stream(i, fmt.Sprint("again-", i), "", "", 1)
			return status == http.StatusOK
		})
	}
}

const (
	// outOfStepBoxes is the number of boxes, the last ones, that do not learn of a new version.
	outOfStepBoxes = 2
	// joinTime is the time after which the other boxes use new servers.
	joinTime = 1500 * time.Millisecond
	// outOfStepTime is how long streams that are resumed wait until the box is in step again.
	outOfStepTime = 300 * time.Millisecond
)

// setCutOff cuts the last boxes off from all others, or connects them.
func (r *versionRun) setCutOff(cutOff bool) {
	first := len(r.h.boxes) - outOfStepBoxes
	for _, far := range r.h.boxes[first:] {
		for _, near := range r.h.boxes[:first] {
			r.h.links.set(far.ip, near.ip, cutOff, 0)
			r.h.links.set(near.ip, far.ip, cutOff, 0)
		}
	}
}

// setFrozen stops the last boxes, or continues them.
func (r *versionRun) setFrozen(frozen bool) {
	signal := syscall.SIGCONT
	if frozen {
		signal = syscall.SIGSTOP
	}
	for _, d := range r.h.boxes[len(r.h.boxes)-outOfStepBoxes:] {
		if err := d.cmd.Process.Signal(signal); err != nil {
			r.h.addFailure("box %s: %v", d.ip, err)
		}
	}
}

// Guards against streams that go on at the only version that two boxes know, while they are cut off from the others or have just
// been continued, although servers of a newer version had begun them (ORDER).
func TestStreamsResumeAtBoxesOutOfStep(t *testing.T) {
	for _, c := range []struct {
		name string
		set  func(r *versionRun, outOfStep bool)
		wait time.Duration // from the first resumed stream until the boxes are in step
	}{
		{"cut off", (*versionRun).setCutOff, outOfStepTime},
		{"frozen", (*versionRun).setFrozen, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := &versionRun{h: newBoxes(t, fixedSeed, boxCount, "")}
			r.startVersion("v1")
			r.h.eventually("acknowledgement of the configuration", (&endRun{h: r.h}).apply)
			for i, d := range r.h.boxes {
				r.h.eventually("box "+d.ip+" serves", func() bool {
					status, _, _ := r.stream(i, fmt.Sprint("probe-", i), "", "", 1)
					return status == http.StatusOK
				})
			}
			c.set(r, true)
			r.startVersion("v2")
			time.Sleep(joinTime)
			first := boxCount - outOfStepBoxes
			begun := r.beginAt(first)
			time.AfterFunc(c.wait, func() { c.set(r, false) })
			served, joined := r.resumeAt(begun, first, boxCount)
			newer := 0
			for _, b := range begun {
				if b.version == "v2" {
					newer++
				}
			}
			t.Logf("%d streams begun, %d of them at v2; %d resumed, %d joined", len(begun), newer, served, joined)
			if newer < len(begun)/4 {
				r.h.addFailure("only %d of %d streams began at the new version", newer, len(begun))
			}
			if joined > 0 {
				r.h.addFailure("%d of %d streams are joined from two versions", joined, len(begun))
			}
			if float64(served) < minResumedSingle*float64(len(begun)) {
				r.h.addFailure("%d of %d streams were resumed", served, len(begun))
			}
			r.h.reportFailures()
		})
	}
}
