package gateway

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/dialect"
)

// rest has a connection rest to a server.
func rest(s *server) {
	s.conns.idle = append(s.conns.idle, &conn{from: s.conns, since: time.Now(), rest: time.Hour})
}

// Each of many boxes sees a request now and then and knows nothing of what others sent: of
// servers that cost it the same all of them took the first.
func TestBoxesThatKnowNothingShareServersOut(t *testing.T) {
	g := NewWithT(t)
	taken := map[*server]int{}
	list := newServers(3)
	const boxes = 300
	for range boxes {
		d := newDirectory("h", 0, nil)
		taken[d.choose(list, wish{prompt: dialect.Prompt{Model: "m", Tokens: 600}, read: 0.03}).server]++
	}
	for _, s := range list {
		g.Expect(taken[s]).To(BeNumerically(">", boxes/6), s.id)
	}
}

// A box that has three requests a second and 246 servers before it opened a connection for
// two of three requests.
func TestServersThatAConnectionRestsToAreTakenFirst(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory("h", 0, nil)
	list := newServers(6)
	rest(list[4])
	for range 50 {
		g.Expect(d.choose(list, wish{}).server).To(BeIdenticalTo(list[4]), "a plain request")
		c := d.choose(list, wish{prompt: dialect.Prompt{Model: "m", Tokens: 600}, read: 0.03})
		g.Expect(c.server).To(BeIdenticalTo(list[4]), "a model's")
	}
	list[4].begin(time.Now(), 40)
	others := 0
	for range 50 {
		if d.choose(list, wish{}).server != list[4] {
			others++
		}
		c := d.choose(list, wish{prompt: dialect.Prompt{Model: "m", Tokens: 600}, read: 0.03})
		g.Expect(c.server).NotTo(BeIdenticalTo(list[4]), "it has work that is worth more than a connection")
	}
	g.Expect(others).To(BeNumerically(">", 10), "one of two drawn")
	list[4].conns.idle[0].rest = 0
	g.Expect(list[4].conns.rests(time.Now())).To(BeFalse(), "the server has closed it by now")
}
