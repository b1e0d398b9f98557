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
	c := New(Options{InBackoff: func(server string) bool { return server == "rests" }})
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

// A server is room that is missing while enough boxes say that it rests for long, and no longer.
func TestServersThatRestToManyBoxesAreRoomThatIsMissing(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	view := agreedServers(map[string]uint64{"rests": 1, "works": 1})
	for i := range 10 {
		view.Members[string(rune('a'+i))] = &wire.Member{}
	}
	now := time.Now()
	tell := func(box, server string, left time.Duration) {
		c.noteRests(&wire.Forward{Box: box, Rests: []*wire.ServerRest{{Server: server, LeftMs: uint32(left.Milliseconds())}}}, now)
	}
	tell("a", "rests", 3*time.Second)
	tell("a", "rests", 3*time.Second)
	g.Expect(c.restingServers(view, now)).To(BeEmpty(), "to one of ten")
	tell("b", "rests", time.Hour)
	tell("b", "unknown", time.Hour)
	g.Expect(c.restingServers(view, now)).To(Equal(map[string]bool{"rests": true}))
	now = now.Add(4 * time.Second)
	g.Expect(c.restingServers(view, now)).To(BeEmpty(), "one of the two rests has ended")
	tell("a", "rests", time.Hour)
	now = now.Add(maxRest + time.Second)
	g.Expect(c.restingServers(view, now)).To(BeEmpty(), "nobody tells it any more")
	g.Expect(c.resting).To(BeEmpty())
}
