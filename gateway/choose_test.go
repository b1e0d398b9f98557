package gateway

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/dialect"
	"leverdrum/internal/attest"
)

// addIdleConnection gives the pool of a server an idle connection.
func addIdleConnection(s *server) {
	s.pool.idle = append(s.pool.idle, &conn{pool: s.pool, idleSince: time.Now(), idleTimeout: time.Hour})
}

// Guards against all boxes choosing the first of several servers with equal cost. A box that sees
// few requests does not know what other boxes have sent.
func TestEqualCostServersAreChosenAtRandom(t *testing.T) {
	g := NewWithT(t)
	chosen := map[*server]int{}
	list := newServers(3)
	const boxes = 300
	for range boxes {
		d := newDirectory("h", 0, nil)
		chosen[d.choose(list, criteria{prompt: dialect.Prompt{Model: "m", Tokens: 600}, prefillRate: 0.03}).server]++
	}
	for _, s := range list {
		g.Expect(chosen[s]).To(BeNumerically(">", boxes/6), s.id)
	}
}

// Guards against needless dials: a box with three requests a second and 246 candidate servers
// opened a connection for two of three requests.
func TestServersWithIdleConnectionsArePreferred(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory("h", 0, nil)
	list := newServers(6)
	addIdleConnection(list[4])
	for range 50 {
		g.Expect(d.choose(list, criteria{}).server).To(BeIdenticalTo(list[4]), "plain request")
		c := d.choose(list, criteria{prompt: dialect.Prompt{Model: "m", Tokens: 600}, prefillRate: 0.03})
		g.Expect(c.server).To(BeIdenticalTo(list[4]), "request for a model")
	}
	list[4].beginAttempt(time.Now(), 40)
	others := 0
	for range 50 {
		if d.choose(list, criteria{}).server != list[4] {
			others++
		}
		c := d.choose(list, criteria{prompt: dialect.Prompt{Model: "m", Tokens: 600}, prefillRate: 0.03})
		g.Expect(c.server).NotTo(BeIdenticalTo(list[4]), "its load costs more than a new connection")
	}
	g.Expect(others).To(BeNumerically(">", 10), "the other of the two servers drawn")
	list[4].pool.idle[0].idleTimeout = 0
	g.Expect(list[4].pool.hasIdle(time.Now(), "")).To(BeFalse(), "the server has closed the idle connection")
}

// Guards against needless dials for retries: a request that a server refused goes again to a server with a connection that
// may carry it.
func TestRetriesPreferServersWithUsableConnections(t *testing.T) {
	g := NewWithT(t)
	d := newDirectory("h", 0, nil)
	list := newServers(2)
	for _, s := range list {
		addIdleConnection(s)
	}
	refusing := &list[0].pool.idle[0].history
	refusing.Begin("a")
	refusing.Judge("a", http.StatusServiceUnavailable, http.Header{"Id": {"a"}}, &attest.Headers{RequestID: "Id"})
	for range 50 {
		g.Expect(d.choose(list, criteria{id: "a", prompt: dialect.Prompt{Model: "m", Tokens: 600}, prefillRate: 0.03}).server).To(BeIdenticalTo(list[1]))
	}
}
