package control

import (
	"context"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/engine"
	"leverdrum/wire"
)

func TestServersInBackoffGetNoOrders(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{InBackoff: func(server string) bool { return server == "rests" }})
	c.leadingSince = time.Now().Add(-time.Hour)
	held := c.heldServers(committedServers(map[string]uint64{"rests": 1, "works": 1}), time.Now())
	g.Expect(held).To(Equal(map[string]bool{"rests": true}))
}

// backoffServer is a model server that asked for a backoff after its order was committed.
type backoffServer struct{ reporter }

func (r *backoffServer) SendOrder(context.Context, string, *engine.CountedOrder) (engine.Verdict, error) {
	return "", engine.ErrInBackoff
}

// An order that was not sent because of a backoff has not run, and its memory is free at once. An
// order that an earlier attempt may have delivered stays open.
func TestOrderNotSentDueToBackoffIsClosed(t *testing.T) {
	g := NewWithT(t)
	c := newLeader(t)
	c.opts.Counting = &backoffServer{}
	order := &wire.Order{Id: 3, Server: "s", Action: wire.OrderAction_ORDER_LOAD, Item: &wire.Item{Model: "m", Version: "v"}}
	out, done := (&countedDelivery{c: c, order: order, countKnown: true}).step(context.Background())
	g.Expect(done).To(BeTrue())
	g.Expect(out.Done).To(BeFalse())
	_, done = (&countedDelivery{c: c, order: order, countKnown: true, unconfirmed: true}).step(context.Background())
	g.Expect(done).To(BeFalse())
}

// A server is missing capacity while enough boxes report a long backoff, and no longer.
func TestServersInBackoffToManyBoxesAreMissingCapacity(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	view := committedServers(map[string]uint64{"rests": 1, "works": 1})
	for i := range 10 {
		view.Members[string(rune('a'+i))] = &wire.Member{}
	}
	now := time.Now()
	report := func(box, server string, left time.Duration) {
		c.noteBackoffs(&wire.Forward{Box: box, Rests: []*wire.ServerRest{{Server: server, LeftMs: uint32(left.Milliseconds())}}}, now)
	}
	report("a", "rests", 3*time.Second)
	report("a", "rests", 3*time.Second)
	g.Expect(c.serversInBackoff(view, now)).To(BeEmpty(), "to one of ten")
	report("b", "rests", time.Hour)
	report("b", "unknown", time.Hour)
	g.Expect(c.serversInBackoff(view, now)).To(Equal(map[string]bool{"rests": true}))
	now = now.Add(4 * time.Second)
	g.Expect(c.serversInBackoff(view, now)).To(BeEmpty(), "one of the two backoffs has ended")
	report("a", "rests", time.Hour)
	now = now.Add(maxBackoffTTL + time.Second)
	g.Expect(c.serversInBackoff(view, now)).To(BeEmpty(), "no box reports it any more")
	g.Expect(c.backoffs).To(BeEmpty())
}
