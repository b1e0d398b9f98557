package gateway

import (
	"context"
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"

	"leverdrum/dialect"
	"leverdrum/fleet"
	"leverdrum/pushback"
	"leverdrum/reason"
	"leverdrum/state"
	"leverdrum/wire"
)

// A rest that begins while a connection is being opened holds for the request that is to go on it, too: nothing is sent, the
// connection is kept, and the attempt has not run.
func TestARestThatBeginsWhileAConnectionIsOpenedHolds(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer l.Close()
	got := make(chan int, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		n, _ := c.Read(make([]byte, 100)) // ends with the connection
		got <- n
	}()
	to := newConns(l.Addr().String())
	o := &outgoing{method: "POST", target: "/", host: "h", id: "r", sendable: func() bool { return false }}
	_, f := exchange(context.Background(), to, o, "X-Request-Id", 0, nil)
	g.Expect(f).NotTo(BeNil())
	g.Expect(f.outcome).To(Equal(reason.NotRun))
	g.Expect(errors.Is(f.cause, ErrInBackoff)).To(BeTrue())
	g.Expect(f.unsent()).To(BeTrue())
	to.close()
	g.Eventually(got).Should(Receive(BeZero()))
}

// Where the only server rests, requests for its model wait for a copy that comes sooner than the rest ends and while their callers
// wait; else they are refused at once, with the time at which the rest ends.
func TestRequestsWaitForACopyThatComesBeforeTheRestEnds(t *testing.T) {
	for _, row := range []struct {
		name         string
		rest, coming time.Duration
		want         *reason.Reason // nil: it finds the copy
	}{
		{"a copy comes first", 5 * time.Second, time.Second, nil},
		{"the rest ends first", time.Second, 2 * time.Second, reason.ServersResting},
		{"no copy comes", 5 * time.Second, 0, reason.ServersResting},
		{"the caller does not wait for the copy", 20 * time.Second, 4 * time.Second, reason.ServersResting},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			began := time.Now()
			said := pushback.New(pushback.Options{Now: func() time.Duration { return time.Since(began) }, Boxes: func() int { return 1 }, Log: zap.NewNop()})
			gate := New(Options{View: state.New, Pushback: said, Notify: func(Notice) {}})
			rests, copied := newServer(&wire.Announcement{Id: "i1", Slots: 4, Address: "127.0.0.1:1"}), newServer(&wire.Announcement{Id: "i2", Slots: 4, Address: "127.0.0.1:2"})
			said.Observe("i1", "r", dialect.Report{Backoff: row.rest})
			f := fleet.New()
			f.Models["m"] = &fleet.Model{Name: "m"}
			set := func(holding ...*server) {
				p := &pool{Pool: &fleet.Pool{Name: "p", Kind: &fleet.Kind{}}, coming: map[string]time.Time{}, ready: map[string][]*server{"m": holding}}
				if row.coming > 0 {
					p.coming["m"] = began.Add(row.coming)
				}
				gate.dir.current.Store(&table{pools: map[string]*pool{"p": p}, fleet: f})
			}
			set(rests)
			if row.coming > 0 {
				time.AfterFunc(row.coming, func() { set(rests, copied) })
			}
			j := &job{g: gate, route: &fleet.Route{Kind: fleet.Streaming, Aim: 5 * time.Second, Patience: 3 * time.Second}, poolName: "p", arrived: began, prompt: dialect.Prompt{Model: "m"}}
			j.deadline = began.Add(15 * time.Second)
			c, why := j.find(context.Background())
			g.Expect(why).To(Equal(row.want), row.name)
			if row.want == nil {
				g.Expect(c.server).To(BeIdenticalTo(copied), row.name)
				return
			}
			g.Expect(time.Since(began)).To(BeZero(), "at once: %s", row.name)
			g.Expect(j.after).To(BeNumerically("~", row.rest, 10*time.Millisecond), row.name)
		})
	}
}
