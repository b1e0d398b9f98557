package e2e

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/engine"
	"leverdrum/platform"
	"leverdrum/standin"
)

// withAll adds a service on two backend servers with one account, and two model
// servers that hold one model, one of which checks fences.
func (c *cluster) withAll() *standin.Service {
	shop := standin.NewService("shop", "Idempotency-Key", time.Millisecond)
	c.services["shop"] = shop
	text := smallFleet + "[service shop]\nclass = any\nnon-repeatable = POST /orders\n"
	for i := range 2 {
		text += fmt.Sprintf("[instance shop%d]\nservice = shop\naddress = %s\nhall = hall%d\n", i, c.serve(fmt.Sprint("shop", i), shop), i)
	}
	text += "[kind fenced]\nmemory = 10GiB\nchecks-fences = true\nresumes-streams = true\n[kind plain]\nmemory = 10GiB\norder-late = 2s\nresumes-streams = true\n"
	for i, kind := range []string{"fenced", "plain"} {
		e := standin.NewEngine(standin.EngineOptions{
			Accelerators: 1, Memory: 10 << 30, ChecksFences: kind == "fenced", Concurrency: 16, TokenTime: time.Millisecond, LoadTime: 20 * time.Millisecond, Resumes: true,
		})
		name := fmt.Sprint("engine", i)
		c.engines[name] = e
		text += fmt.Sprintf("[server %s]\naddress = %s\nhall = hall%d\nkind = %s\n", name, c.serve(name, e), i, kind)
	}
	c.fleet = text + "[model m]\nversion = 1\nmemory = 4GiB\nclass = any\ncopies = 2\n"
	return shop
}

// awaitModels waits until the model is ready on both servers.
func (c *cluster) awaitModels() {
	c.t.Helper()
	eventually(c.t, "the model is ready on both servers", 20*time.Second, func() bool {
		s := c.read()
		return s != nil && len(s.Models) == 1 && len(s.Models[0].Ready) == 2
	})
}

// ledgerOfCalls is the callers' own account of what they were told.
type ledgerOfCalls struct {
	t      *testing.T
	mu     sync.Mutex
	notRun map[string]bool // by key or id: every sending was answered with not run
	done   map[string]bool
	sent   atomic.Int64
	counts map[string]int
}

func newLedger(t *testing.T) *ledgerOfCalls {
	return &ledgerOfCalls{t: t, notRun: map[string]bool{}, done: map[string]bool{}, counts: map[string]int{}}
}

// told notes what one sending got.
func (l *ledgerOfCalls) told(name, outcome string, first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[outcome]++
	l.notRun[name] = outcome == "not-run" && (first || l.notRun[name])
	if outcome == "done" {
		l.done[name] = true
	}
}

// order sends one order under a key, again through other boxes until it is done
// or the tries are used up.
func (l *ledgerOfCalls) order(ctx context.Context, c *cluster, key string, rng *rand.Rand) {
	const tries = 5
	body := "body of " + key
	for n := range tries {
		b := c.boxes[rng.IntN(len(c.boxes))]
		one, cancel := context.WithTimeout(ctx, 4*time.Second)
		a := b.post(one, "/services/shop/orders", body, map[string]string{"Idempotency-Key": key})
		cancel()
		l.sent.Add(1)
		outcome := l.check(a, key, body)
		l.told(key, outcome, n == 0)
		l.why(a)
		if outcome == "done" {
			return
		}
		time.Sleep(time.Duration(50+rng.IntN(200)) * time.Millisecond)
	}
}

// check compares an answer with the only right one, and returns its outcome, or
// "no answer".
func (l *ledgerOfCalls) check(a answerOf, key, body string) string {
	if a.err != nil {
		return "no answer"
	}
	if a.status != http.StatusOK {
		return a.outcome
	}
	var got standin.ServiceAnswer
	if err := json.Unmarshal(a.body, &got); err != nil || got.Body != body || got.Run != 1 || got.Key != "" && got.Key != key {
		l.t.Errorf("%s was answered %s, %v", key, a.body, err)
	}
	return "done"
}

// unkeyed sends one order without a key, once.
func (l *ledgerOfCalls) unkeyed(ctx context.Context, c *cluster, id string, rng *rand.Rand) {
	body := "body of " + id
	one, cancel := context.WithTimeout(ctx, 6*time.Second)
	defer cancel()
	a := c.boxes[rng.IntN(len(c.boxes))].post(one, "/services/shop/orders", body, map[string]string{"X-Request-Id": id})
	l.sent.Add(1)
	l.told(id, l.check(a, id, body), true)
	l.why(a)
}

// why counts the reasons of refusals.
func (l *ledgerOfCalls) why(a answerOf) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.reason != "" {
		l.counts["reason "+a.reason]++
	}
}

// chat sends one question to the model and checks that an answer that looks
// whole is the right one.
func (l *ledgerOfCalls) chat(ctx context.Context, c *cluster, id string, stream bool, rng *rand.Rand) {
	body := fmt.Sprintf(`{"model":"m","stream":%v,"max_tokens":12,"id":%q}`, stream, id)
	one, cancel := context.WithTimeout(ctx, 6*time.Second)
	defer cancel()
	a := c.boxes[rng.IntN(len(c.boxes))].post(one, engine.ChatPath, body, map[string]string{"X-Request-Id": id})
	l.sent.Add(1)
	outcome := a.outcome
	if a.err != nil {
		outcome = "no answer"
	}
	l.told(id, outcome, true)
	l.why(a)
	if a.err != nil || a.status != http.StatusOK {
		return
	}
	want := strings.Join(standin.Words("m", "1", []byte(body), 12), " ")
	if got := textOf(a.body, stream); got != want {
		l.t.Errorf("%s looks whole and is %q, not %q", id, got, want)
	}
}

func textOf(body []byte, stream bool) string {
	if stream {
		text, err := standin.ReadStream(strings.NewReader(string(body)))
		if err != nil {
			return err.Error()
		}
		return text
	}
	var c standin.Completion
	if json.Unmarshal(body, &c) != nil || len(c.Choices) != 1 {
		return "unreadable"
	}
	return c.Choices[0].Message.Content
}

// audit compares what callers were told with what the backends ran.
func (l *ledgerOfCalls) audit(c *cluster) {
	ran := map[string]int{}
	for key, n := range c.services["shop"].Account().Ran {
		ran[key] += n
		if n > 1 {
			l.t.Errorf("%s ran %d times", key, n)
		}
	}
	for _, e := range c.engines {
		for id, n := range e.Account().Ran {
			ran[id] += n
		}
	}
	for name, notRun := range l.notRun {
		if notRun && ran[name] > 0 {
			l.t.Errorf("%s was answered with not run, but ran", name)
		}
	}
	for name := range l.done {
		if ran[name] == 0 {
			l.t.Errorf("%s was answered as done, but did not run", name)
		}
	}
	l.t.Logf("%d requests, told: %v", l.sent.Load(), l.counts)
}

// traffic runs callers of all kinds until the context ends.
func (l *ledgerOfCalls) traffic(ctx context.Context, c *cluster, callers int) (wait func()) {
	var wg sync.WaitGroup
	for i := range callers {
		rng := rand.New(rand.NewPCG(*seed, uint64(100+i)))
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				name := fmt.Sprintf("call-%d-%d", i, n)
				end := context.WithoutCancel(ctx)
				switch i % 4 {
				case 0, 1:
					l.order(end, c, name, rng)
				case 2:
					l.unkeyed(end, c, name, rng)
				case 3:
					l.chat(end, c, name, n%2 == 0, rng)
				}
				time.Sleep(time.Duration(rng.IntN(10)) * time.Millisecond)
			}
		})
	}
	return wg.Wait
}

// spoil lets the backends misbehave in one way after another.
func spoil(ctx context.Context, c *cluster, rng *rand.Rand) {
	ways := []standin.Faults{
		{}, {BreakBefore: true}, {}, {Refuse: true}, {}, {DelayMs: 300}, {}, {BreakAfter: 200}, {}, {NoLastEvent: true}, {}, {WrongID: true},
	}
	for i := 0; ctx.Err() == nil; i++ {
		way := ways[i%len(ways)]
		c.services["shop"].Set(way)
		c.engines[fmt.Sprint("engine", rng.IntN(2))].Set(way)
		for range 3 {
			time.Sleep(100 * time.Millisecond)
			if ctx.Err() != nil {
				break
			}
		}
		for _, e := range c.engines {
			e.Set(standin.Faults{})
		}
	}
	c.services["shop"].Set(standin.Faults{})
}

// TestRequestsUnderFailure sends orders with and without keys and questions
// through all boxes, resends what got no answer through other boxes, and lets
// boxes and backends fail meanwhile.
func TestRequestsUnderFailure(t *testing.T) {
	rounds := 2
	if testing.Short() {
		rounds = 1
	}
	g := NewWithT(t)
	c := newCluster(t, 3, 3)
	defer c.dumpLogs()
	c.withAll()
	c.up()
	c.awaitModels()
	l := newLedger(t)
	ctx, quiet := context.WithCancel(context.Background())
	wait := l.traffic(ctx, c, 24)
	var others sync.WaitGroup
	others.Go(func() { spoil(ctx, c, rand.New(rand.NewPCG(5, *seed))) })
	disturb(c, rand.New(rand.NewPCG(4, *seed)), rounds)
	quiet()
	wait()
	others.Wait()
	l.audit(c)
	g.Expect(l.counts["done"]).To(BeNumerically(">", 500*rounds), "too little was answered for the run to prove anything")
	for name, e := range c.engines {
		g.Expect(e.Account().Overcommits).To(BeZero(), "by the account of %s", name)
	}
}

// TestRollingRestartCutsNothing restarts all boxes one after another under load,
// behind a balancer that follows their readiness with a lag.
func TestRollingRestartCutsNothing(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3, 2)
	defer c.dumpLogs()
	c.withAll()
	c.up()
	c.awaitModels()
	l := newLedger(t)
	balancer := newBalancer(c)
	ctx, quiet := context.WithCancel(context.Background())
	go balancer.follow(ctx)
	var wg sync.WaitGroup
	for i := range 12 {
		rng := rand.New(rand.NewPCG(6, uint64(i)))
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				one := *c
				one.boxes = []*boxProc{balancer.pick(rng)}
				name := fmt.Sprintf("call-%d-%d", i, n)
				if i%2 == 0 {
					l.chat(context.Background(), &one, name, true, rng)
				} else {
					l.unkeyed(context.Background(), &one, name, rng)
				}
			}
		})
	}
	for _, b := range c.boxes {
		g.Expect(b.stop()).To(BeZero(), "a planned stop must end well")
		b.start()
		eventually(t, "the box is ready again", 15*time.Second, func() bool { return b.get("/readyz") == http.StatusOK })
		time.Sleep(300 * time.Millisecond)
	}
	quiet()
	wg.Wait()
	l.audit(c)
	g.Expect(l.counts["no answer"]).To(BeZero(), "no request may be cut off")
	g.Expect(l.counts["unknown"]).To(BeZero())
	g.Expect(l.counts["done"]).To(BeNumerically(">", 500))
}

// balancer sends requests to boxes that were ready when it looked last.
type balancer struct {
	c     *cluster
	mu    sync.Mutex
	ready []*boxProc
}

func newBalancer(c *cluster) *balancer { return &balancer{c: c, ready: c.boxes} }

func (b *balancer) follow(ctx context.Context) {
	for ctx.Err() == nil {
		var ready []*boxProc
		for _, box := range b.c.boxes {
			if box.get("/readyz") == http.StatusOK {
				ready = append(ready, box)
			}
		}
		time.Sleep(100 * time.Millisecond) // what it saw is old by then
		b.mu.Lock()
		b.ready = ready
		b.mu.Unlock()
	}
}

func (b *balancer) pick(rng *rand.Rand) *boxProc {
	for {
		b.mu.Lock()
		ready := b.ready
		b.mu.Unlock()
		if len(ready) > 0 {
			return ready[rng.IntN(len(ready))]
		}
		time.Sleep(10 * time.Millisecond)
	}
}

// TestLeavingServerGetsNothingNew lets a server leave by each of the three words,
// once with and once without control boxes, under load through all boxes.
func TestLeavingServerGetsNothingNew(t *testing.T) {
	for _, way := range []string{"its own word", "the platform's list", "the fleet file", "its own word without control boxes"} {
		t.Run(way, func(t *testing.T) {
			g := NewWithT(t)
			c := newCluster(t, 3, 4)
			defer c.dumpLogs()
			c.withAll()
			c.up()
			c.awaitModels()
			if strings.Contains(way, "without") {
				c.spreadEverywhere() // what the killed boxes alone know is lost to the rest
				for _, b := range c.boxes[:3] {
					b.signal(syscall.SIGKILL)
				}
				c.boxes = c.boxes[3:]
			}
			l := newLedger(t)
			ctx, quiet := context.WithCancel(context.Background())
			defer quiet()
			var wg sync.WaitGroup
			for i := range 8 {
				rng := rand.New(rand.NewPCG(7, uint64(i)))
				wg.Go(func() {
					for n := 0; ctx.Err() == nil; n++ {
						l.chat(context.Background(), c, fmt.Sprintf("call-%d-%d", i, n), false, rng)
					}
				})
			}
			time.Sleep(500 * time.Millisecond)
			c.leave(way, "engine0")
			time.Sleep(3 * time.Second)
			before := total(c.engines["engine0"])
			g.Expect(before).To(BeNumerically(">", 20))
			rest := total(c.engines["engine1"])
			time.Sleep(1500 * time.Millisecond)
			g.Expect(total(c.engines["engine0"])).To(Equal(before), "it must get nothing new 3 s after it began to leave")
			g.Expect(total(c.engines["engine1"])).To(BeNumerically(">", rest+20), "the other must take the work")
			quiet()
			wg.Wait()
		})
	}
}

// spreadEverywhere waits until all boxes route by what is agreed now.
func (c *cluster) spreadEverywhere() {
	c.t.Helper()
	s := c.read()
	if s == nil {
		c.t.Fatal("no box reads back")
	}
	eventually(c.t, "all boxes hold what is agreed", 30*time.Second, func() bool {
		for _, b := range c.boxes {
			if b.metric("leverdrum_state_index") < float64(s.Index) {
				return false
			}
		}
		return true
	})
}

func total(e *standin.Engine) int {
	sum := 0
	for _, n := range e.Account().Ran {
		sum += n
	}
	return sum
}

func (c *cluster) leave(way, server string) {
	switch {
	case strings.HasPrefix(way, "its own word"):
		c.engines[server].Set(standin.Faults{Leaving: true})
	case way == "the platform's list":
		c.platform.Replace([]platform.Machine{{Name: server, Draining: true}})
	case way == "the fleet file":
		c.fleet = strings.Replace(c.fleet, "[server "+server+"]\n", "[server "+server+"]\nleaving = true\n", 1)
		c.applyNow(2)
	}
}
