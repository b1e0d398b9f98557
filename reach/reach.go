// Package reach judges, from the connections that a box opens, whether the box itself has lost its links to the backend
// servers.
//
// Rules:
//
//  1. A failed dial, or one that takes long, is a suspicion against the box's own links as much as against the server. It is
//     resolved by dials to a few other servers: if one of them succeeds, the links work and the server has failed. If all
//     fail, the box is isolated.
//  2. If there is no other server, nothing can be concluded, and the links count as working.
//  3. A successful dial that began after the failed one resolves a suspicion, too. Bytes on open connections do not: open
//     connections may go on to work while new ones are refused.
//  4. What the box observes of servers is no evidence against them while it is isolated, and is held back while a suspicion
//     is unresolved.
//  5. An isolated box dials one server at a time. It is no longer isolated after regainDials successes in a row, or more, up to
//     maxRegainDials, if it was isolated before within flapWindow.
package reach

import (
	"sync"
	"time"
)

const (
	// acquittalTTL is the time after a suspicion was found to be wrong in which the same server raises no other one: a server
	// that refuses connections would else make each request dial other servers.
	acquittalTTL   = 300 * time.Millisecond
	regainDials    = 2
	maxRegainDials = 8
	flapWindow     = 5 * time.Second
)

// Monitor holds a box's judgement of its own links. Its methods may be called concurrently.
type Monitor struct {
	// onChange is called, in order, when the box becomes isolated, or no longer is.
	onChange func(Change)

	mu          sync.Mutex
	suspectedAt time.Time            // zero: no suspicion is unresolved
	acquitted   map[string]time.Time // by server, when a suspicion that its dial raised was found to be wrong
	suspect     string               // the server whose dial raised the suspicion
	dialledAt   time.Time            // start of the latest dial that succeeded
	lostAt      time.Time            // zero: not isolated
	regainedAt  time.Time
	successes   int // dials in a row that succeeded while isolated
	needed      int // of these to regain the links
	held        []func()
}

// Change is a change of the judgement.
type Change struct {
	Isolated bool
	// Dials is the number of servers whose dials decided it.
	Dials int
	// After is how long the links were lost, or had not been.
	After time.Duration
}

// NewMonitor returns a Monitor of links that work. onChange must not block.
func NewMonitor(onChange func(Change)) *Monitor {
	return &Monitor{onChange: onChange, acquitted: map[string]time.Time{}, needed: regainDials}
}

// Isolated reports whether the box has lost its links to the servers.
func (m *Monitor) Isolated() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return !m.lostAt.IsZero()
}

// IsolatedSince returns since when the box is isolated; zero if it is not.
func (m *Monitor) IsolatedSince() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lostAt
}

// Suspect records that a dial to a server that began at startedAt has failed or takes long. It reports whether the caller must dial other
// servers and pass the result to Conclude (1).
func (m *Monitor) Suspect(server string, now, startedAt time.Time) (dialOthers bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case !m.lostAt.IsZero(), !m.suspectedAt.IsZero(), now.Sub(m.acquitted[server]) < acquittalTTL, m.dialledAt.After(startedAt): // (3)
		return false
	}
	m.suspectedAt, m.suspect = now, server
	return true
}

// Conclude resolves a suspicion by the dials to other servers, of which some may have succeeded (1, 2).
func (m *Monitor) Conclude(now time.Time, dials, succeeded int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.suspectedAt.IsZero() {
		return
	}
	m.suspectedAt = time.Time{}
	if succeeded > 0 || dials == 0 {
		m.acquit(now)
		return
	}
	m.held = nil // (4)
	if m.needed = regainDials; now.Sub(m.regainedAt) < flapWindow {
		m.needed = min(2*m.neededBefore(), maxRegainDials)
	}
	since := m.regainedAt
	m.lostAt, m.successes = now, 0
	m.onChange(Change{Isolated: true, Dials: dials, After: sinceOrZero(now, since)})
}

// neededBefore returns the number of dials that regained the links last. Locked by mu.
func (m *Monitor) neededBefore() int { return max(m.successes, regainDials) }

func sinceOrZero(now, t time.Time) time.Duration {
	if t.IsZero() {
		return 0
	}
	return now.Sub(t)
}

// acquit runs what was held back while the links were suspected. Locked by mu.
func (m *Monitor) acquit(now time.Time) {
	for server, at := range m.acquitted {
		if now.Sub(at) >= acquittalTTL {
			delete(m.acquitted, server)
		}
	}
	m.acquitted[m.suspect] = now
	held := m.held
	m.held = nil
	for _, f := range held {
		go f()
	}
}

// DialSucceeded records a dial that began at startedAt (3, 5).
func (m *Monitor) DialSucceeded(now, startedAt time.Time) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.dialledAt = startedAt
	switch {
	case !m.suspectedAt.IsZero() && startedAt.After(m.suspectedAt):
		m.suspectedAt = time.Time{}
		m.acquit(now)
	case m.lostAt.IsZero() || startedAt.Before(m.lostAt):
	default:
		m.successes++
		if m.successes < m.needed {
			return
		}
		lost := now.Sub(m.lostAt)
		m.lostAt, m.regainedAt = time.Time{}, now
		m.onChange(Change{Dials: m.successes, After: lost})
	}
}

// DialFailed records a failed dial while the box is isolated (5).
func (m *Monitor) DialFailed() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.lostAt.IsZero() {
		m.successes = 0
	}
}

// Vouch runs f, on another goroutine if it has to wait, if what the box observes of servers is evidence (4): not if the box is
// isolated, nor if a suspicion that is unresolved turns out to be right.
func (m *Monitor) Vouch(f func()) {
	m.mu.Lock()
	switch {
	case !m.lostAt.IsZero():
		m.mu.Unlock()
		return
	case !m.suspectedAt.IsZero():
		m.held = append(m.held, f)
		m.mu.Unlock()
		return
	}
	m.mu.Unlock()
	f()
}
