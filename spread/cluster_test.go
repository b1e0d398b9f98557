package spread_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"leverdrum/consensus"
	files "leverdrum/fleet"
	"leverdrum/replica"
	"leverdrum/spread"
	"leverdrum/state"
	"leverdrum/wal"
	"leverdrum/wire"
)

// disk keeps what a voter made durable over the ends of its processes.
type disk struct {
	mu     sync.Mutex
	loaded wal.Loaded
}

// mount is a process's way to its disk; what comes behind its end is not kept.
type mount struct {
	disk *disk
	proc *process
	slow time.Duration // of each batch
}

func (m mount) Append(b *wire.Batch) error {
	time.Sleep(m.slow)
	if m.proc.ended() {
		return nil
	}
	d := m.disk
	d.mu.Lock()
	defer d.mu.Unlock()
	if b.HardState != nil {
		d.loaded.Hard = b.HardState
	}
	if len(b.Entries) > 0 {
		first := b.Entries[0].Index
		kept := slices.DeleteFunc(slices.Clone(d.loaded.Entries), func(e *wire.Entry) bool { return e.Index >= first })
		d.loaded.Entries = append(kept, b.Entries...)
	}
	d.loaded.Agreed = max(d.loaded.Agreed, b.Agreed)
	return nil
}

func (m mount) SaveSnapshot(s *wire.Snapshot, hard *wire.HardState, tail []*wire.Entry) error {
	if m.proc.ended() {
		return nil
	}
	m.disk.mu.Lock()
	defer m.disk.mu.Unlock()
	m.disk.loaded = wal.Loaded{Hard: hard, Snapshot: s, Entries: tail, Agreed: s.Index}
	return nil
}

func (mount) Reload() error          { return nil }
func (mount) HasCapacity(int64) bool { return true }

func (m mount) Loaded() wal.Loaded {
	m.disk.mu.Lock()
	defer m.disk.mu.Unlock()
	return m.disk.loaded
}

// process is one run of a box.
type process struct {
	self    *wire.Member
	began   time.Time
	ctx     context.Context
	cancel  context.CancelFunc
	replica *replica.Replica
	spread  *spread.Distributor
}

func (p *process) ended() bool { return p.ctx.Err() != nil }

// file is an acknowledged one.
type file struct {
	number uint64
	at     time.Time
}

// cluster is boxes that fail, come back and are cut off, in simulated time.
type cluster struct {
	t       *testing.T
	lease   time.Duration // of the configuration
	slow    time.Duration // each write to a disk
	running sync.WaitGroup

	mu       sync.Mutex
	rng      *rand.Rand
	runs     int
	members  []*wire.Member // of the first processes
	disks    map[string]*disk
	procs    map[string]*process // running, by box
	cut      map[string]bool     // boxes of one side
	number   uint64
	accepted []file
	broken   string
	checked  int // times that a box said current
}

func (c *cluster) draw(most time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.rng.Int64N(int64(most) + 1))
}

// process returns the one that runs on a box, nil where from cannot reach it.
func (c *cluster) process(from, box string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.cut[from] != c.cut[box] {
		return nil
	}
	return c.procs[box]
}

// link is what a process's questions go over.
type link struct {
	c    *cluster
	from *process
}

const maxDelay = 30 * time.Millisecond

func (l link) Call(ctx context.Context, box string, r *wire.Request) (*wire.Response, error) {
	time.Sleep(l.c.draw(maxDelay))
	to := l.c.process(l.from.self.Box, box)
	if to == nil {
		<-ctx.Done()
		return nil, errCut
	}
	response, err := answerOf(ctx, to, l.from.self, r)
	if err != nil {
		return nil, err
	}
	time.Sleep(l.c.draw(maxDelay))
	if to.ended() || l.c.process(l.from.self.Box, box) != to || ctx.Err() != nil {
		<-ctx.Done()
		return nil, errCut
	}
	return response, nil
}

func (l link) Fetch(ctx context.Context, box string, r *wire.Request, quiet time.Duration) (*wire.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, quiet)
	defer cancel()
	return l.Call(ctx, box, r)
}

func answerOf(ctx context.Context, to *process, from *wire.Member, r *wire.Request) (*wire.Response, error) {
	if r.GetProbe() != nil {
		return &wire.Response{Kind: &wire.Response_Probe{Probe: to.spread.AnswerProbe()}}, nil
	}
	u, err := to.spread.AnswerFollow(ctx, from, r.GetFollow())
	return &wire.Response{Kind: &wire.Response_Follow{Follow: u}}, err
}

func newHistory(t *testing.T, seed uint64, lease, slow time.Duration, disks, others int) *cluster {
	c := &cluster{
		t: t, lease: lease, slow: slow, rng: rand.New(rand.NewPCG(seed, 1)), disks: map[string]*disk{}, procs: map[string]*process{}, cut: map[string]bool{},
	}
	var voters []string
	for i := range disks + others {
		m := &wire.Member{Box: fmt.Sprintf("b%d", i), Incarnation: "first", Hall: fmt.Sprint("h", i%2), Disk: i < disks}
		c.members = append(c.members, m)
		if m.Disk {
			voters = append(voters, state.MemberID(m))
		}
	}
	for _, m := range c.members {
		if m.Disk {
			c.disks[m.Box] = &disk{loaded: wal.Loaded{Hard: &wire.HardState{Term: 1}, Snapshot: &wire.Snapshot{Index: 1, Term: 1, Config: &wire.Config{Voters: voters}}}}
		}
	}
	return c
}

// start starts a box that does not run.
func (c *cluster) start(i int) {
	c.mu.Lock()
	if c.procs[c.members[i].Box] != nil {
		c.mu.Unlock()
		return
	}
	c.runs++
	self := proto.CloneOf(c.members[i])
	self.Process = fmt.Sprint("p", c.runs)
	if !self.Disk {
		self.Incarnation = self.Process
	}
	p := &process{self: self, began: time.Now()}
	c.mu.Unlock()
	p.ctx, p.cancel = context.WithCancel(context.Background())
	var storage replica.Storage = replica.MemoryStorage{}
	if self.Disk {
		storage = mount{c.disks[self.Box], p, c.slow}
	}
	r, err := replica.New(replica.Options{
		Core:    consensus.Options{ID: state.MemberID(self), ElectionMin: 600 * time.Millisecond, Heartbeat: 100 * time.Millisecond, Lease: 450 * time.Millisecond, Seed: uint64(c.runs)},
		Storage: storage, Send: c.sender(p), CompactAfter: 1000, Fatal: func(err error) { c.t.Error(err) }, Log: zap.NewNop(),
	})
	if err != nil {
		c.t.Error(err)
		return
	}
	p.replica = r
	var seeds []string
	for _, m := range c.members {
		if m.Disk {
			seeds = append(seeds, m.Box)
		}
	}
	p.spread = spread.New(spread.Options{
		Replica: r, Client: link{c, p}, Self: self, Seeds: seeds, ConfigLease: c.lease, RecentCallers: func() []string { return nil },
		Demand: func() []*wire.Demand { return nil }, Log: zap.NewNop(),
	})
	c.mu.Lock()
	c.procs[self.Box] = p
	c.mu.Unlock()
	c.running.Go(func() {
		var parts sync.WaitGroup
		parts.Go(func() { p.spread.Run(p.ctx) })
		parts.Go(func() { c.keepListed(p) })
		parts.Wait()
		r.Close()
	})
}

func (c *cluster) sender(from *process) func(*wire.Message) {
	return func(m *wire.Message) {
		if from.ended() {
			return
		}
		copied := proto.CloneOf(m)
		c.running.Go(func() {
			time.Sleep(c.draw(maxDelay))
			if to := c.process(from.self.Box, wire.BoxOf(m.To)); to != nil {
				to.replica.Receive(copied)
			}
		})
	}
}

// keepListed does what a box does to be in the agreed list.
func (c *cluster) keepListed(p *process) {
	for !p.ended() {
		if !proto.Equal(p.replica.View().Members[p.self.Box], p.self) {
			if to := c.process(p.self.Box, wire.BoxOf(p.spread.Leader())); to != nil {
				members := to.replica.View().Members
				if len(members) == 0 || members[p.self.Box] != nil || to.spread.SeesMajority() {
					c.propose(to, &wire.Command{Kind: &wire.Command_Join{Join: p.self}})
				}
			}
		}
		select {
		case <-time.After(500 * time.Millisecond):
		case <-p.ctx.Done():
		}
	}
}

func (c *cluster) propose(to *process, command *wire.Command) (state.Result, error) {
	ctx, cancel := context.WithTimeout(to.ctx, time.Second)
	defer cancel()
	return to.replica.Propose(ctx, command)
}

func (c *cluster) kill(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	box := c.members[i].Box
	if p := c.procs[box]; p != nil {
		p.cancel()
		delete(c.procs, box)
	}
}

// live returns the running processes in the order of their names.
func (c *cluster) live() []*process {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*process
	for _, m := range c.members {
		if p := c.procs[m.Box]; p != nil {
			list = append(list, p)
		}
	}
	return list
}

// apply has the next file agreed by whoever leads, and acknowledged as the product does.
func (c *cluster) apply() {
	for _, p := range c.live() {
		if _, held := p.replica.Lease(); held {
			c.mu.Lock()
			c.number++
			number := c.number
			c.mu.Unlock()
			c.running.Go(func() { c.applyAt(p, number) })
			return
		}
	}
}

func (c *cluster) applyAt(p *process, number uint64) {
	text := fmt.Sprintf("[fleet]\nnumber = %d\n[hall a]\n", number)
	result, err := c.propose(p, &wire.Command{Kind: &wire.Command_Apply{Apply: &wire.ApplyFleet{Number: number, Text: text, Digest: files.Digest([]byte(text))}}})
	if err != nil || result.Apply != state.Accepted {
		return
	}
	ctx, cancel := context.WithTimeout(p.ctx, 20*time.Second)
	defer cancel()
	p.spread.AwaitApplied(ctx, result.Winner.GetIndex(), spread.AckTimeouts{AllBoxes: 600 * time.Millisecond, Majority: time.Hour})
	if ctx.Err() != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.accepted = append(c.accepted, file{number, time.Now()})
}

// check notes a box that says current without a file that was acknowledged over a configuration
// lease ago, or before its process began.
func (c *cluster) check() {
	for _, p := range c.live() {
		if !p.spread.Current() {
			continue
		}
		has := p.replica.View().Version.GetNumber()
		c.mu.Lock()
		c.checked++
		for _, f := range c.accepted {
			if f.number > has && (time.Since(f.at) > c.lease || p.began.After(f.at)) && c.broken == "" {
				c.broken = fmt.Sprintf("%s, %v after its start, says current with file %d, %v after file %d was acknowledged",
					p.self.Box, time.Since(p.began), has, time.Since(f.at), f.number)
			}
		}
		c.mu.Unlock()
	}
}

// pass lets time go by, and checks all boxes meanwhile.
func (c *cluster) pass(d time.Duration) {
	const look = 5 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(look)
		c.check()
	}
}

func (c *cluster) close() {
	for i := range c.members {
		c.kill(i)
	}
	c.running.Wait()
}
