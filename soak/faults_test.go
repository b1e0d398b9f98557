package soak

import (
	"context"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// faultInjector injects a series of faults. Each fault runs on its own for its duration, so that faults overlap.
type faultInjector struct {
	h      *harness
	random *rand.Rand
	wg     sync.WaitGroup
	// lastWipe is when a disk was last lost. The next loss waits for catchUpTime, so that at most one box with a disk
	// has to catch up at a time.
	lastWipe time.Time
}

// faultKinds lists the faults with their weights. Each fault draws its random values before it starts, so that a seed gives
// the same series.
var faultKinds = []struct {
	name   string
	weight int
	begin  func(f *faultInjector)
}{
	{"kill", 4, (*faultInjector).kill},
	{"pause", 4, (*faultInjector).pause},
	{"planned stop", 3, (*faultInjector).stop},
	{"hang-up", 2, (*faultInjector).hangUp},
	{"kill all", 1, (*faultInjector).killAll},
	{"lose disk", 1, (*faultInjector).loseDisk},
	{"torn log", 2, (*faultInjector).tearLog},
	{"one-way stall", 3, (*faultInjector).stallOneWay},
	{"isolate", 2, (*faultInjector).isolate},
	{"delay", 2, (*faultInjector).slowLinks},
	{"reset", 3, (*faultInjector).resetConnections},
	{"server crash", 4, (*faultInjector).crashServer},
	{"drain server", 3, (*faultInjector).drainServer},
	{"delay orders", 2, (*faultInjector).delayOrders},
}

func (f *faultInjector) run(ctx context.Context) {
	total := 0
	for _, k := range faultKinds {
		total += k.weight
	}
	for ctx.Err() == nil {
		n := f.random.IntN(total)
		for _, k := range faultKinds {
			if n -= k.weight; n < 0 {
				f.h.t.Logf("%s fault: %s", time.Now().Format("05.000"), k.name)
				k.begin(f)
				break
			}
		}
		time.Sleep(time.Duration(50+f.random.IntN(900)) * time.Millisecond)
	}
	f.wg.Wait()
}

func (f *faultInjector) randomBox() *daemon { return f.h.boxes[f.random.IntN(boxCount)] }
func (f *faultInjector) duration() time.Duration {
	return time.Duration(100+f.random.IntN(3000)) * time.Millisecond
}
func (f *faultInjector) shortDuration() time.Duration {
	return time.Duration(f.random.IntN(300)) * time.Millisecond
}

// lockBox runs do in the background and keeps other faults away from the box meanwhile.
func (f *faultInjector) lockBox(d *daemon, do func()) {
	f.wg.Go(func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		defer f.h.limits.recordDisturbance(time.Now(), true, d)
		do()
	})
}

func (f *faultInjector) kill() {
	d, down := f.randomBox(), f.shortDuration()
	f.lockBox(d, func() {
		d.killLocked()
		time.Sleep(down)
		d.start()
	})
}

func (f *faultInjector) pause() {
	d, duration := f.randomBox(), f.duration()
	f.lockBox(d, func() {
		_ = d.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(duration)
		_ = d.cmd.Process.Signal(syscall.SIGCONT)
	})
}

func (f *faultInjector) stop() {
	d, down := f.randomBox(), f.shortDuration()
	f.lockBox(d, func() {
		d.stop()
		time.Sleep(down)
		d.start()
	})
}

func (f *faultInjector) hangUp() {
	d := f.randomBox()
	f.lockBox(d, func() {
		d.awaitSignalHandling()
		_ = d.cmd.Process.Signal(syscall.SIGHUP)
	})
}

func (f *faultInjector) killAll() {
	var wg sync.WaitGroup
	for _, d := range f.h.boxes {
		wg.Go(func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			defer f.h.limits.recordDisturbance(time.Now(), true, d)
			d.killLocked()
			d.start()
		})
	}
	f.wg.Go(wg.Wait)
}

// catchUpTime is how long a box has to catch up after the loss of its disk before another disk may be lost.
const catchUpTime = 8 * time.Second

func (f *faultInjector) loseDisk() {
	d := f.h.boxes[f.random.IntN(diskBoxCount)]
	if time.Since(f.lastWipe) < catchUpTime {
		return
	}
	f.lastWipe = time.Now()
	f.lockBox(d, func() {
		d.killLocked()
		if err := os.RemoveAll(filepath.Join(d.folder, "data")); err != nil {
			f.h.addFailure("cannot empty the disk of box %s: %v", d.ip, err)
		}
		d.start()
	})
}

// tearLog kills a box and appends random bytes to its log, as a torn write leaves them behind the last complete record.
func (f *faultInjector) tearLog() {
	d := f.h.boxes[f.random.IntN(diskBoxCount)]
	tail := make([]byte, 1+f.random.IntN(40))
	for i := range tail {
		tail[i] = byte(f.random.IntN(256))
	}
	f.lockBox(d, func() {
		d.killLocked()
		logs, _ := filepath.Glob(filepath.Join(d.folder, "data", "log*"))
		for _, path := range logs {
			appendTo(path, tail)
		}
		d.start()
	})
}

func appendTo(path string, tail []byte) {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return // the file was renamed in the meantime
	}
	defer file.Close()
	_, _ = file.Write(tail)
}

// disturbLinks stalls or delays the bytes from one box to another, for each pair, for a time.
func (f *faultInjector) disturbLinks(pairs [][2]*daemon, stalled bool, delay, duration time.Duration) {
	for _, pair := range pairs {
		f.h.links.set(pair[0].ip, pair[1].ip, stalled, delay)
	}
	start := time.Now()
	f.wg.Go(func() {
		time.Sleep(duration)
		for _, pair := range pairs {
			f.h.limits.recordDisturbance(start, false, pair[0], pair[1])
		}
		for _, pair := range pairs {
			f.h.links.set(pair[0].ip, pair[1].ip, false, 0)
		}
	})
}

func (f *faultInjector) stallOneWay() {
	from, to := f.randomBox(), f.randomBox()
	f.disturbLinks([][2]*daemon{{from, to}}, true, 0, f.duration())
}

func (f *faultInjector) isolate() {
	d, duration := f.randomBox(), f.duration()
	var pairs [][2]*daemon
	for _, o := range f.h.boxes {
		if o != d {
			pairs = append(pairs, [2]*daemon{d, o}, [2]*daemon{o, d})
		}
	}
	f.disturbLinks(pairs, true, 0, duration)
}

func (f *faultInjector) slowLinks() {
	d, delay, duration := f.randomBox(), f.shortDuration(), f.duration()
	var pairs [][2]*daemon
	for _, o := range f.h.boxes {
		pairs = append(pairs, [2]*daemon{o, d})
	}
	f.disturbLinks(pairs, false, delay, duration)
}

func (f *faultInjector) resetConnections() {
	d := f.randomBox()
	f.h.links.reset(d.ip)
	f.h.limits.recordDisturbance(time.Now(), false, d)
}

func (f *faultInjector) crashServer() {
	index, down := f.random.IntN(serverCount), f.duration()
	f.wg.Go(func() {
		if s := f.h.newestServer(index); s != nil {
			s.Stop()
		}
		time.Sleep(down)
		f.h.startServer(index)
	})
}

func (f *faultInjector) drainServer() {
	index := f.random.IntN(serverCount)
	f.wg.Go(func() {
		s := f.h.newestServer(index)
		if s == nil {
			return
		}
		s.Drain()
		time.Sleep(3 * time.Second)
		s.Stop()
		f.h.startServer(index)
	})
}

func (f *faultInjector) delayOrders() {
	index, duration := f.random.IntN(serverCount), f.duration()
	delays := rand.New(rand.NewPCG(f.random.Uint64(), 1))
	s := f.h.newestServer(index)
	if s == nil {
		return
	}
	var mu sync.Mutex // guards delays
	s.SetOrderDelay(func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if delays.IntN(2) == 0 {
			return time.Duration(50+delays.IntN(3000)) * time.Millisecond
		}
		return 0
	})
	f.wg.Go(func() {
		time.Sleep(duration)
		s.SetOrderDelay(nil)
	})
}
