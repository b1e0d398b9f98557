package spread_test

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"google.golang.org/protobuf/proto"

	"leverdrum/consensus"
	"leverdrum/replica"
	"leverdrum/spread"
	"leverdrum/state"
	"leverdrum/wal"
	"leverdrum/wire"
)

// formed is the storage of a cluster with one voter.
type formed struct{ replica.MemoryStorage }

func (formed) Loaded() wal.Loaded {
	return wal.Loaded{Hard: &wire.HardState{Term: 1}, Snapshot: &wire.Snapshot{Index: 1, Term: 1, Config: &wire.Config{Voters: []string{"a1/1"}}}}
}

// fleet is boxes whose questions to each other go through a network that can be cut.
type fleet struct {
	running sync.WaitGroup
	mu      sync.Mutex
	boxes   map[string]*node
	reaches func(from, to string) bool
	links   *links                    // nil: they take no time
	asking  map[string]map[string]int // by box, by who was asked: questions
	probes  map[string]int            // by box that asked
}

type node struct {
	self    *wire.Member
	replica *replica.Replica
	spread  *spread.Distributor
}

// caller asks in the name of one box.
type caller struct {
	fleet *fleet
	from  *wire.Member
}

var errCut = errors.New("no way there")

func (c caller) Call(ctx context.Context, box string, r *wire.Request) (*wire.Response, error) {
	response, err := c.answer(ctx, box, r)
	if err != nil {
		return nil, err
	}
	return response, c.fleet.links.carry(ctx, box, c.from.Box, proto.Size(response))
}

// Fetch bounds the time until an answer begins to come; once it does something always comes.
func (c caller) Fetch(ctx context.Context, box string, r *wire.Request, quiet time.Duration) (*wire.Response, error) {
	first, cancel := context.WithTimeout(ctx, quiet)
	defer cancel()
	response, err := c.answer(first, box, r)
	if err != nil {
		return nil, err
	}
	return response, c.fleet.links.carry(ctx, box, c.from.Box, proto.Size(response))
}

// oneWay is what a question or an answer takes.
const oneWay = time.Millisecond

func (c caller) answer(ctx context.Context, box string, r *wire.Request) (*wire.Response, error) {
	c.fleet.mu.Lock()
	to, reaches := c.fleet.boxes[box], c.fleet.reaches(c.from.Box, box)
	c.fleet.note(c.from.Box, box, r)
	c.fleet.mu.Unlock()
	if to == nil || !reaches {
		<-ctx.Done() // as over a link that loses everything
		return nil, errCut
	}
	time.Sleep(oneWay)
	defer time.Sleep(oneWay)
	if r.GetProbe() != nil {
		return &wire.Response{Kind: &wire.Response_Probe{Probe: to.spread.AnswerProbe()}}, nil
	}
	u, err := to.spread.AnswerFollow(ctx, c.from, r.GetFollow())
	if err != nil {
		return nil, err
	}
	return &wire.Response{Kind: &wire.Response_Follow{Follow: u}}, nil
}

// note counts a question; the lock is held.
func (f *fleet) note(from, to string, r *wire.Request) {
	if f.asking[from] == nil {
		f.asking[from] = map[string]int{}
	}
	f.asking[from][to]++
	if r.GetProbe() != nil {
		f.probes[from]++
	}
}

// asked returns whom each box has asked, and how often.
func (f *fleet) asked() map[string]map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	all := map[string]map[string]int{}
	for box, others := range f.asking {
		all[box] = maps.Clone(others)
	}
	return all
}

// answered returns how many questions came to a box.
func (f *fleet) answered(box string) (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, others := range f.asking {
		n += others[box]
	}
	return n
}

// probed returns how many looks at others a box has had.
func (f *fleet) probed(box string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.probes[box]
}

func newNetwork() *fleet {
	return &fleet{
		boxes: map[string]*node{}, reaches: func(string, string) bool { return true },
		asking: map[string]map[string]int{}, probes: map[string]int{},
	}
}

// newFleet starts a leader, a1, and halls a and b of some boxes, of which the first
// two have disks.
func newFleet(t *testing.T, ctx context.Context, perHall int) *fleet {
	f := newNetwork()
	f.populate(t, ctx, []string{"a", "b"}, perHall)
	return f
}

// populate starts halls of some boxes, the first of which, a1, leads.
func (f *fleet) populate(t *testing.T, ctx context.Context, halls []string, perHall int) {
	for _, hall := range halls {
		for i := range perHall {
			f.add(t, &wire.Member{Box: fmt.Sprintf("%s%d", hall, i+1), Incarnation: "1", Hall: hall, Disk: i < 2})
		}
	}
	leader := f.boxes["a1"].replica
	for !leader.Status().Established {
		time.Sleep(10 * time.Millisecond)
	}
	for _, n := range f.boxes {
		if _, err := leader.Propose(ctx, &wire.Command{Kind: &wire.Command_Join{Join: n.self}}); err != nil {
			t.Fatal(err)
		}
	}
	f.run(ctx)
}

func (f *fleet) run(ctx context.Context) {
	for _, n := range f.boxes {
		f.running.Go(func() { n.spread.Run(ctx) })
	}
}

func (f *fleet) add(t *testing.T, self *wire.Member) {
	var storage replica.Storage = replica.MemoryStorage{}
	if self.Box == "a1" {
		storage = formed{}
	}
	core := consensus.Options{ID: state.MemberID(self), ElectionMin: 200 * time.Millisecond, Heartbeat: 20 * time.Millisecond, Lease: 160 * time.Millisecond, Seed: 1}
	f.start(t, self, storage, core, "a1")
}

// start starts a box that knows the seeds; run makes it work.
func (f *fleet) start(t *testing.T, self *wire.Member, storage replica.Storage, core consensus.Options, seeds ...string) {
	r, err := replica.New(replica.Options{
		Core: core, Storage: storage, Send: func(*wire.Message) {}, CompactAfter: 1000, Fatal: func(err error) { t.Error(err) }, Log: zap.NewNop(),
	})
	if err != nil {
		t.Fatal(err)
	}
	s := spread.New(spread.Options{
		Replica: r, Client: caller{f, self}, Self: self, Seeds: seeds, ConfigLease: time.Hour,
		Demand: func() []*wire.Demand { return nil }, Log: zap.NewNop(),
	})
	f.mu.Lock()
	defer f.mu.Unlock()
	f.boxes[self.Box] = &node{self, r, s}
}

// close is for after the context's end.
func (f *fleet) close() {
	f.running.Wait()
	for _, n := range f.boxes {
		n.replica.Close()
	}
}

// network changes who reaches whom.
func (f *fleet) network(reaches func(from, to string) bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reaches = reaches
}

// propose has something agreed and returns its index.
func (f *fleet) propose(t *testing.T, ctx context.Context) uint64 {
	leader := f.boxes["a1"]
	if _, err := leader.replica.Propose(ctx, &wire.Command{Kind: &wire.Command_Withdraw{Withdraw: &wire.Withdraw{Id: "none"}}}); err != nil {
		t.Fatal(err)
	}
	return leader.replica.View().Index
}

// behind lists the boxes that have not applied an index.
func (f *fleet) behind(index uint64) []string {
	var list []string
	for name, n := range f.boxes {
		if n.replica.View().Index < index {
			list = append(list, name)
		}
	}
	return list
}

// Boxes that had lost the leader all at once asked each other round and round, each
// held up by boxes that had no news either: whole halls stood still for eight seconds
// beside boxes that had the newest configuration.
func TestAllBoxesHaveNewsSoonAfterTheLeaderIsBack(t *testing.T) {
	for _, away := range []time.Duration{3 * time.Second, 4 * time.Second, 6500 * time.Millisecond} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			ctx, cancel := context.WithCancel(context.Background())
			f := newFleet(t, ctx, 16)
			time.Sleep(3 * time.Second)
			g.Expect(f.behind(f.boxes["a1"].replica.View().Index)).To(BeEmpty())
			f.network(func(from, to string) bool { return from != "a1" && to != "a1" })
			time.Sleep(away)
			index := f.propose(t, ctx)
			f.network(func(string, string) bool { return true })
			time.Sleep(2 * time.Second)
			g.Expect(f.behind(index)).To(BeEmpty(), "after %v", away)
			cancel()
			f.close()
		})
	}
}

// A box whose way up is cut finds another; those below it wait for that.
func TestTheTreeMendsAroundACutBox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(t, ctx, 16)
		time.Sleep(3 * time.Second)
		f.network(func(from, to string) bool { return from[0] == to[0] || from == "b9" || to == "b9" })
		index := f.propose(t, ctx)
		time.Sleep(4 * time.Second)
		g.Expect(f.behind(index)).To(BeEmpty(), "hall b hears by way of its box 9 alone")
		cancel()
		f.close()
	})
}

// took is the time that a box takes to answer another that lacks nothing.
func (f *fleet) took(t *testing.T, ctx context.Context, box, from string) time.Duration {
	began := time.Now()
	to := f.boxes[box]
	if _, err := to.spread.AnswerFollow(ctx, f.boxes[from].self, &wire.Follow{Index: to.replica.View().Index}); err != nil {
		t.Fatal(err)
	}
	return time.Since(began)
}

// Whoever has no news must not hold up those that look for some, nor wait for what can
// only come from the asker.
func TestWhereNothingCanComeTheAnswerComesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		f := newFleet(t, ctx, 16)
		time.Sleep(3 * time.Second)
		g.Expect(f.took(t, ctx, "b5", "a1")).To(BeZero(), "its news comes from a1")
		g.Expect(f.took(t, ctx, "b5", "b9")).NotTo(BeZero(), "news is waited for")
		f.network(func(from, to string) bool { return from != "a1" && to != "a1" })
		time.Sleep(4 * time.Second)
		g.Expect(f.took(t, ctx, "b5", "b9")).To(BeZero())
		cancel()
		f.close()
	})
}

// Boxes that had never heard of a leader answered at once, too, and heard of the first one
// by questions with pauses between: control boxes that died within half a second of it
// left the others without any news (e2e TestServingGoesOnWithoutControlBoxes).
func TestABoxThatNeverHadNewsWaitsForIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		ctx, cancel := context.WithCancel(context.Background())
		f := &fleet{boxes: map[string]*node{}, reaches: func(string, string) bool { return false }}
		f.add(t, &wire.Member{Box: "b1", Incarnation: "1", Hall: "b"})
		f.add(t, &wire.Member{Box: "b2", Incarnation: "1", Hall: "b"})
		g.Expect(f.took(t, ctx, "b1", "b2")).NotTo(BeZero())
		cancel()
		f.close()
	})
}
