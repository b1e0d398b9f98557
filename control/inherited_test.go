package control

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/engine"
	"leverdrum/wire"
)

// reporter is a model server that only reports.
type reporter struct {
	modelLoaded atomic.Bool
	delivered   atomic.Int64
}

func (r *reporter) Report(context.Context, string, string) (*engine.Report, error) {
	return &engine.Report{Count: 7, ReadyItems: map[[2]string]bool{{"m", ""}: r.modelLoaded.Load()}}, nil
}

func (r *reporter) SendOrder(context.Context, string, *engine.CountedOrder) (engine.Verdict, error) {
	r.delivered.Add(1)
	return engine.Accepted, nil
}

// Copies that were loaded during a change of leader stayed unused for three more seconds, and the
// orders for them blocked further loads.
func TestInheritedOrderClosesOnceDone(t *testing.T) {
	g := NewWithT(t)
	c := newLeader(t)
	r := &reporter{}
	c.opts.Counting, c.opts.OrderPause = r, 500*time.Millisecond
	c.mu.Lock()
	c.leadingSince = time.Now()
	c.mu.Unlock()
	order := &wire.Order{Id: 3, Server: "s", Action: wire.OrderAction_ORDER_LOAD, Item: &wire.Item{Model: "m", Version: "v"}}
	step := func() (engine.Outcome, bool) {
		x := &countedDelivery{c: c, order: order, unconfirmed: true, inherited: true}
		return x.step(context.Background())
	}
	_, done := step()
	g.Expect(done).To(BeFalse(), "it may still arrive")
	r.modelLoaded.Store(true)
	out, done := step()
	g.Expect(done).To(BeTrue())
	g.Expect(out.Done).To(BeTrue())
	r.modelLoaded.Store(false)
	g.Eventually(func() bool { _, done := step(); return done }, 10*time.Second).Should(BeTrue(), "once the pause is over")
	g.Expect(c.leadingFor()).To(BeNumerically(">=", c.opts.OrderPause))
	g.Expect(r.delivered.Load()).To(BeZero(), "orders of another leader are not retried")
}
