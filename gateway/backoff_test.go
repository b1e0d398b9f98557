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
	"leverdrum/internal/attest"
	"leverdrum/pushback"
	"leverdrum/reason"
	"leverdrum/state"
	"leverdrum/wire"
)

// A backoff that begins while a connection is being opened also applies to the request that is to
// use it: nothing is sent, the connection is kept, and the attempt counts as not run.
func TestBackoffDuringDialIsHonored(t *testing.T) {
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
		n, _ := c.Read(make([]byte, 100)) // returns when the connection is closed
		got <- n
	}()
	to := newConnPool(l.Addr().String())
	o := &outgoing{method: "POST", target: "/", host: "h", id: "r", refusal: func() *failure { return notRun(reason.ServersInBackoff, ErrInBackoff) }}
	_, f := exchange(context.Background(), to, o, &attest.Headers{RequestID: "X-Request-Id"}, 0, nil)
	g.Expect(f).NotTo(BeNil())
	g.Expect(f.outcome).To(Equal(reason.NotRun))
	g.Expect(errors.Is(f.cause, ErrInBackoff)).To(BeTrue())
	g.Expect(f.unsent()).To(BeTrue())
	to.close()
	g.Eventually(got).Should(Receive(BeZero()))
}

// Where the only server is in backoff, requests for its model wait for a copy that is ready before
// the backoff ends and within their callers' patience. Otherwise they are refused at once, with
// the time at which the backoff ends.
func TestRequestsWaitForACopyReadyBeforeBackoffEnds(t *testing.T) {
	for _, row := range []struct {
		name             string
		backoff, readyIn time.Duration
		want             *reason.Reason // nil: the request is sent to the copy
	}{
		{"copy is ready first", 5 * time.Second, time.Second, nil},
		{"backoff ends first", time.Second, 2 * time.Second, reason.ServersInBackoff},
		{"no copy is loading", 5 * time.Second, 0, reason.ServersInBackoff},
		{"copy is ready after the caller's patience", 20 * time.Second, 4 * time.Second, reason.ServersInBackoff},
	} {
		synctest.Test(t, func(t *testing.T) {
			g := NewWithT(t)
			start := time.Now()
			registry := pushback.New(pushback.Options{Now: func() time.Duration { return time.Since(start) }, Boxes: func() int { return 1 }, Log: zap.NewNop()})
			gate := New(Options{View: state.New, Pushback: registry, Notify: func(Notice) {}})
			backedOff, copied := newServer(&wire.Announcement{Id: "i1", Slots: 4, Address: "127.0.0.1:1"}), newServer(&wire.Announcement{Id: "i2", Slots: 4, Address: "127.0.0.1:2"})
			registry.Observe("i1", "r", dialect.Report{Backoff: row.backoff})
			f := fleet.New()
			f.Models["m"] = &fleet.Model{Name: "m"}
			set := func(ready ...*server) {
				p := &pool{Pool: &fleet.Pool{Name: "p", Kind: &fleet.Kind{}}, readyAt: map[string]time.Time{}, ready: map[string][]*server{"m": ready}}
				if row.readyIn > 0 {
					p.readyAt["m"] = start.Add(row.readyIn)
				}
				gate.dir.current.Store(&table{pools: map[string]*pool{"p": p}, fleet: f})
			}
			set(backedOff)
			if row.readyIn > 0 {
				time.AfterFunc(row.readyIn, func() { set(backedOff, copied) })
			}
			j := &job{g: gate, route: &fleet.Route{Kind: fleet.Streaming, LatencyTarget: 5 * time.Second, FirstEventTimeout: 3 * time.Second}, poolName: "p", arrived: start, prompt: dialect.Prompt{Model: "m"}}
			j.deadline = start.Add(15 * time.Second)
			c, refusal := j.findServer(context.Background())
			g.Expect(refusal).To(Equal(row.want), row.name)
			if row.want == nil {
				g.Expect(c.server).To(BeIdenticalTo(copied), row.name)
				return
			}
			g.Expect(time.Since(start)).To(BeZero(), "at once: %s", row.name)
			g.Expect(j.retryAfter).To(BeNumerically("~", row.backoff, 10*time.Millisecond), row.name)
		})
	}
}
