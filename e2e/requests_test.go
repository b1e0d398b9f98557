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

// addServiceAndModel adds a service on two backend servers that share one account, and a
// model with copies on two model servers, one of which checks fencing tokens.
func (c *cluster) addServiceAndModel() *standin.Service {
	shop := standin.NewService("shop", "Idempotency-Key", time.Millisecond)
	c.services["shop"] = shop
	sections := smallFleet + "[service shop]\nclass = any\nnon-repeatable = POST /orders\n"
	for i := range 2 {
		sections += fmt.Sprintf("[instance shop%d]\nservice = shop\naddress = %s\nhall = hall%d\n", i, c.serve(fmt.Sprint("shop", i), shop), i)
	}
	sections += "[kind fenced]\nmemory = 10GiB\nchecks-fences = true\nresumes-streams = true\n[kind plain]\nmemory = 10GiB\norder-late = 2s\nresumes-streams = true\n"
	for i, kind := range []string{"fenced", "plain"} {
		server := standin.NewEngine(standin.EngineOptions{
			Accelerators: 1, Memory: 10 << 30, ChecksFences: kind == "fenced", Concurrency: 16, TokenTime: time.Millisecond, LoadTime: 20 * time.Millisecond, ResumesStreams: true,
		})
		name := fmt.Sprint("engine", i)
		c.engines[name] = server
		sections += fmt.Sprintf("[server %s]\naddress = %s\nhall = hall%d\nkind = %s\n", name, c.serve(name, server), i, kind)
	}
	c.fleetText = sections + "[model m]\nversion = 1\nmemory = 4GiB\nclass = any\ncopies = 2\n"
	return shop
}

// awaitModelCopies waits until the model is ready on both servers.
func (c *cluster) awaitModelCopies() {
	c.t.Helper()
	eventually(c.t, "the model is ready on both servers", 20*time.Second, func() bool {
		s := c.readStatus()
		return s != nil && len(s.Models) == 1 && len(s.Models[0].Ready) == 2
	})
}

// callLedger records the outcomes that callers received.
type callLedger struct {
	t      *testing.T
	mu     sync.Mutex
	notRun map[string]bool // by key or id: the outcome of every attempt was not-run
	done   map[string]bool
	sent   atomic.Int64
	counts map[string]int
}

func newCallLedger(t *testing.T) *callLedger {
	return &callLedger{t: t, notRun: map[string]bool{}, done: map[string]bool{}, counts: map[string]int{}}
}

// recordOutcome records the outcome of one attempt.
func (l *callLedger) recordOutcome(id, outcome string, first bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.counts[outcome]++
	l.notRun[id] = outcome == "not-run" && (first || l.notRun[id])
	if outcome == "done" {
		l.done[id] = true
	}
}

// placeOrder sends one order with an idempotency key and retries it through random boxes
// until it is done or the attempts are exhausted.
func (l *callLedger) placeOrder(ctx context.Context, c *cluster, key string, rng *rand.Rand) {
	const attempts = 5
	body := "body of " + key
	for n := range attempts {
		b := c.boxes[rng.IntN(len(c.boxes))]
		attemptCtx, cancel := context.WithTimeout(ctx, 4*time.Second)
		a := b.post(attemptCtx, "/services/shop/orders", body, map[string]string{"Idempotency-Key": key})
		cancel()
		l.sent.Add(1)
		outcome := l.checkAnswer(a, key, body)
		l.recordOutcome(key, outcome, n == 0)
		l.countReason(a)
		if outcome == "done" {
			return
		}
		time.Sleep(time.Duration(50+rng.IntN(200)) * time.Millisecond)
	}
}

// checkAnswer compares an answer with the only correct one and returns its outcome, or
// "no answer".
func (l *callLedger) checkAnswer(a callResponse, key, body string) string {
	if a.err != nil {
		return "no answer"
	}
	if a.status != http.StatusOK {
		return a.outcome
	}
	var got standin.ServiceResponse
	if err := json.Unmarshal(a.body, &got); err != nil || got.Body != body || got.Run != 1 || got.Key != "" && got.Key != key {
		l.t.Errorf("incorrect answer to %s: %s, %v", key, a.body, err)
	}
	return "done"
}

// placeUnkeyedOrder sends one order without an idempotency key, once.
func (l *callLedger) placeUnkeyedOrder(ctx context.Context, c *cluster, id string, rng *rand.Rand) {
	body := "body of " + id
	requestCtx, cancel := context.WithTimeout(ctx, 6*time.Second)
	defer cancel()
	a := c.boxes[rng.IntN(len(c.boxes))].post(requestCtx, "/services/shop/orders", body, map[string]string{"X-Request-Id": id})
	l.sent.Add(1)
	l.recordOutcome(id, l.checkAnswer(a, id, body), true)
	l.countReason(a)
}

// countReason counts a response by its reason, if it has one.
func (l *callLedger) countReason(a callResponse) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if a.reason != "" {
		l.counts["reason "+a.reason]++
	}
}

// sendChat sends one chat request to the model and checks that an answer that appears
// complete is correct.
func (l *callLedger) sendChat(ctx context.Context, c *cluster, id string, stream bool, rng *rand.Rand) {
	body := fmt.Sprintf(`{"model":"m","stream":%v,"max_tokens":12,"id":%q}`, stream, id)
	requestCtx, cancel := context.WithTimeout(ctx, 6*time.Second)
	defer cancel()
	a := c.boxes[rng.IntN(len(c.boxes))].post(requestCtx, engine.ChatPath, body, map[string]string{"X-Request-Id": id})
	l.sent.Add(1)
	outcome := a.outcome
	if a.err != nil {
		outcome = "no answer"
	}
	l.recordOutcome(id, outcome, true)
	l.countReason(a)
	if a.err != nil || a.status != http.StatusOK {
		return
	}
	want := strings.Join(standin.ExpectedWords("m", "1", []byte(body), 12), " ")
	if got := completionText(a.body, stream); got != want {
		l.t.Errorf("the answer to %s appears complete and is %q, not %q", id, got, want)
	}
}

// completionText returns the text of a completion or of a stream, or a description of
// why it cannot be read.
func completionText(body []byte, stream bool) string {
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

// audit compares the outcomes that callers received with what the backend servers ran.
func (l *callLedger) audit(c *cluster) {
	runs := map[string]int{}
	for key, n := range c.services["shop"].Stats().Runs {
		runs[key] += n
		if n > 1 {
			l.t.Errorf("%s ran %d times", key, n)
		}
	}
	for _, e := range c.engines {
		for id, n := range e.Stats().Runs {
			runs[id] += n
		}
	}
	for name, notRun := range l.notRun {
		if notRun && runs[name] > 0 {
			l.t.Errorf("the outcome of %s was not-run, but it ran", name)
		}
	}
	for name := range l.done {
		if runs[name] == 0 {
			l.t.Errorf("the outcome of %s was done, but it did not run", name)
		}
	}
	l.t.Logf("%d requests, outcomes: %v", l.sent.Load(), l.counts)
}

// runCallers starts callers of all kinds, which send requests until the context ends.
func (l *callLedger) runCallers(ctx context.Context, c *cluster, callers int) (wait func()) {
	var wg sync.WaitGroup
	for i := range callers {
		rng := rand.New(rand.NewPCG(*seed, uint64(100+i)))
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				id := fmt.Sprintf("call-%d-%d", i, n)
				requestCtx := context.WithoutCancel(ctx)
				switch i % 4 {
				case 0, 1:
					l.placeOrder(requestCtx, c, id, rng)
				case 2:
					l.placeUnkeyedOrder(requestCtx, c, id, rng)
				case 3:
					l.sendChat(requestCtx, c, id, n%2 == 0, rng)
				}
				time.Sleep(time.Duration(rng.IntN(10)) * time.Millisecond)
			}
		})
	}
	return wg.Wait
}

// injectBackendFaults applies one fault after another to the service and to a random
// model server, until the context ends.
func injectBackendFaults(ctx context.Context, c *cluster, rng *rand.Rand) {
	faults := []standin.Faults{
		{}, {DisconnectBeforeResponse: true}, {}, {Refuse: true}, {}, {DelayMs: 300}, {}, {DisconnectAfter: 200}, {}, {OmitLastEvent: true}, {}, {WrongID: true},
	}
	for i := 0; ctx.Err() == nil; i++ {
		fault := faults[i%len(faults)]
		c.services["shop"].SetFaults(fault)
		c.engines[fmt.Sprint("engine", rng.IntN(2))].SetFaults(fault)
		for range 3 {
			time.Sleep(100 * time.Millisecond)
			if ctx.Err() != nil {
				break
			}
		}
		for _, e := range c.engines {
			e.SetFaults(standin.Faults{})
		}
	}
	c.services["shop"].SetFaults(standin.Faults{})
}

// TestRequestsUnderFailure sends orders with and without idempotency keys and chat
// requests through all boxes while boxes and backend servers fail. Orders with a key are
// retried through other boxes.
func TestRequestsUnderFailure(t *testing.T) {
	rounds := 2
	if testing.Short() {
		rounds = 1
	}
	g := NewWithT(t)
	c := newCluster(t, 3, 3)
	defer c.dumpLogs()
	c.addServiceAndModel()
	c.startReady()
	c.awaitModelCopies()
	ledger := newCallLedger(t)
	ctx, stopLoad := context.WithCancel(context.Background())
	wait := ledger.runCallers(ctx, c, 24)
	var faultInjector sync.WaitGroup
	faultInjector.Go(func() { injectBackendFaults(ctx, c, rand.New(rand.NewPCG(5, *seed))) })
	injectFailures(c, rand.New(rand.NewPCG(4, *seed)), rounds)
	stopLoad()
	wait()
	faultInjector.Wait()
	ledger.audit(c)
	g.Expect(ledger.counts["done"]).To(BeNumerically(">", 500*rounds), "too few requests were answered for the run to be conclusive")
	for name, e := range c.engines {
		g.Expect(e.Stats().Overcommits).To(BeZero(), "according to %s", name)
	}
}

// TestRollingRestartDropsNoRequests restarts all boxes one after another under load,
// behind a load balancer that polls their readiness with a delay.
func TestRollingRestartDropsNoRequests(t *testing.T) {
	g := NewWithT(t)
	c := newCluster(t, 3, 2)
	defer c.dumpLogs()
	c.addServiceAndModel()
	c.startReady()
	c.awaitModelCopies()
	ledger := newCallLedger(t)
	balancer := newBalancer(c)
	ctx, stopLoad := context.WithCancel(context.Background())
	go balancer.pollReadiness(ctx)
	var wg sync.WaitGroup
	for i := range 12 {
		rng := rand.New(rand.NewPCG(6, uint64(i)))
		wg.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				single := *c
				single.boxes = []*boxProcess{balancer.pick(rng)}
				id := fmt.Sprintf("call-%d-%d", i, n)
				if i%2 == 0 {
					ledger.sendChat(context.Background(), &single, id, true, rng)
				} else {
					ledger.placeUnkeyedOrder(context.Background(), &single, id, rng)
				}
			}
		})
	}
	for _, b := range c.boxes {
		g.Expect(b.stop()).To(BeZero(), "a planned shutdown must exit with status 0")
		b.start()
		eventually(t, "the box is ready again", 15*time.Second, func() bool { return b.get("/readyz") == http.StatusOK })
		time.Sleep(300 * time.Millisecond)
	}
	stopLoad()
	wg.Wait()
	ledger.audit(c)
	g.Expect(ledger.counts["no answer"]).To(BeZero(), "every request must get an answer")
	g.Expect(ledger.counts["unknown"]).To(BeZero())
	g.Expect(ledger.counts["done"]).To(BeNumerically(">", 500))
}

// balancer picks among the boxes that were ready in its last poll.
type balancer struct {
	c     *cluster
	mu    sync.Mutex
	ready []*boxProcess
}

func newBalancer(c *cluster) *balancer { return &balancer{c: c, ready: c.boxes} }

func (b *balancer) pollReadiness(ctx context.Context) {
	for ctx.Err() == nil {
		var ready []*boxProcess
		for _, box := range b.c.boxes {
			if box.get("/readyz") == http.StatusOK {
				ready = append(ready, box)
			}
		}
		time.Sleep(100 * time.Millisecond) // makes the result stale
		b.mu.Lock()
		b.ready = ready
		b.mu.Unlock()
	}
}

func (b *balancer) pick(rng *rand.Rand) *boxProcess {
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

// TestDrainingServerGetsNoNewRequests drains a server under load through all boxes, by
// each of the three sources: the server's own state report, the platform's list and
// the fleet file. The first way is also tested without control boxes.
func TestDrainingServerGetsNoNewRequests(t *testing.T) {
	for _, source := range []string{"its own report", "the platform's list", "the fleet file", "its own report without control boxes"} {
		t.Run(source, func(t *testing.T) {
			g := NewWithT(t)
			c := newCluster(t, 3, 4)
			defer c.dumpLogs()
			c.addServiceAndModel()
			c.startReady()
			c.awaitModelCopies()
			if strings.Contains(source, "without") {
				c.awaitReplication() // updates that only the killed boxes have are lost to the rest
				for _, b := range c.boxes[:3] {
					b.signal(syscall.SIGKILL)
				}
				c.boxes = c.boxes[3:]
			}
			ledger := newCallLedger(t)
			ctx, stopLoad := context.WithCancel(context.Background())
			defer stopLoad()
			var wg sync.WaitGroup
			for i := range 8 {
				rng := rand.New(rand.NewPCG(7, uint64(i)))
				wg.Go(func() {
					for n := 0; ctx.Err() == nil; n++ {
						ledger.sendChat(context.Background(), c, fmt.Sprintf("call-%d-%d", i, n), false, rng)
					}
				})
			}
			time.Sleep(500 * time.Millisecond)
			c.drainServer(source, "engine0")
			time.Sleep(3 * time.Second)
			drainingRuns := totalRuns(c.engines["engine0"])
			g.Expect(drainingRuns).To(BeNumerically(">", 20))
			otherRuns := totalRuns(c.engines["engine1"])
			time.Sleep(1500 * time.Millisecond)
			g.Expect(totalRuns(c.engines["engine0"])).To(Equal(drainingRuns), "it must get no requests from 3 s after it started draining")
			g.Expect(totalRuns(c.engines["engine1"])).To(BeNumerically(">", otherRuns+20), "the other server must take the load")
			stopLoad()
			wg.Wait()
		})
	}
}

// awaitReplication waits until all boxes have the state that is committed now.
func (c *cluster) awaitReplication() {
	c.t.Helper()
	s := c.readStatus()
	if s == nil {
		c.t.Fatal("no box returned its status")
	}
	eventually(c.t, "all boxes have the committed state", 30*time.Second, func() bool {
		for _, b := range c.boxes {
			if b.metric("leverdrum_state_index") < float64(s.Index) {
				return false
			}
		}
		return true
	})
}

// totalRuns returns the number of requests that the server has run.
func totalRuns(e *standin.Engine) int {
	sum := 0
	for _, n := range e.Stats().Runs {
		sum += n
	}
	return sum
}

// drainServer reports the server as draining through the given source.
func (c *cluster) drainServer(source, server string) {
	switch {
	case strings.HasPrefix(source, "its own report"):
		c.engines[server].SetFaults(standin.Faults{Draining: true})
	case source == "the platform's list":
		c.platform.Replace([]platform.Machine{{Name: server, Draining: true}})
	case source == "the fleet file":
		c.fleetText = strings.Replace(c.fleetText, "[server "+server+"]\n", "[server "+server+"]\nleaving = true\n", 1)
		c.awaitAccepted(2)
	}
}
