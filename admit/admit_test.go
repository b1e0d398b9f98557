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

// newGate returns a gate before one server with room for two, which holds a
// model of a common and one of an urgent class.
func newGate(t *testing.T) (*admit.Controller, *route.Table) {
	st, err := standin.Agreed(`
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
		standin.Ready(st, "s", 0, &wire.Item{Model: m, Version: "1"}, 1)
	}
	d := route.NewDirectory("a")
	d.Update(st)
	return admit.NewController(d), d.Table()
}

// noting guards what the tests note of several requests.
var noting sync.Mutex

// run enters, reports whether it may start and after what wait, and works.
func run(g *admit.Controller, target *route.Target, caller string, work time.Duration, entered func(why *reason.Reason, waited time.Duration)) {
	began := time.Now()
	t := &admit.Request{Target: target, Caller: caller, Deadline: began.Add(target.Class.Deadline)}
	b, why := g.Acquire(context.Background(), t)
	noting.Lock()
	entered(why, time.Since(began))
	noting.Unlock()
	if why == nil {
		time.Sleep(work)
		g.Release(b, t, work)
	}
}

const work = 200 * time.Millisecond

// teach lets the gate see how long an answer takes.
func teach(g *admit.Controller, table *route.Table) {
	run(g, table.Models["common"], "x", work, func(*reason.Reason, time.Duration) {})
	run(g, table.Models["urgent"], "x", work, func(*reason.Reason, time.Duration) {})
}

func TestUrgentGoesFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate, table := newGate(t)
		teach(gate, table)
		var order []string
		note := func(name string) func(*reason.Reason, time.Duration) {
			return func(why *reason.Reason, _ time.Duration) {
				if why == nil {
					order = append(order, name)
				}
			}
		}
		for i, name := range []string{"common", "common", "common", "common", "urgent"} {
			go run(gate, table.Models[name], "c", work+time.Duration(i), note(fmt.Sprint(name, i))) // none ends with another
			synctest.Wait()
		}
		time.Sleep(time.Second)
		synctest.Wait()
		noting.Lock()
		defer noting.Unlock()
		NewWithT(t).Expect(order[2:3]).To(Equal([]string{"urgent4"}), "%v", order)
	})
}

func TestCallersTakeTurns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate, table := newGate(t)
		teach(gate, table)
		var order []string
		for i, caller := range []string{"greedy", "greedy", "greedy", "greedy", "modest"} {
			go run(gate, table.Models["common"], caller, work+time.Duration(i), func(why *reason.Reason, _ time.Duration) {
				if why == nil {
					order = append(order, caller)
				}
			})
			synctest.Wait()
		}
		time.Sleep(time.Second)
		synctest.Wait()
		noting.Lock()
		defer noting.Unlock()
		NewWithT(t).Expect(order[2]).To(Equal("modest"), "%v", order)
	})
}

func TestHopelessIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate, table := newGate(t)
		teach(gate, table)
		answered, refused := 0, 0
		var longest time.Duration
		for range 40 {
			go run(gate, table.Models["common"], "c", work, func(why *reason.Reason, waited time.Duration) {
				if why == nil {
					answered++
					return
				}
				refused++
				longest = max(longest, waited)
			})
			synctest.Wait()
		}
		g := NewWithT(t)
		noting.Lock()
		g.Expect(refused).To(BeNumerically(">=", 30), "most must be refused on arrival")
		g.Expect(longest).To(BeZero())
		noting.Unlock()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		noting.Lock()
		defer noting.Unlock()
		g.Expect(answered + refused).To(Equal(40))
		g.Expect(answered).To(BeNumerically(">=", 6), "four rounds of two fit into the deadline, less what is kept for late ones")
		g.Expect(longest).To(BeNumerically("<=", time.Second-work), "nobody waits when its own work does not fit any more (3)")
	})
}

// TestWaitingEndsWithOwnWork has a request wait for a server that hangs: it is
// given up when its own work does not fit any more, not at its deadline.
func TestWaitingEndsWithOwnWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate, table := newGate(t)
		teach(gate, table)
		for range 2 {
			go run(gate, table.Models["common"], "hang", 10*time.Second, func(*reason.Reason, time.Duration) {})
			synctest.Wait()
		}
		var waited time.Duration
		var why *reason.Reason
		run(gate, table.Models["urgent"], "c", work, func(r *reason.Reason, w time.Duration) { why, waited = r, w })
		g := NewWithT(t)
		g.Expect(why).To(Equal(reason.Overloaded))
		g.Expect(waited).To(BeNumerically("<=", time.Second-work))
		g.Expect(gate.Waiting()).To(BeZero())
		time.Sleep(20 * time.Second)
	})
}

func TestHangingUpGivesTheTurnAway(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate, table := newGate(t)
		target := table.Models["common"]
		for range 2 {
			go run(gate, target, "c", work, func(*reason.Reason, time.Duration) {})
			synctest.Wait()
		}
		ctx, cancel := context.WithCancel(context.Background())
		go gate.Acquire(ctx, &admit.Request{Target: target, Caller: "gone", Deadline: time.Now().Add(time.Second)})
		synctest.Wait()
		g := NewWithT(t)
		g.Expect(gate.Waiting()).To(Equal(1))
		cancel()
		synctest.Wait()
		g.Expect(gate.Waiting()).To(BeZero())
		time.Sleep(time.Second)
		synctest.Wait()
		noting.Lock()
		defer noting.Unlock()
		g.Expect(target.Backends[0].InFlight()).To(BeZero())
	})
}

func TestLateFirstEventIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		gate, table := newGate(t)
		enter := func(firstBy time.Duration) (*admit.Request, *route.Backend, *reason.Reason) {
			now := time.Now()
			k := &admit.Request{Target: table.Models["common"], Deadline: now.Add(time.Hour), FirstEventDeadline: now.Add(firstBy)}
			b, why := gate.Acquire(context.Background(), k)
			return k, b, why
		}
		k, b, _ := enter(time.Second)
		time.Sleep(work)
		gate.RecordFirstEvent(k, work)
		gate.Release(b, k, work)
		for range 2 { // both places are taken
			_, _, why := enter(time.Second)
			NewWithT(t).Expect(why).To(BeNil())
		}
		began := time.Now()
		_, _, why := enter(work / 2)
		g := NewWithT(t)
		g.Expect(why).To(Equal(reason.Overloaded))
		g.Expect(time.Since(began)).To(BeZero())
		_, _, why = enter(2 * work)
		g.Expect(why).To(Equal(reason.Overloaded))
		g.Expect(time.Since(began)).To(BeNumerically("<", 2*work), "it is told while the first event could still come in time elsewhere")
	})
}
