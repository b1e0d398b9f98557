package gateway_test

import (
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a new connection to a server for each request without an ID: on a used connection its response cannot be identified.
func TestUnnamedRequestsShareConnections(t *testing.T) {
	g := NewWithT(t)
	var ids, connections sync.Map
	b := newBackend(t, "i1", func(c net.Conn, id string) bool {
		connections.Store(c.RemoteAddr().String(), true)
		ids.Store(id, true)
		return answerOK(c, id)
	})
	s := newSetup(t, 5*time.Second, b)
	for range 3 {
		answer := s.send(strings.Replace(request("/unsafe/x", ""), "X-Request-Id: r1\r\n", "", 1))
		g.Expect(answer).To(HavePrefix("HTTP/1.1 200 "))
	}
	g.Expect(keysOf(&ids)).To(And(HaveLen(3), Not(ContainElement(""))), "each request has a name of its own")
	g.Expect(keysOf(&connections)).To(HaveLen(1))
}

func keysOf(m *sync.Map) (keys []any) {
	m.Range(func(k, _ any) bool {
		keys = append(keys, k)
		return true
	})
	return keys
}
