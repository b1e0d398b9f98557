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

// disk holds a voter's durable data across the processes of its box.
type disk struct {
	mu     sync.Mutex
	loaded wal.Loaded
}

// processDisk is one process's access to its disk; writes after the process's end are dropped.
type processDisk struct {
	disk       *disk
	process    *process
	writeDelay time.Duration // of each batch
}

func (m processDisk) Append(b *wire.Batch) error {
	time.Sleep(m.writeDelay)
	if m.process.stopped() {
		return nil
	}
	d := m.disk
	d.mu.Lock()
	defer d.mu.Unlock()
	if b.HardState != nil {
		d.loaded.HardState = b.HardState
	}
	if len(b.Entries) > 0 {
		first := b.Entries[0].Index
		kept := slices.DeleteFunc(slices.Clone(d.loaded.Entries), func(e *wire.Entry) bool { return e.Index >= first })
		d.loaded.Entries = append(kept, b.Entries...)
	}
	d.loaded.CommittedIndex = max(d.loaded.CommittedIndex, b.Agreed)
	return nil
}

func (m processDisk) SaveSnapshot(s *wire.Snapshot, hard *wire.HardState, tail []*wire.Entry) error {
	if m.process.stopped() {
		return nil
	}
	m.disk.mu.Lock()
	defer m.disk.mu.Unlock()
	m.disk.loaded = wal.Loaded{HardState: hard, Snapshot: s, Entries: tail, CommittedIndex: s.Index}
	return nil
}

func (processDisk) Reload() error          { return nil }
func (processDisk) HasCapacity(int64) bool { return true }

func (m processDisk) Loaded() wal.Loaded {
	m.disk.mu.Lock()
	defer m.disk.mu.Unlock()
	return m.disk.loaded
}

// process is one process of a box.
type process struct {
	self      *wire.Member
	startedAt time.Time
	ctx       context.Context
	cancel    context.CancelFunc
	replica   *replica.Replica
	spread    *spread.Distributor
}

func (p *process) stopped() bool { return p.ctx.Err() != nil }

// acknowledgedFile is a fleet file that was acknowledged.
type acknowledgedFile struct {
	number uint64
	at     time.Time
}

// cluster simulates boxes that fail, restart and become unreachable, in synthetic time.
type cluster struct {
	t          *testing.T
	lease      time.Duration // of the configuration
	writeDelay time.Duration // of each write to a disk
	running    sync.WaitGroup

	mu            sync.Mutex
	rng           *rand.Rand
	startCount    int
	members       []*wire.Member // as of the first processes
	disks         map[string]*disk
	processes     map[string]*process // running, by box
	isolated      map[string]bool     // boxes on one side of a partition
	frozen        map[string]bool     // boxes that answer no calls
	cut           map[[2]string]bool  // pairs of boxes that do not reach each other
	draining      time.Duration       // spread.Options.DrainingDuration
	number        uint64
	acknowledged  []acknowledgedFile
	violation     string
	currentChecks int // times that a box reported to be current
}

func (c *cluster) randomDuration(limit time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return time.Duration(c.rng.Int64N(int64(limit) + 1))
}

// process returns the process running on a box, nil if from cannot reach it.
func (c *cluster) process(from, box string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isolated[from] != c.isolated[box] || c.frozen[from] || c.frozen[box] || c.cut[[2]string{from, box}] || c.cut[[2]string{box, from}] {
		return nil
	}
	return c.processes[box]
}

// link carries the requests of one process.
type link struct {
	c    *cluster
	from *process
}

const maxDelay = 30 * time.Millisecond

func (l link) Call(ctx context.Context, box string, r *wire.Request) (*wire.Response, error) {
	time.Sleep(l.c.randomDuration(maxDelay))
	to := l.c.process(l.from.self.Box, box)
	if to == nil {
		<-ctx.Done()
		return nil, errUnreachable
	}
	response, err := handleRequest(ctx, to, l.from.self, r)
	if err != nil {
		return nil, err
	}
	time.Sleep(l.c.randomDuration(maxDelay))
	if to.stopped() || l.c.process(l.from.self.Box, box) != to || ctx.Err() != nil {
		<-ctx.Done()
		return nil, errUnreachable
	}
	return response, nil
}

func (l link) Fetch(ctx context.Context, box string, r *wire.Request, idleTimeout time.Duration) (*wire.Response, error) {
	ctx, cancel := context.WithTimeout(ctx, idleTimeout)
	defer cancel()
	return l.Call(ctx, box, r)
}

func handleRequest(ctx context.Context, to *process, from *wire.Member, r *wire.Request) (*wire.Response, error) {
	if r.GetProbe() != nil {
		return &wire.Response{Kind: &wire.Response_Probe{Probe: to.spread.AnswerProbe()}}, nil
	}
	u, err := to.spread.AnswerFollow(ctx, from, r.GetFollow())
	return &wire.Response{Kind: &wire.Response_Follow{Follow: u}}, err
}

func newCluster(t *testing.T, seed uint64, lease, writeDelay time.Duration, disks, others int) *cluster {
	c := &cluster{
		t: t, lease: lease, writeDelay: writeDelay, rng: rand.New(rand.NewPCG(seed, 1)), disks: map[string]*disk{}, processes: map[string]*process{}, isolated: map[string]bool{}, frozen: map[string]bool{}, cut: map[[2]string]bool{},
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
			c.disks[m.Box] = &disk{loaded: wal.Loaded{HardState: &wire.HardState{Term: 1}, Snapshot: &wire.Snapshot{Index: 1, Term: 1, Config: &wire.Config{Voters: voters}}}}
		}
	}
	return c
}

// start starts a box unless it is running.
func (c *cluster) start(i int) {
	c.mu.Lock()
	if c.processes[c.members[i].Box] != nil {
		c.mu.Unlock()
		return
	}
	c.startCount++
	self := proto.CloneOf(c.members[i])
	self.Process = fmt.Sprint("p", c.startCount)
	if !self.Disk {
		self.Incarnation = self.Process
	}
	p := &process{self: self, startedAt: time.Now()}
	c.mu.Unlock()
	p.ctx, p.cancel = context.WithCancel(context.Background())
	var storage replica.Storage = replica.MemoryStorage{}
	if self.Disk {
		storage = processDisk{c.disks[self.Box], p, c.writeDelay}
	}
	r, err := replica.New(replica.Options{
		Core:    consensus.Options{ID: state.MemberID(self), ElectionMin: 600 * time.Millisecond, Heartbeat: 100 * time.Millisecond, Lease: 450 * time.Millisecond, Seed: uint64(c.startCount)},
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
		Replica: r, Client: link{c, p}, Self: self, Seeds: seeds, ConfigLease: c.lease, DrainingDuration: c.draining, RecentCallers: func() []string { return nil },
		Demand: func() []*wire.Demand { return nil }, Log: zap.NewNop(),
	})
	c.mu.Lock()
	c.processes[self.Box] = p
	c.mu.Unlock()
	c.running.Go(func() {
		var tasks sync.WaitGroup
		tasks.Go(func() { p.spread.Run(p.ctx) })
		tasks.Go(func() { c.keepRegistered(p) })
		tasks.Wait()
		r.Close()
	})
}

func (c *cluster) sender(from *process) func(*wire.Message) {
	return func(m *wire.Message) {
		if from.stopped() {
			return
		}
		copied := proto.CloneOf(m)
		c.running.Go(func() {
			time.Sleep(c.randomDuration(maxDelay))
			if to := c.process(from.self.Box, wire.BoxOf(m.To)); to != nil {
				to.replica.Receive(copied)
			}
		})
	}
}

// keepRegistered keeps a box in the replicated member list, as a box does.
func (c *cluster) keepRegistered(p *process) {
	for !p.stopped() {
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
	if p := c.processes[box]; p != nil {
		p.cancel()
		delete(c.processes, box)
	}
}

// runningProcesses returns the running processes in the order of their boxes.
func (c *cluster) runningProcesses() []*process {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []*process
	for _, m := range c.members {
		if p := c.processes[m.Box]; p != nil {
			list = append(list, p)
		}
	}
	return list
}

// applyNextFile has the current leader commit the next file and acknowledge it as in production.
func (c *cluster) applyNextFile() {
	for _, p := range c.runningProcesses() {
		if _, leaseHeld := p.replica.Lease(); leaseHeld {
			c.mu.Lock()
			c.number++
			number := c.number
			c.mu.Unlock()
			c.running.Go(func() { c.applyFile(p, number) })
			return
		}
	}
}

func (c *cluster) applyFile(p *process, number uint64) {
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
	c.acknowledged = append(c.acknowledged, acknowledgedFile{number, time.Now()})
}

// checkCurrent records a violation if a box claims to be current without a file that was
// acknowledged more than a configuration lease ago, or before its process started.
func (c *cluster) checkCurrent() {
	for _, p := range c.runningProcesses() {
		if !p.spread.Current() {
			continue
		}
		number := p.replica.View().Version.GetNumber()
		c.mu.Lock()
		c.currentChecks++
		for _, f := range c.acknowledged {
			if f.number > number && (time.Since(f.at) > c.lease || p.startedAt.After(f.at)) && c.violation == "" {
				c.violation = fmt.Sprintf("%s, %v after its start, reports current with file %d, %v after file %d was acknowledged",
					p.self.Box, time.Since(p.startedAt), number, time.Since(f.at), f.number)
			}
		}
		c.mu.Unlock()
	}
}

// advance lets time pass and checks all boxes meanwhile.
func (c *cluster) advance(d time.Duration) {
	const interval = 5 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); {
		time.Sleep(interval)
		c.checkCurrent()
	}
}

func (c *cluster) close() {
	for i := range c.members {
		c.kill(i)
	}
	c.running.Wait()
}
