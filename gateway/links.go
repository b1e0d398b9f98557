package gateway

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"leverdrum/event"
	"leverdrum/meter"
	"leverdrum/reach"
)

const (
	// slowDial is the time after which a dial that has not ended counts as a sign of lost links. It is above the round-trip
	// time between regions.
	slowDial = 150 * time.Millisecond
	// otherDials is the number of other servers that are dialed when a dial has failed, and otherDialTimeout bounds these.
	otherDials       = 3
	otherDialTimeout = 250 * time.Millisecond
	// regainInterval is the time between two dials of an isolated box.
	regainInterval = 150 * time.Millisecond
	// silentExchange is the time without a byte from any server, since a request was sent, that counts as a sign of lost links,
	// and silenceInterval the time until the next such sign: a box with few requests may wait for a long prefill alone.
	silentExchange  = 300 * time.Millisecond
	silenceInterval = 2 * time.Second
	// cutOffSilence is the silence after which an isolated box gives up an exchange.
	cutOffSilence = 300 * time.Millisecond
)

// links observes whether this box reaches the backend servers (package reach). Methods of nil do nothing and report that it
// does.
type links struct {
	g       *Gateway
	monitor *reach.Monitor
	// lastRead is when bytes last arrived from any server, and silentAt when silence was last a sign of lost links, in Unix
	// nanoseconds.
	lastRead, silentAt atomic.Int64
	watches            sync.Map // *watch of the exchanges in progress
}

func newLinks(g *Gateway) *links {
	l := &links{g: g}
	if g.opts.Meters != nil {
		g.opts.Meters.Gauge(meter.ServerLinks).Set(1)
	}
	l.monitor = reach.NewMonitor(func(c reach.Change) {
		if c.Isolated {
			go l.lost(c)
		} else {
			go l.regained(c)
		}
	})
	return l
}

// isolatedSince returns since when this box reaches no server; zero if it does.
func (l *links) isolatedSince() time.Time {
	if l == nil {
		return time.Time{}
	}
	return l.monitor.IsolatedSince()
}

func (l *links) isolated() bool { return !l.isolatedSince().IsZero() }

// silentSince reports whether an exchange that has been silent for a time is given up since the box is isolated.
func (l *links) silentSince(silence time.Duration) bool {
	since := l.isolatedSince()
	return !since.IsZero() && silence >= cutOffSilence && silence >= time.Since(since)
}

// vouch runs f if what this box observes of servers is evidence about them.
func (l *links) vouch(f func()) {
	if l == nil {
		f()
		return
	}
	l.monitor.Vouch(f)
}

// observeDial observes a dial to a server that begins now. The function that it returns must be called when the dial has
// ended, with its error and whether the caller ended it.
func (l *links) observeDial(server string) func(err error, canceled bool) {
	if l == nil {
		return func(error, bool) {}
	}
	startedAt := time.Now()
	slow := time.AfterFunc(slowDial, func() { l.suspect(server, startedAt) })
	return func(err error, canceled bool) {
		slow.Stop()
		switch {
		case err == nil:
			l.monitor.DialSucceeded(time.Now(), startedAt)
		case !canceled:
			l.suspect(server, startedAt)
		}
	}
}

func (l *links) recordRead(now time.Time) {
	if l != nil {
		l.lastRead.Store(now.UnixNano())
	}
}

// awaitHead observes an exchange whose request is sent now. The function that it returns must be called when the head of the
// response has arrived, or the exchange has ended.
func (l *links) awaitHead(server string) (stop func()) {
	if l == nil {
		return func() {}
	}
	sentAt := time.Now()
	t := time.AfterFunc(silentExchange, func() {
		now := time.Now().UnixNano()
		last := l.silentAt.Load()
		if l.lastRead.Load() < sentAt.UnixNano() && now-last >= int64(silenceInterval) && l.silentAt.CompareAndSwap(last, now) {
			l.suspect(server, sentAt)
		}
	})
	return func() { t.Stop() }
}

// addWatch and removeWatch keep the exchanges that are given up when the box becomes isolated.
func (l *links) addWatch(w *watch) {
	if l != nil {
		l.watches.Store(w, nil)
	}
}

func (l *links) removeWatch(w *watch) {
	if l != nil {
		l.watches.Delete(w)
	}
}

// suspect dials other servers to find out whether the dial to one server failed because of this box's links.
func (l *links) suspect(server string, startedAt time.Time) {
	if l.monitor.Suspect(server, time.Now(), startedAt) {
		go func() {
			dials, succeeded := l.dialOthers(server)
			l.monitor.Conclude(time.Now(), dials, succeeded)
		}()
	}
}

// dialOthers dials up to otherDials servers and returns as soon as one dial succeeds or all have ended.
func (l *links) dialOthers(except string) (dials, succeeded int) {
	list := l.dialable()
	list = slices.DeleteFunc(list, func(s *server) bool { return s.id == except })
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	list = list[:min(len(list), otherDials)]
	results := make(chan bool, len(list))
	for _, s := range list {
		go func() { results <- l.dialOnce(s) }()
	}
	for range list {
		dials++
		if <-results {
			return dials, 1
		}
	}
	return dials, 0
}

func (l *links) dialOnce(s *server) bool {
	ctx, cancel := context.WithTimeout(context.Background(), otherDialTimeout)
	defer cancel()
	return s.pool.probe(ctx) == nil
}

// dialable returns the servers that should accept a connection.
func (l *links) dialable() (list []*server) {
	now := time.Now()
	d := l.g.dir
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.servers {
		if _, draining := s.drainingFor(now); !draining && !s.unresponsive.Load() && !s.isReplaced() {
			list = append(list, s)
		}
	}
	return list
}

// lost applies that the box has become isolated, and dials servers until it no longer is.
func (l *links) lost(c reach.Change) {
	event.ServerLinksLost.Log(l.g.opts.Log, zap.Int("dials", c.Dials), zap.Duration("after", c.After))
	l.g.opts.Meters.Gauge(meter.ServerLinks).Set(0)
	l.g.crashWatch.DropPending()
	l.g.relays.refresh()
	l.eachServer((*server).forgetFailures)
	l.watches.Range(func(w, _ any) bool {
		go w.(*watch).check()
		return true
	})
	l.dialUntilRegained()
}

// dialUntilRegained dials one server after another, and one that answers again, so that servers that are down do not hide it.
func (l *links) dialUntilRegained() {
	var s *server
	for l.isolated() && !l.g.stopped() {
		if s == nil {
			if list := l.dialable(); len(list) > 0 {
				s = list[rand.IntN(len(list))]
			}
		}
		if s != nil && !l.dialOnce(s) {
			l.monitor.DialFailed()
			s = nil
		}
		time.Sleep(regainInterval)
	}
}

// regained applies that the box reaches the servers again.
func (l *links) regained(c reach.Change) {
	event.ServerLinksRegained.Log(l.g.opts.Log, zap.Int("dials", c.Dials), zap.Duration("after", c.After))
	l.g.opts.Meters.Gauge(meter.ServerLinks).Set(1)
	l.eachServer(func(s *server) { s.setUnverified(time.Now(), c.After) })
}

func (l *links) eachServer(f func(*server)) {
	l.g.dir.mu.Lock()
	defer l.g.dir.mu.Unlock()
	for _, s := range l.g.dir.servers {
		f(s)
	}
}
