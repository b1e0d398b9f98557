package liveness

import (
	"context"
	"sync"
)

// Group checks servers by name, and keeps a Checker only while somebody waits for it. The zero value is ready for use.
type Group struct {
	mu     sync.Mutex
	byName map[string]*member
}

// member is the checker of one server.
type member struct {
	*Checker
	waiting int
}

// Await is Checker.Await for the server with a name, which probe probes.
func (g *Group) Await(ctx context.Context, name string, probe Probe) Evidence {
	m := g.join(name, probe)
	defer g.leave(name, m)
	return m.Await(ctx)
}

func (g *Group) join(name string, probe Probe) *member {
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.byName[name]
	if m == nil {
		m = &member{Checker: NewChecker(probe)}
		if g.byName == nil {
			g.byName = map[string]*member{}
		}
		g.byName[name] = m
	}
	m.waiting++
	return m
}

func (g *Group) leave(name string, m *member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if m.waiting--; m.waiting == 0 {
		delete(g.byName, name)
	}
}
