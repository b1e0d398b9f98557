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

// faults injects one fault after another; each lasts for itself, so that they overlap.
type faults struct {
	w      *world
	random *rand.Rand
	wg     sync.WaitGroup
	// wiped is set while a box with a disk may still have to catch up: at most one
	// disk is lost at a time.
	wiped time.Time
}

// kinds are the faults; each draws what it needs before it begins, so that a seed
// gives the same series.
var kinds = []struct {
	name   string
	weight int
	begin  func(f *faults)
}{
	{"kill", 4, (*faults).kill},
	{"pause", 4, (*faults).pause},
	{"planned stop", 3, (*faults).stop},
	{"hang-up", 2, (*faults).hangUp},
	{"all killed", 1, (*faults).killAll},
	{"disk lost", 1, (*faults).wipe},
	{"torn log", 2, (*faults).tear},
	{"one way silent", 3, (*faults).oneWay},
	{"cut off", 2, (*faults).cutOff},
	{"delay", 2, (*faults).slowLinks},
	{"reset", 3, (*faults).reset},
	{"server crash", 4, (*faults).crash},
	{"server leaves", 3, (*faults).leave},
	{"late orders", 2, (*faults).late},
}

func (f *faults) run(ctx context.Context) {
	total := 0
	for _, k := range kinds {
		total += k.weight
	}
	for ctx.Err() == nil {
		n := f.random.IntN(total)
		for _, k := range kinds {
			if n -= k.weight; n < 0 {
				f.w.t.Logf("%s fault: %s", time.Now().Format("05.000"), k.name)
				k.begin(f)
				break
			}
		}
		time.Sleep(time.Duration(50+f.random.IntN(900)) * time.Millisecond)
	}
	f.wg.Wait()
}

func (f *faults) box() *daemon { return f.w.boxes[f.random.IntN(boxes)] }
func (f *faults) span() time.Duration {
	return time.Duration(100+f.random.IntN(3000)) * time.Millisecond
}
func (f *faults) brief() time.Duration { return time.Duration(f.random.IntN(300)) * time.Millisecond }

// hold keeps other faults off a box while do runs beside.
func (f *faults) hold(d *daemon, do func()) {
	f.wg.Go(func() {
		d.mu.Lock()
		defer d.mu.Unlock()
		defer f.w.limits.excuse(time.Now(), true, d)
		do()
	})
}

func (f *faults) kill() {
	d, down := f.box(), f.brief()
	f.hold(d, func() {
		d.killLocked()
		time.Sleep(down)
		d.start()
	})
}

func (f *faults) pause() {
	d, span := f.box(), f.span()
	f.hold(d, func() {
		_ = d.cmd.Process.Signal(syscall.SIGSTOP)
		time.Sleep(span)
		_ = d.cmd.Process.Signal(syscall.SIGCONT)
	})
}

func (f *faults) stop() {
	d, down := f.box(), f.brief()
	f.hold(d, func() {
		d.stop()
		time.Sleep(down)
		d.start()
	})
}

func (f *faults) hangUp() {
	d := f.box()
	f.hold(d, func() {
		d.heeds()
		_ = d.cmd.Process.Signal(syscall.SIGHUP)
	})
}

func (f *faults) killAll() {
	var wg sync.WaitGroup
	for _, d := range f.w.boxes {
		wg.Go(func() {
			d.mu.Lock()
			defer d.mu.Unlock()
			defer f.w.limits.excuse(time.Now(), true, d)
			d.killLocked()
			d.start()
		})
	}
	f.wg.Go(wg.Wait)
}

// catchUp is how long a box whose disk was lost has before another may lose its own.
const catchUp = 8 * time.Second

func (f *faults) wipe() {
	d := f.w.boxes[f.random.IntN(disks)]
	if time.Since(f.wiped) < catchUp {
		return
	}
	f.wiped = time.Now()
	f.hold(d, func() {
		d.killLocked()
		if err := os.RemoveAll(filepath.Join(d.folder, "data")); err != nil {
			f.w.find("the disk of %s cannot be emptied: %v", d.ip, err)
		}
		d.start()
	})
}

// tear kills a box in the middle of a write to its log: what a torn write leaves
// behind the last whole record is there at the next start.
func (f *faults) tear() {
	d := f.w.boxes[f.random.IntN(disks)]
	rest := make([]byte, 1+f.random.IntN(40))
	for i := range rest {
		rest[i] = byte(f.random.IntN(256))
	}
	f.hold(d, func() {
		d.killLocked()
		logs, _ := filepath.Glob(filepath.Join(d.folder, "data", "log*"))
		for _, path := range logs {
			appendTo(path, rest)
		}
		d.start()
	})
}

func appendTo(path string, rest []byte) {
	file, err := os.OpenFile(path, os.O_APPEND|os.O_WRONLY, 0)
	if err != nil {
		return // renamed meanwhile
	}
	defer file.Close()
	_, _ = file.Write(rest)
}

// between sets what happens to bytes from one box to another for a time.
func (f *faults) between(list [][2]*daemon, silent bool, delay, span time.Duration) {
	for _, pair := range list {
		f.w.links.set(pair[0].ip, pair[1].ip, silent, delay)
	}
	began := time.Now()
	f.wg.Go(func() {
		time.Sleep(span)
		for _, pair := range list {
			f.w.limits.excuse(began, false, pair[0], pair[1])
		}
		for _, pair := range list {
			f.w.links.set(pair[0].ip, pair[1].ip, false, 0)
		}
	})
}

func (f *faults) oneWay() {
	from, to := f.box(), f.box()
	f.between([][2]*daemon{{from, to}}, true, 0, f.span())
}

func (f *faults) cutOff() {
	d, span := f.box(), f.span()
	var list [][2]*daemon
	for _, o := range f.w.boxes {
		if o != d {
			list = append(list, [2]*daemon{d, o}, [2]*daemon{o, d})
		}
	}
	f.between(list, true, 0, span)
}

func (f *faults) slowLinks() {
	d, delay, span := f.box(), f.brief(), f.span()
	var list [][2]*daemon
	for _, o := range f.w.boxes {
		list = append(list, [2]*daemon{o, d})
	}
	f.between(list, false, delay, span)
}

func (f *faults) reset() {
	d := f.box()
	f.w.links.reset(d.ip)
	f.w.limits.excuse(time.Now(), false, d)
}

func (f *faults) crash() {
	place, down := f.random.IntN(servers), f.span()
	f.wg.Go(func() {
		if s := f.w.liveServer(place); s != nil {
			s.Stop()
		}
		time.Sleep(down)
		f.w.startServer(place)
	})
}

func (f *faults) leave() {
	place := f.random.IntN(servers)
	f.wg.Go(func() {
		s := f.w.liveServer(place)
		if s == nil {
			return
		}
		s.Drain()
		time.Sleep(3 * time.Second)
		s.Stop()
		f.w.startServer(place)
	})
}

func (f *faults) late() {
	place, span := f.random.IntN(servers), f.span()
	lateness := rand.New(rand.NewPCG(f.random.Uint64(), 1))
	s := f.w.liveServer(place)
	if s == nil {
		return
	}
	var mu sync.Mutex // of lateness
	s.SetOrderDelay(func() time.Duration {
		mu.Lock()
		defer mu.Unlock()
		if lateness.IntN(2) == 0 {
			return time.Duration(50+lateness.IntN(3000)) * time.Millisecond
		}
		return 0
	})
	f.wg.Go(func() {
		time.Sleep(span)
		s.SetOrderDelay(nil)
	})
}
