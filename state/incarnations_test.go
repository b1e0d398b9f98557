package state_test

import (
	"testing"

	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"leverdrum/state"
	"leverdrum/wire"
)

// entries applies commands in order.
type entries struct {
	*state.State
	t *testing.T
}

func (e *entries) apply(c *wire.Command) state.Result {
	data, err := proto.Marshal(c)
	if err != nil {
		e.t.Fatal(err)
	}
	return e.Apply(&wire.Entry{Index: e.Index + 1, Term: 1, Kind: wire.EntryKind_ENTRY_COMMAND, Data: data})
}

func announcement(born uint64, id string, models ...string) *wire.Command {
	a := &wire.Announcement{Id: id, Name: "i-1", BornMs: born, Service: "s", Address: "10.0.0.9:80", Slots: 4, Engine: true}
	for _, m := range models {
		a.Residents = append(a.Residents, &wire.Item{Model: m, Version: "v"})
	}
	return &wire.Command{Kind: &wire.Command_Announce{Announce: a}}
}

// When a server restarts under its name, the residents, open orders and draining mark of its previous incarnation must
// end, and late messages of that incarnation must be ignored.
func TestNewIncarnationReplacesPrevious(t *testing.T) {
	g := NewWithT(t)
	e := &entries{state.New(), t}
	e.apply(announcement(1000, "i-1~1000", "m1"))
	e.apply(&wire.Command{Kind: &wire.Command_Withdraw{Withdraw: &wire.Withdraw{Id: "i-1~1000"}}})
	e.Orders.Set(9, &wire.Order{Id: 9, Server: "i-1~1000", Item: &wire.Item{Model: "m2"}})
	e.Servers.Set("i-1~1000", &wire.ServerState{Name: "i-1~1000", Ordered: 2})

	e.apply(announcement(2000, "i-1~2000"))
	g.Expect(e.Announcements.Len()).To(Equal(1))
	next := e.Announcements.Get("i-1~2000")
	g.Expect(next.Leaving).To(BeFalse(), "only the previous incarnation was draining")
	g.Expect(next.Heir).To(BeTrue(), "an order to the previous incarnation was open and may still arrive")
	g.Expect(e.Residents.Len()).To(BeZero())
	g.Expect(e.Orders.Len()).To(BeZero())
	g.Expect(e.Servers.Get("i-1~2000").Ordered).To(BeEquivalentTo(2), "two leaders still keep the pause between their orders")
	g.Expect(e.Servers.Len()).To(Equal(1))

	e.apply(announcement(1000, "i-1~1000", "m1"))
	g.Expect(e.Announcements.Len()).To(Equal(1), "a late announcement of the previous incarnation")
	g.Expect(e.Residents.Len()).To(BeZero())
	back, err := state.Decode(e.Encode())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(back.Announcements.Get("i-1~2000").Heir).To(BeTrue())
}
