package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"
)

// Exit codes of the script.
const (
	held   = 0
	broken = 1
	noRun  = 2
)

// Values of TROUBLE. Any other value plays all disruptions.
const (
	none      = "0"
	onlyFinal = "final" // only the freeze and the final fault, without the kill during the takeover of a snapshot
	emptyDisk = "disk"  // the voter has lost its disk, and takes the first snapshot over when it joins again
)

const (
	// limit bounds the whole script, lastTry the beginning of a try: what follows takes some 20 s, 85 s at most.
	limit   = 115 * time.Second
	lastTry = 30 * time.Second
)

func main() {
	root, out := os.Args[1], os.Args[2]
	os.Exit(run(root, out, os.Getenv("TROUBLE")))
}

func run(root, out, trouble string) int {
	file, err := os.Create(filepath.Join(out, "record.txt"))
	if err != nil {
		return noRun
	}
	defer file.Close()
	rec := &record{f: file, start: time.Now()}
	temp, err := os.MkdirTemp("", "review-4-")
	if err != nil {
		return noRun
	}
	defer os.RemoveAll(temp)
	ips := []string{"127.0.0.1", "127.0.0.2", "127.0.0.3"}
	p, err := freePorts(ips)
	if err != nil {
		rec.line("%v", err)
		return noRun
	}
	f := &fleet{root: root, temp: temp, ports: p, rec: rec}
	for _, ip := range ips {
		log, err := os.Create(filepath.Join(temp, ip+".log"))
		if err != nil {
			return noRun
		}
		f.boxes = append(f.boxes, &box{ip: ip, folder: filepath.Join(temp, ip+".data"), file: filepath.Join(temp, ip+".ini"), log: log})
	}
	defer f.stopAll()
	over := func(why string) {
		rec.line("the script ends: %s", why)
		f.stopAll()
		os.RemoveAll(temp)
		os.Exit(noRun)
	}
	defer time.AfterFunc(limit, func() { over("its time is over") }).Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() { over((<-signals).String()) }()
	for _, b := range f.boxes {
		if err := f.start(b, true); err != nil {
			rec.line("%v", err)
			return noRun
		}
	}
	c := &scenario{fleet: f, rec: rec, until: rec.start.Add(limit)}
	if !f.apply(1, c.until, f.boxes...) {
		rec.line("the first configuration was not acknowledged")
		return noRun
	}
	c.version = 1
	rec.line("version 1 acknowledged")
	return c.play(trouble)
}

// scenario is the order of events of case 4.
type scenario struct {
	*fleet
	rec     *record
	until   time.Time
	version int
}

// changes sends n changes, eight at once, to the given nodes.
func (c *scenario) changes(n int, nodes ...*box) {
	var wg sync.WaitGroup
	next := make(chan int)
	for w := range 8 {
		wg.Go(func() {
			for v := range next {
				c.apply(v, c.until, nodes[w%len(nodes)])
			}
		})
	}
	for range n {
		c.version++
		next <- c.version
	}
	close(next)
	wg.Wait()
}

// compacted sends changes until a box takes its next snapshot, and returns how many.
func (c *scenario) compacted(b *box, step int, nodes ...*box) (n int) {
	before := inode(b.folder, "snapshot")
	for ; inode(b.folder, "snapshot") == before && time.Now().Before(c.until); n += step {
		c.changes(step, nodes...)
	}
	return n
}

const (
	// compactAfter is the number of entries of the log after which a box takes a snapshot (docs/SETTINGS.md, compact-after). Each
	// change is an entry.
	compactAfter = 1024
	// margin is the number of entries before the next snapshot at which the voter is killed.
	margin = 40
	// catchUp is longer than catch_up_s.
	catchUp = 5 * time.Second
)

// play plays the disruptions: all of them, only the final one, or none.
func (c *scenario) play(trouble string) int {
	leader := c.leader()
	if leader == nil {
		c.rec.line("no box leads")
		return noRun
	}
	if trouble == none {
		c.changes(compactAfter+margin, c.boxes...)
		return c.end(nil, nil, nil)
	}
	for time.Since(c.rec.start) < lastTry {
		if trouble == emptyDisk {
			c.changes(margin, c.boxes...)
		} else {
			c.changes(compactAfter-margin, c.boxes...)
		}
		leader = c.leader()
		voter := c.boxes[(slices.Index(c.boxes, leader)+1)%3]
		third := c.boxes[(slices.Index(c.boxes, leader)+2)%3]
		if trouble == onlyFinal {
			c.changes(2*margin, c.boxes...)
			return c.end(voter, third, leader)
		}
		if !c.killInTakeover(leader, voter, third, trouble == emptyDisk) {
			time.Sleep(catchUp)
			continue
		}
		if err := c.start(voter, false); err != nil {
			return noRun
		}
		if !c.await(voter) {
			c.rec.line("%s does not answer after its restart", voter.ip)
			return noRun
		}
		time.Sleep(catchUp)
		c.changes(8, c.boxes...)
		leader = c.leader()
		for _, b := range c.boxes { // the third one neither leads nor was killed
			if b != voter && b != leader {
				third = b
			}
		}
		lost := c.boxes[3-slices.Index(c.boxes, voter)-slices.Index(c.boxes, third)]
		return c.end(voter, third, lost)
	}
	c.rec.line("no kill hit the time between the two writes")
	return noRun
}

// killInTakeover kills a voter, lets the others take a snapshot meanwhile, starts the voter again, and kills it while it takes the
// snapshot over. It reports whether the voter had replaced its snapshot but not yet its log. A voter that has lost its disk gets a
// snapshot without that.
func (c *scenario) killInTakeover(leader, voter, third *box, loseDisk bool) bool {
	c.kill(voter)
	killed := time.Now()
	if loseDisk {
		if err := os.RemoveAll(voter.folder); err != nil {
			return false
		}
		time.Sleep(time.Second)
		c.rec.line("%s has lost its disk", voter.ip)
	} else {
		n := c.compacted(leader, 8, leader, third)
		c.rec.line("%s took a snapshot after %d further changes, %.1f s after the kill", leader.ip, n, time.Since(killed).Seconds())
	}
	before, logs := inode(voter.folder, "snapshot"), segments(voter.folder)
	if err := c.start(voter, false); err != nil {
		return false
	}
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); {
		if inode(voter.folder, "snapshot") == before {
			continue
		}
		voter.signal(syscall.SIGKILL)
		<-voter.exited
		hit := slices.Equal(segments(voter.folder), logs) || slices.Equal(segments(voter.folder), []string{"log-1"})
		c.rec.line("SIGKILL %s while it takes over the snapshot; log files before %v, now %v", voter.ip, logs, segments(voter.folder))
		if !hit {
			_ = c.start(voter, false)
			c.await(voter)
		}
		return hit
	}
	c.rec.line("%s took no snapshot over", voter.ip)
	return false
}

// await waits until a box answers with the newest configuration.
func (c *scenario) await(b *box) bool {
	for deadline := time.Now().Add(15 * time.Second); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		if v := c.read(b); v >= c.version {
			c.rec.line("Config.Get at %s: version %d", b.ip, v)
			return true
		}
	}
	return false
}

// end makes one more change, has the final fault strike right after it was acknowledged, and reads the configuration back. Without
// boxes there is no fault.
func (c *scenario) end(voter, frozen, lost *box) int {
	if frozen != nil {
		frozen.signal(syscall.SIGSTOP)
		c.rec.line("SIGSTOP %s", frozen.ip)
	}
	c.version++
	at := c.boxes[0]
	if lost != nil {
		at = lost
	}
	if !c.apply(c.version, time.Now().Add(10*time.Second), at) {
		c.rec.line("version %d was not acknowledged", c.version)
		return noRun
	}
	c.rec.line("version %d acknowledged by %s", c.version, at.ip)
	if frozen != nil {
		for _, b := range c.boxes {
			b.signal(syscall.SIGKILL)
		}
		for _, b := range c.boxes {
			<-b.exited
		}
		if err := os.RemoveAll(lost.folder); err != nil {
			return noRun
		}
		c.rec.line("SIGKILL all; %s has lost its disk", lost.ip)
		time.Sleep(time.Second)
		for _, b := range c.boxes {
			if err := c.start(b, false); err != nil {
				return noRun
			}
		}
	}
	return c.readBack()
}

// readBack reads the configuration as the operator does at the end of a day, at any node and repeatedly, for longer than contact_ms.
func (c *scenario) readBack() int {
	newest, answers := 0, 0
	var first time.Time
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline) && (first.IsZero() || time.Since(first) < 5*time.Second); time.Sleep(200 * time.Millisecond) {
		for _, b := range c.boxes {
			v := c.read(b)
			if v == 0 {
				continue
			}
			if answers++; first.IsZero() {
				first = time.Now()
			}
			if v != newest {
				c.rec.line("Config.Get at %s: version %d", b.ip, v)
			}
			newest = max(newest, v)
		}
	}
	c.rec.line("%d answers to Config.Get; newest version read %d, newest acknowledged %d", answers, newest, c.version)
	if newest < c.version {
		fmt.Println("broken: LOST")
		return broken
	}
	fmt.Println("held")
	return held
}
