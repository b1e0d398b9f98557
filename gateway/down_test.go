package gateway

import (
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/dialect"
	"leverdrum/fleet"
)

// Requests for a model whose only server had crashed tried it four times within a
// moment and were given up, while the model was about to be loaded elsewhere.
func TestADownServerIsTriedByOneRequestAtATime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := newDirectory("h", 0, nil)
		list := newServers(1)
		s := list[0]
		w := wish{read: readFirst, prompt: prompt("m", 1)}
		g.Expect(s.setDown(time.Now())).To(BeTrue())
		g.Expect(d.choose(list, w).server).To(BeNil())
		g.Expect(d.anyUp(list)).To(BeFalse(), "its models are as good as nowhere")
		time.Sleep(probeEvery)
		g.Expect(d.choose(list, w).server).To(Equal(s), "one looks whether it is back")
		g.Expect(d.choose(list, w).server).To(BeNil(), "and no other meanwhile")
		s.begin(time.Now(), 0)
		s.first(time.Now(), time.Now(), 0)
		g.Expect(d.choose(list, w).server).To(Equal(s), "it is back")
	})
}

func TestAServerWithAnOpenConnectionIsNotDown(t *testing.T) {
	g := NewWithT(t)
	s := newServers(1)[0]
	g.Expect(s.conns.reserve()).To(BeTrue())
	g.Expect(s.setDown(time.Now())).To(BeFalse(), "it refuses because it is full")
	g.Expect(s.down(time.Now())).To(BeFalse())
}

// Connections to a server that had gone dark stay open, and it was taken to be up for them:
// requests tried it again and again, 400 ms each, until their callers left, and the
// leader was not told (1,134 times in six seconds).
func TestADarkServerIsDownWhateverIsOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := newDirectory("h", 0, nil)
		list := newServers(1)
		s := list[0]
		g.Expect(s.conns.reserve()).To(BeTrue())
		s.conns.heard.Store(time.Now().UnixNano())
		g.Expect(s.setUnreached(time.Now())).To(BeFalse(), "it was heard just now: it is full, or the link loses packets")
		time.Sleep(unheard + time.Millisecond)
		g.Expect(s.setUnreached(time.Now())).To(BeTrue())
		g.Expect(d.anyUp(list)).To(BeFalse())
		g.Expect(d.choose(list, wish{read: readFirst, prompt: prompt("m", 1)}).server).To(BeNil())
		time.Sleep(time.Millisecond)
		s.conns.heard.Store(time.Now().UnixNano())
		g.Expect(s.down(time.Now())).To(BeFalse(), "a word of it brings it back")
	})
}

func TestRequestsWaitForWhatWasNotSent(t *testing.T) {
	g := NewWithT(t)
	j := &job{route: &fleet.Route{MaxAttempts: 1}, prompt: prompt("m", 1), deadline: time.Now().Add(time.Minute), sends: 20}
	f := notRun(nil, Error.New("refused"))
	f.dial = true
	g.Expect(j.mayRepeat(f)).To(BeTrue(), "nothing arrived anywhere, and the model may soon be elsewhere")
	j.deadline = time.Now()
	g.Expect(j.mayRepeat(f)).To(BeFalse())
}

func TestNoticesAreToldNotTooOften(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		var told []Notice
		n := newNotices(func(n Notice) { told = append(told, n) })
		for range 5 {
			n.note(Notice{AwaitedItem: "m"})
			n.note(Notice{RefusingServer: "s"})
		}
		g.Expect(told).To(ConsistOf(Notice{AwaitedItem: "m"}, Notice{RefusingServer: "s"}))
		time.Sleep(noticeEvery)
		n.note(Notice{AwaitedItem: "m"})
		g.Expect(told).To(HaveLen(3))
	})
}

// 2.2 of 11 million prompt tokens were shared parts that another server had read.
func TestKeptPartsAreFetchedFromAnotherServer(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory("h", 0, nil)
	list := newServers(2)
	keeper, free := list[0], list[1]
	p := prompt("m", 1, 2, 3)
	keeper.noteKept(chain(p))
	keeper.begin(time.Now(), 1e4)
	w := wish{read: readFirst, prompt: p, keys: chain(p), fetch: 0.005}
	c := d.choose(list, w)
	g.Expect(c.server).To(Equal(free))
	g.Expect(c.from).To(Equal(keeper))
	g.Expect(c.work).To(BeNumerically("<", float64(p.Tokens)*readFirst/2), "fetching is reckoned as cheaper than reading")

	j := &job{
		g: &Gateway{opts: Options{Dialect: dialect.Dialect{Fetch: "X-Fetch", Deadline: "X-D", Instance: "X-I"}}},
		r: httptest.NewRequest("POST", "/", nil), route: &fleet.Route{},
	}
	g.Expect(j.outgoing(c).header.Get("X-Fetch")).To(Equal(keeper.address))
	w.fetch = 0
	g.Expect(d.choose(list, w).from).To(BeNil(), "where servers cannot")
}

// Nearly all streams with a pause above their aim were at the few slow servers: 131
// of 138 on a quiet day.
func TestServersThatHoldUpStreamsAreAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		d := newDirectory("h", 0, nil)
		list := newServers(2)
		w := wish{read: readFirst, prompt: prompt("m", 1)}
		slow := d.choose(list, w).server
		for range 10 {
			slow.streamed(time.Now(), true)
		}
		g.Expect(d.choose(list, w).server).NotTo(Equal(slow))
		for _, s := range list {
			if s != slow {
				s.begin(time.Now(), 1e4)
			}
		}
		g.Expect(d.choose(list, w).server).To(Equal(slow), "it yields to load")
	})
}
