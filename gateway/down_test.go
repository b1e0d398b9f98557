package gateway

import (
	"context"
	"net"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/dialect"
	"leverdrum/fleet"
	"leverdrum/level"
	"leverdrum/state"
	"leverdrum/wire"
)

// Guards against retries that exhaust a request's attempts. Requests for a model whose only server
// had crashed tried it four times at once and were given up, while the model was about to be
// loaded elsewhere.
func TestDownServerIsProbedByOneRequestAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := newDirectory("h", 0, nil)
		list := newServers(1)
		s := list[0]
		w := criteria{prefillRate: defaultPrefillRate, prompt: newPrompt("m", 1)}
		g.Expect(s.setDown(time.Now())).To(BeTrue())
		g.Expect(d.choose(list, w).server).To(BeNil())
		g.Expect(d.anyUp(list)).To(BeFalse(), "its models count as not resident")
		time.Sleep(probeEvery)
		g.Expect(d.choose(list, w).server).To(Equal(s), "one request probes it")
		g.Expect(d.choose(list, w).server).To(BeNil(), "and no other in the meantime")
		s.beginAttempt(time.Now(), 0)
		s.recordFirstEvent(time.Now(), time.Now(), 0)
		g.Expect(d.choose(list, w).server).To(Equal(s), "it is up again")
	})
}

// Guards against requests that another box relays to a server whose draining duration has passed: a box that
// does not reach the server itself used it on, and the relaying box, started since, did not know for how long it has been draining.
func TestDrainedServerGetsNoRelayedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		const drainingDuration = time.Minute
		d := newDirectory("h", drainingDuration, nil)
		open := func(context.Context, string, *wire.RelayRequest) (RelayStream, bool, error) {
			return nil, false, Error.New("no box relays")
		}
		d.relays = newRelays(open, "", func() *state.State { return &state.State{Level: level.Relays} })
		list := newServers(1)
		s := list[0]
		s.pool.dialer = func(context.Context, string) (net.Conn, error) { return nil, Error.New("unreachable") }
		w := criteria{prefillRate: defaultPrefillRate, prompt: newPrompt("m", 1)}
		s.markDraining(time.Now())
		g.Expect(s.setDown(time.Now())).To(BeTrue())
		g.Expect(d.choose(list, w).server).To(Equal(s), "no other is left")
		time.Sleep(drainingDuration)
		g.Expect(s.setDown(time.Now())).To(BeTrue(), "it still is")
		g.Expect(d.choose(list, w).server).To(BeNil())
	})
}

func TestServerWithOpenConnectionIsNotDown(t *testing.T) {
	g := NewWithT(t)
	s := newServers(1)[0]
	g.Expect(s.pool.reserve()).To(BeTrue())
	g.Expect(s.setDown(time.Now())).To(BeFalse(), "it refuses connections because it is full")
	g.Expect(s.down(time.Now())).To(BeFalse())
}

// Guards against open connections that hide an unresponsive server. Connections to a hung server
// stay open, and it counted as up for them: requests tried it repeatedly, 400 ms each, until their
// callers left, and the leader was not notified (1,134 times in six seconds).
func TestUnresponsiveServerIsDownDespiteOpenConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := newDirectory("h", 0, nil)
		list := newServers(1)
		s := list[0]
		g.Expect(s.pool.reserve()).To(BeTrue())
		s.pool.lastRead.Store(time.Now().UnixNano())
		g.Expect(s.setUnreachable(time.Now())).To(BeFalse(), "it sent bytes just now: it is full, or the link loses packets")
		time.Sleep(contactTimeout + time.Millisecond)
		g.Expect(s.setUnreachable(time.Now())).To(BeTrue())
		g.Expect(d.anyUp(list)).To(BeFalse())
		g.Expect(d.choose(list, criteria{prefillRate: defaultPrefillRate, prompt: newPrompt("m", 1)}).server).To(BeNil())
		time.Sleep(time.Millisecond)
		s.pool.lastRead.Store(time.Now().UnixNano())
		g.Expect(s.down(time.Now())).To(BeFalse(), "received bytes show that it is up")
	})
}

func TestUnsentAttemptsAreRetriedUntilTheDeadline(t *testing.T) {
	g := NewWithT(t)
	j := &job{route: &fleet.Route{MaxAttempts: 1}, prompt: newPrompt("m", 1), deadline: time.Now().Add(time.Minute), attempts: 20}
	f := notRun(nil, Error.New("refused"))
	f.dialFailed = true
	g.Expect(j.mayRetry(f)).To(BeTrue(), "the attempt was never sent, and the model may soon be resident elsewhere")
	j.deadline = time.Now()
	g.Expect(j.mayRetry(f)).To(BeFalse())
}

func TestNoticesAreRateLimited(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var notices []Notice
		n := newNotices(func(n Notice) { notices = append(notices, n) })
		for range 5 {
			n.send(Notice{AwaitedItem: "m"})
			n.send(Notice{RefusingServer: "s"})
		}
		g.Expect(notices).To(ConsistOf(Notice{AwaitedItem: "m"}, Notice{RefusingServer: "s"}))
		time.Sleep(noticeInterval)
		n.send(Notice{AwaitedItem: "m"})
		g.Expect(notices).To(HaveLen(3))
	})
}

// Guards against prefilling shared prefixes again: 2.2 of 11 million prompt tokens were shared
// parts that another server had cached.
func TestCachedPrefixesAreFetchedFromAnotherServer(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory("h", 0, nil)
	list := newServers(2)
	holder, free := list[0], list[1]
	p := newPrompt("m", 1, 2, 3)
	holder.recordPrefixes(prefixKeys(p))
	holder.beginAttempt(time.Now(), 1e4)
	w := criteria{prefillRate: defaultPrefillRate, prompt: p, keys: prefixKeys(p), fetchRate: 0.005}
	c := d.choose(list, w)
	g.Expect(c.server).To(Equal(free))
	g.Expect(c.prefixSource).To(Equal(holder))
	g.Expect(c.work).To(BeNumerically("<", float64(p.Tokens)*defaultPrefillRate/2), "a fetch is estimated as cheaper than prefill")

	j := &job{
		g: &Gateway{opts: Options{Dialect: dialect.Dialect{Fetch: "X-Fetch", Deadline: "X-D", Instance: "X-I"}}},
		r: httptest.NewRequest("POST", "/", nil), route: &fleet.Route{},
	}
	g.Expect(j.outgoing(c).header.Get("X-Fetch")).To(Equal(holder.address))
	w.fetchRate = 0
	g.Expect(d.choose(list, w).prefixSource).To(BeNil(), "servers do not support fetching")
}

// Guards against cached prompt parts that are fetched from a server of another software version.
func TestPrefixesAreFetchedOnlyFromTheSameSoftwareVersion(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory("h", 0, nil)
	list := newServers(3)
	p := newPrompt("m", 1, 2, 3)
	for _, s := range list[:2] {
		s.recordPrefixes(prefixKeys(p))
		s.beginAttempt(time.Now(), 1e4)
	}
	list[0].version, list[1].version, list[2].version = "v1", "v2", "v2"
	w := criteria{prefillRate: defaultPrefillRate, prompt: p, keys: prefixKeys(p), fetchRate: 0.005}
	c := d.choose(list, w)
	g.Expect(c.server).To(Equal(list[2]))
	g.Expect(c.prefixSource).To(Equal(list[1]))
	list[2].version = "v3"
	c = d.choose(list, w)
	g.Expect(c.server).To(Equal(list[2]))
	g.Expect(c.prefixSource).To(BeNil())
}

// Nearly all streams with a pause above their target were at the few slow servers: 131 of 138 on a
// quiet day.
func TestServersThatStallStreamsAreAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := newDirectory("h", 0, nil)
		list := newServers(2)
		w := criteria{prefillRate: defaultPrefillRate, prompt: newPrompt("m", 1)}
		slow := d.choose(list, w).server
		for range 10 {
			slow.recordStream(time.Now(), true)
		}
		g.Expect(d.choose(list, w).server).NotTo(Equal(slow))
		for _, s := range list {
			if s != slow {
				s.beginAttempt(time.Now(), 1e4)
			}
		}
		g.Expect(d.choose(list, w).server).To(Equal(slow), "load outweighs stalls")
	})
}
