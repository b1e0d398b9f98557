package gateway

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"leverdrum/dialect"
	"leverdrum/internal/membudget"
	"leverdrum/wire"
)

func TestEventsAreSplitAtAnyReadBoundary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 8).Draw(t, "events")
		var all strings.Builder
		for i := 1; i <= n; i++ {
			fmt.Fprintf(&all, "id: %d\ndata: %s\n\n", i, strings.Repeat("x", rapid.IntRange(0, 5).Draw(t, "size")))
		}
		text, e, out := all.String(), &events{}, ""
		for rest := text; rest != ""; {
			k := rapid.IntRange(1, len(rest)).Draw(t, "piece")
			out += string(e.next([]byte(rest[:k])))
			rest = rest[k:]
		}
		if out != text || len(e.partial) != 0 || n > 0 && e.last != uint64(n) {
			t.Fatalf("%q became %q", text, out)
		}
	})
}

func TestOnlyEventsAfterThePositionAreForwarded(t *testing.T) {
	g := NewWithT(t)
	e := &events{}
	g.Expect(string(e.next([]byte("id: 1\n\nid: 2\n\nid: 3\nda")))).To(Equal("id: 1\n\nid: 2\n\n"))
	e.dropPartial()
	g.Expect(string(e.next([]byte("id: 2\n\nid: 3\n\n")))).To(Equal("id: 3\n\n"), "no event is forwarded twice")
	g.Expect(e.noIDs).To(BeFalse())
	e.next([]byte("data: x\n\n"))
	g.Expect(e.noIDs).To(BeTrue(), "such a stream cannot resume")
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n", 3)
	f.Fuzz(func(t *testing.T, text string, cut int) {
		cut = max(0, min(cut, len(text)))
		e := &events{}
		out := string(e.next([]byte(text[:cut]))) + string(e.next([]byte(text[cut:])))
		if len(out)+len(e.partial) > len(text) {
			t.Fatal("output is longer than the input")
		}
	})
}

func TestBudgetIsSharedByAllBoxes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		boxes := 10
		b := newBudgets(Budget{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}, func() int { return boxes })
		spend := func() (n int) {
			for b.takeRetry("s") {
				n++
			}
			return n
		}
		g.Expect(spend()).To(BeNumerically("<=", 6), "the share of one of ten boxes in the slack")
		g.Expect(b.takeRetry("other")).To(BeTrue(), "each service has its own budget")
		for range 100 {
			b.recordFirst("s")
		}
		g.Expect(spend()).To(And(BeNumerically(">", 5), BeNumerically("<=", 20)), "0.2 retries for each request")
		g.Expect(b.takeRetry("s")).To(BeFalse())
		time.Sleep(11 * time.Second)
		g.Expect(spend()).To(And(BeNumerically(">", 0), BeNumerically("<=", 6)), "slack of the next window")
	})
}

func newPrompt(model string, parts ...uint64) dialect.Prompt {
	p := dialect.Prompt{Model: model}
	for _, id := range parts {
		p.Parts = append(p.Parts, dialect.Part{ID: id, Tokens: 1000})
		p.Tokens += 1000
	}
	return p
}

func newServers(n int) []*server {
	var list []*server
	for i := range n {
		list = append(list, newServer(&wire.Announcement{Id: fmt.Sprint("i", i), Hall: "h", Slots: 8, Address: "127.0.0.1:1"}))
	}
	return list
}

func TestPromptsGoToServersWithCachedPrefixes(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory("h", 0, nil)
	list := newServers(6)
	p := newPrompt("m", 1, 2, 3)
	first := d.choose(list, criteria{prefillRate: defaultPrefillRate, prompt: p, keys: prefixKeys(p)}).server
	for range 5 {
		g.Expect(d.choose(list, criteria{prefillRate: defaultPrefillRate, prompt: p, keys: prefixKeys(p)}).server).To(Equal(first), "all boxes compute the same home")
	}
	other := list[0]
	if other == first {
		other = list[1]
	}
	other.recordPrefixes(prefixKeys(p))
	g.Expect(d.choose(list, criteria{prefillRate: defaultPrefillRate, prompt: p, keys: prefixKeys(p)}).server).To(Equal(other), "known prefixes outweigh the home")
	g.Expect(prefixKeys(newPrompt("m", 1, 2))).NotTo(Equal(prefixKeys(newPrompt("n", 1, 2))), "prefixes are cached for one model only")
	other.beginAttempt(time.Now(), 1e6)
	g.Expect(d.choose(list, criteria{prefillRate: defaultPrefillRate, prompt: p, keys: prefixKeys(p)}).server).NotTo(Equal(other), "load outweighs affinity")
}

func TestUnusableServersAreNotChosen(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory("h", 100*time.Millisecond, nil)
	list := newServers(3)
	now := time.Now()
	chosen := func(tried ...*server) *server {
		return d.choose(list, criteria{tried: tried}).server
	}
	list[0].setReplaced()
	list[1].markDraining(now)
	for range 20 {
		g.Expect(chosen()).To(Equal(list[2]))
	}
	g.Expect(chosen(list[2])).To(Equal(list[1]), "a draining server is a last resort")
	list[1].drainingSince.Store(now.Add(-time.Second).UnixNano())
	g.Expect(chosen(list[2])).To(BeNil(), "only for a limited time; a replaced server never")
	list[2].eject(now)
	g.Expect(chosen()).To(Equal(list[2]), "an unresponsive server where no other is left")
}

func TestServerMissingAModelServesOthers(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory("h", 0, nil)
	list := newServers(1)
	p := newPrompt("m", 1)
	list[0].recordMissing("m", time.Now())
	g.Expect(d.choose(list, criteria{prefillRate: defaultPrefillRate, prompt: p, keys: prefixKeys(p)}).server).To(BeNil())
	q := newPrompt("n", 1)
	g.Expect(d.choose(list, criteria{prefillRate: defaultPrefillRate, prompt: q, keys: prefixKeys(q)}).server).To(Equal(list[0]))
	list[0].recordMissing("m", time.Now().Add(-time.Hour))
	g.Expect(d.choose(list, criteria{prefillRate: defaultPrefillRate, prompt: p, keys: prefixKeys(p)}).server).To(Equal(list[0]), "the report expires")
}

func TestOldestPendingRequestSetsTheDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newServers(1)[0]
		startedAt := time.Now()
		s.beginAttempt(startedAt, 50)
		time.Sleep(2 * time.Second)
		delay, _ := s.load(time.Now())
		g.Expect(delay).To(BeNumerically(">=", 1900))
		s.recordFirstEvent(time.Now(), startedAt, 50)
		s.endAttempt(startedAt, 50, false)
		delay, slotShare := s.load(time.Now())
		g.Expect(delay).To(BeNumerically(">", 300), "the delay is remembered")
		g.Expect(slotShare).To(BeZero())
		time.Sleep(30 * time.Second)
		delay, _ = s.load(time.Now())
		g.Expect(delay).To(BeNumerically("<", 1), "and decays")
	})
}

// Guards against memory that stays reserved for events that were forwarded or dropped, and events that are lost for lack of it
// without being noticed.
func TestEventsReturnTheirMemory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := membudget.New(rapid.Int64Range(1, 1<<20).Draw(t, "limit"), nil)
		e := &events{memory: b.Hold("test")}
		var sent, got strings.Builder
		for n := range rapid.IntRange(1, 6).Draw(t, "events") {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", n+1, strings.Repeat("x", rapid.IntRange(0, 100<<10).Draw(t, "size")))
			sent.WriteString(event)
			for event != "" && !e.full {
				k := min(len(event), relayBuffer)
				got.Write(e.next([]byte(event[:k])))
				event = event[k:]
			}
		}
		switch {
		case !e.full && got.String() != sent.String():
			t.Fatalf("%d of %d bytes are forwarded", got.Len(), sent.Len())
		case !strings.HasPrefix(sent.String(), got.String()):
			t.Fatal("other bytes are forwarded")
		}
		if e.next(nil); !e.full && b.Used() > eventBuffer {
			t.Fatalf("%d bytes are kept between events", b.Used())
		}
		e.dropPartial()
		if b.Used() != 0 {
			t.Fatalf("%d bytes are left", b.Used())
		}
	})
}
