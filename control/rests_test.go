package control

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/engine"
	"leverdrum/wire"
)

func TestServersThatRestGetNoOrders(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{Rests: func(server string) bool { return server == "rests" }})
	c.ledSince = time.Now().Add(-time.Hour)
	held := c.held(agreedServers(map[string]uint64{"rests": 1, "works": 1}), time.Now())
	g.Expect(held).To(Equal(map[string]bool{"rests": true}))
}

// resting is a model server that asked for a rest after its order was agreed.
type resting struct{ reporter }

func (r *resting) Give(context.Context, string, *engine.CountedOrder) (engine.Verdict, error) {
	return "", engine.ErrResting
}

// An order that was not sent for a rest has not run, and its memory is free at once; one that an earlier sending may have brought
// there stays open.
func TestAnOrderThatWasNotSentForARestIsClosed(t *testing.T) {
	g := NewWithT(t)
	c := newLeader(t)
	c.opts.Counting = &resting{}
	order := &wire.Order{Id: 3, Server: "s", Action: wire.OrderAction_ORDER_LOAD, Item: &wire.Item{Model: "m", Version: "v"}}
	out, done := (&counted{c: c, order: order, known: true}).step(context.Background())
	g.Expect(done).To(BeTrue())
	g.Expect(out.Done).To(BeFalse())
	_, done = (&counted{c: c, order: order, known: true, unsure: true}).step(context.Background())
	g.Expect(done).To(BeFalse())
}
