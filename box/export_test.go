package box

import (
	"leverdrum/gateway"
	"leverdrum/replica"
	"leverdrum/settings"
	"leverdrum/state"
	"leverdrum/wal"
)

// Notify queues a notice as the gateway does, for tests.
func (b *Box) Notify(n gateway.Notice) { b.components.Load().notices <- n }

// SetDialServers sets how boxes open connections to backend servers and returns a function that restores the default.
func SetDialServers(dial func(box string) gateway.Dialer) (restore func()) {
	before := dialServers
	dialServers = func(s *settings.Settings) gateway.Dialer { return dial(s.Box) }
	return func() { dialServers = before }
}

// SetNewStorage sets how boxes store what they agree on and returns a function that restores the default.
func SetNewStorage(wrap func(replica.Storage) replica.Storage) (restore func()) {
	before := newStorage
	newStorage = func(store *wal.Store) replica.Storage { return wrap(store) }
	return func() { newStorage = before }
}

// View returns the replicated state as the box has it, for tests.
func (b *Box) View() *state.State { return b.components.Load().replica.View() }

// InFlight returns the number of callers' requests being served.
func (b *Box) InFlight() int64 { return b.requests.Load() }
