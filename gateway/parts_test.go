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
	"leverdrum/wire"
)

func TestEventsAreCutWhereverBytesCome(t *testing.T) {
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

func TestEventsBehindThePositionOnly(t *testing.T) {
	g := NewWithT(t)
	e := &events{}
	g.Expect(string(e.next([]byte("id: 1\n\nid: 2\n\nid: 3\nda")))).To(Equal("id: 1\n\nid: 2\n\n"))
	e.broke()
	g.Expect(string(e.next([]byte("id: 2\n\nid: 3\n\n")))).To(Equal("id: 3\n\n"), "nothing twice")
	g.Expect(e.noIDs).To(BeFalse())
	e.next([]byte("data: x\n\n"))
	g.Expect(e.noIDs).To(BeTrue(), "such a stream cannot go on elsewhere")
}

func FuzzEvents(f *testing.F) {
	f.Add("id: 1\ndata: a\n\nid: 2\n\n", 3)
	f.Fuzz(func(t *testing.T, text string, cut int) {
		cut = max(0, min(cut, len(text)))
		e := &events{}
		out := string(e.next([]byte(text[:cut]))) + string(e.next([]byte(text[cut:])))
		if len(out)+len(e.partial) > len(text) {
			t.Fatal("more came out than went in")
		}
	})
}

func TestBudgetIsAShareOfWhatAllMaySpend(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		boxes := 10
		b := newBudgets(Budget{Ratio: 0.2, Slack: 60, Window: 10 * time.Second}, func() int { return boxes })
		spend := func() (n int) {
			for b.repeat("s") {
				n++
			}
			return n
		}
		g.Expect(spend()).To(BeNumerically("<=", 6), "a tenth of the slack")
		g.Expect(b.repeat("other")).To(BeTrue(), "each service has its own")
		for range 100 {
			b.first("s")
		}
		g.Expect(spend()).To(And(BeNumerically(">", 5), BeNumerically("<=", 20)), "a fifth of the requests")
		g.Expect(b.repeat("s")).To(BeFalse())
		time.Sleep(11 * time.Second)
		g.Expect(spend()).To(And(BeNumerically(">", 0), BeNumerically("<=", 6)), "the window has passed")
	})
}

func prompt(model string, parts ...uint64) dialect.Prompt {
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

func TestPromptsGoWhereTheirPartsAreKept(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory("h", 0, nil)
	list := newServers(6)
	p := prompt("m", 1, 2, 3)
	first := d.choose(list, wish{read: readFirst, prompt: p, keys: chain(p)}).server
	for range 5 {
		g.Expect(d.choose(list, wish{read: readFirst, prompt: p, keys: chain(p)}).server).To(Equal(first), "all boxes find the same home")
	}
	other := list[0]
	if other == first {
		other = list[1]
	}
	other.noteKept(chain(p))
	g.Expect(d.choose(list, wish{read: readFirst, prompt: p, keys: chain(p)}).server).To(Equal(other), "what is known counts more than the home")
	g.Expect(chain(prompt("m", 1, 2))).NotTo(Equal(chain(prompt("n", 1, 2))), "kept for one model only")
	other.begin(time.Now(), 1e6)
	g.Expect(d.choose(list, wish{read: readFirst, prompt: p, keys: chain(p)}).server).NotTo(Equal(other), "affinity yields to load")
}

func TestWhoIsNotChosen(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory("h", 100*time.Millisecond, nil)
	list := newServers(3)
	now := time.Now()
	chosen := func(tried ...*server) *server {
		return d.choose(list, wish{tried: tried}).server
	}
	list[0].setGone()
	list[1].part(now)
	for range 20 {
		g.Expect(chosen()).To(Equal(list[2]))
	}
	g.Expect(chosen(list[2])).To(Equal(list[1]), "one that leaves is a last resort")
	list[1].leaving.Store(now.Add(-time.Second).UnixNano())
	g.Expect(chosen(list[2])).To(BeNil(), "for a time only; one that was replaced never")
	list[2].silenced(now)
	g.Expect(chosen()).To(Equal(list[2]), "a silent one where no other is left")
}

func TestAServerThatLacksAModelServesOthers(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory("h", 0, nil)
	list := newServers(1)
	p := prompt("m", 1)
	list[0].lack("m", time.Now())
	g.Expect(d.choose(list, wish{read: readFirst, prompt: p, keys: chain(p)}).server).To(BeNil())
	q := prompt("n", 1)
	g.Expect(d.choose(list, wish{read: readFirst, prompt: q, keys: chain(q)}).server).To(Equal(list[0]))
	list[0].lack("m", time.Now().Add(-time.Hour))
	g.Expect(d.choose(list, wish{read: readFirst, prompt: p, keys: chain(p)}).server).To(Equal(list[0]), "the word of that lasts a moment")
}

func TestTheOldestThatWaitsTellsTheDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newServers(1)[0]
		began := time.Now()
		s.begin(began, 50)
		time.Sleep(2 * time.Second)
		waits, _ := s.load(time.Now())
		g.Expect(waits).To(BeNumerically(">=", 1900))
		s.first(time.Now(), began, 50)
		s.end(began, 50, false)
		waits, taken := s.load(time.Now())
		g.Expect(waits).To(BeNumerically(">", 300), "it is remembered")
		g.Expect(taken).To(BeZero())
		time.Sleep(30 * time.Second)
		waits, _ = s.load(time.Now())
		g.Expect(waits).To(BeNumerically("<", 1), "and fades")
	})
}
