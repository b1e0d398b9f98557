package admit_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/admit"
	"leverdrum/reason"
	"leverdrum/route"
	"leverdrum/standin"
	"leverdrum/wire"
)

// newController returns a controller for one server with concurrency 2 that
// serves a model of a common class and one of an urgent class.
func newController(t *testing.T) (*admit.Controller, *route.Table) {
	st, err := standin.CommittedState(`
[fleet]
number = 1
[hall a]
[class common]
deadline = 1s
[class urgent]
deadline = 1s
priority = 9
[kind k]
memory = 1GiB
concurrency = 2
[server s]
address = 127.0.0.1:1
hall = a
kind = k
[model common]
version = 1
memory = 1B
class = common
[model urgent]
version = 1
memory = 1B
class = urgent
`)
	if err != nil {
		t.Fatal(err)
	}
	for _, m := range []string{"common", "urgent"} {
		standin.AddReadyResident(st, "s", 0, &wire.Item{Model: m, Version: "1"}, 1)
	}
	d := route.NewDirectory("a")
	d.Update(st)
	return admit.NewController(d), d.Table()
}

// resultsMu protects the results that concurrent requests record.
var resultsMu sync.Mutex

// run acquires a slot, passes the refusal and the wait to record, and on success
// holds the slot for the duration of work.
func run(c *admit.Controller, target *route.Target, caller string, work time.Duration, record func(refusal *reason.Reason, waited time.Duration)) {
	startedAt := time.Now()
	r := &admit.Request{Target: target, Caller: caller, Deadline: startedAt.Add(target.Class.Deadline)}
	b, refusal := c.Acquire(context.Background(), r)
	resultsMu.Lock()
	record(refusal, time.Since(startedAt))
	resultsMu.Unlock()
	if refusal == nil {
		time.Sleep(work)
		c.Release(b, r, work)
	}
}

const work = 200 * time.Millisecond

// trainEstimates records one answer time for each model.
func trainEstimates(c *admit.Controller, table *route.Table) {
	run(c, table.Models["common"], "x", work, func(*reason.Reason, time.Duration) {})
	run(c, table.Models["urgent"], "x", work, func(*reason.Reason, time.Duration) {})
}

func TestHigherPriorityStartsFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller, table := newController(t)
		trainEstimates(controller, table)
		var order []string
		record := func(name string) func(*reason.Reason, time.Duration) {
			return func(refusal *reason.Reason, _ time.Duration) {
				if refusal == nil {
					order = append(order, name)
				}
			}
		}
		for i, name := range []string{"common", "common", "common", "common", "urgent"} {
			go run(controller, table.Models[name], "c", work+time.Duration(i), record(fmt.Sprint(name, i))) // no two end at the same time
			synctest.Wait()
		}
		time.Sleep(time.Second)
		synctest.Wait()
		resultsMu.Lock()
		defer resultsMu.Unlock()
		NewWithT(t).Expect(order[2:3]).To(Equal([]string{"urgent4"}), "%v", order)
	})
}

func TestFairnessBetweenCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller, table := newController(t)
		trainEstimates(controller, table)
		var order []string
		for i, caller := range []string{"greedy", "greedy", "greedy", "greedy", "modest"} {
			go run(controller, table.Models["common"], caller, work+time.Duration(i), func(refusal *reason.Reason, _ time.Duration) {
				if refusal == nil {
					order = append(order, caller)
				}
			})
			synctest.Wait()
		}
		time.Sleep(time.Second)
		synctest.Wait()
		resultsMu.Lock()
		defer resultsMu.Unlock()
		NewWithT(t).Expect(order[2]).To(Equal("modest"), "%v", order)
	})
}

func TestRefusesUnattainableDeadlineImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller, table := newController(t)
		trainEstimates(controller, table)
		answered, refused := 0, 0
		var longest time.Duration
		for range 40 {
			go run(controller, table.Models["common"], "c", work, func(refusal *reason.Reason, waited time.Duration) {
				if refusal == nil {
					answered++
					return
				}
				refused++
				longest = max(longest, waited)
			})
			synctest.Wait()
		}
		g := NewWithT(t)
		resultsMu.Lock()
		g.Expect(refused).To(BeNumerically(">=", 30), "most must be refused immediately")
		g.Expect(longest).To(BeZero())
		resultsMu.Unlock()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		resultsMu.Lock()
		defer resultsMu.Unlock()
		g.Expect(answered + refused).To(Equal(40))
		g.Expect(answered).To(BeNumerically(">=", 6), "four rounds of two fit into the deadline, less the margin for late answers")
		g.Expect(longest).To(BeNumerically("<=", time.Second-work), "no request waits once its own work no longer fits before the deadline (3)")
	})
}

// TestWaitEndsWhenRequestCannotFinish checks that a request waiting for a server
// that hangs is given up when its own work no longer fits, not at its deadline.
func TestWaitEndsWhenRequestCannotFinish(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller, table := newController(t)
		trainEstimates(controller, table)
		for range 2 {
			go run(controller, table.Models["common"], "hang", 10*time.Second, func(*reason.Reason, time.Duration) {})
			synctest.Wait()
		}
		var waited time.Duration
		var refusal *reason.Reason
		run(controller, table.Models["urgent"], "c", work, func(r *reason.Reason, w time.Duration) { refusal, waited = r, w })
		g := NewWithT(t)
		g.Expect(refusal).To(Equal(reason.Overloaded))
		g.Expect(waited).To(BeNumerically("<=", time.Second-work))
		g.Expect(controller.Waiting()).To(BeZero())
		time.Sleep(20 * time.Second)
	})
}

func TestCancelledRequestLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller, table := newController(t)
		target := table.Models["common"]
		for range 2 {
			go run(controller, target, "c", work, func(*reason.Reason, time.Duration) {})
			synctest.Wait()
		}
		ctx, cancel := context.WithCancel(context.Background())
		go controller.Acquire(ctx, &admit.Request{Target: target, Caller: "gone", Deadline: time.Now().Add(time.Second)})
		synctest.Wait()
		g := NewWithT(t)
		g.Expect(controller.Waiting()).To(Equal(1))
		cancel()
		synctest.Wait()
		g.Expect(controller.Waiting()).To(BeZero())
		time.Sleep(time.Second)
		synctest.Wait()
		resultsMu.Lock()
		defer resultsMu.Unlock()
		g.Expect(target.Backends[0].InFlight()).To(BeZero())
	})
}

func TestRefusesLateFirstEventImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		controller, table := newController(t)
		enter := func(firstBy time.Duration) (*admit.Request, *route.Backend, *reason.Reason) {
			now := time.Now()
			r := &admit.Request{Target: table.Models["common"], Deadline: now.Add(time.Hour), FirstEventDeadline: now.Add(firstBy)}
			b, refusal := controller.Acquire(context.Background(), r)
			return r, b, refusal
		}
		k, b, _ := enter(time.Second)
		time.Sleep(work)
		controller.RecordFirstEvent(k, work)
		controller.Release(b, k, work)
		for range 2 { // both slots are taken
			_, _, refusal := enter(time.Second)
			NewWithT(t).Expect(refusal).To(BeNil())
		}
		startedAt := time.Now()
		_, _, refusal := enter(work / 2)
		g := NewWithT(t)
		g.Expect(refusal).To(Equal(reason.Overloaded))
		g.Expect(time.Since(startedAt)).To(BeZero())
		_, _, refusal = enter(2 * work)
		g.Expect(refusal).To(Equal(reason.Overloaded))
		g.Expect(time.Since(startedAt)).To(BeNumerically("<", 2*work), "it is refused while the first event could still come in time elsewhere")
	})
}
