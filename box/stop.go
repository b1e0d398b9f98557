package box

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"leverdrum/event"
	"leverdrum/meter"
)

const (
	// closeTimeout bounds how long Kill waits for operators' calls.
	closeTimeout = 2 * time.Second
	// unusedTimeout is how long a stopping box that accepts no further connections keeps those of callers that are idle, or on which
	// nothing was received. A request may be in transit on them, and is refused.
	unusedTimeout = time.Second
	// maxExitTime and maxAnswerTime bound the parts of a planned stop in which the box closes everything, and before that, in which it
	// answers requests that no server has answered. In a short stop, they are these shares of its time.
	maxExitTime   = 500 * time.Millisecond
	exitShare     = 1.0 / 16
	maxAnswerTime = 300 * time.Millisecond
	answerShare   = 1.0 / 24
	// maxLagShare bounds the part of a planned stop during which requests are still accepted.
	maxLagShare = 0.5
)

// stopTimes are the times of a planned stop.
type stopTimes struct {
	refuse time.Time // further requests are refused
	answer time.Time // requests in flight are answered
	end    time.Time // all requests have ended
	exit   time.Time // the process ends
}

// stopTimesFrom returns the times of a planned stop that begins now. grace is the time after which the process is killed, 0 if it
// is not.
func stopTimesFrom(now time.Time, lag, timeout, grace time.Duration) stopTimes {
	total, exit := lag+timeout, maxExitTime
	if grace > 0 {
		exit = min(maxExitTime, share(grace, exitShare))
		total = min(total, grace-exit)
	}
	lag = min(lag, share(total, maxLagShare))
	return stopTimes{
		refuse: now.Add(lag), answer: now.Add(total - min(maxAnswerTime, share(total, answerShare))), end: now.Add(total), exit: now.Add(total + exit),
	}
}

func share(d time.Duration, share float64) time.Duration { return time.Duration(float64(d) * share) }

// Stop shuts the box down gracefully (docs/design/planned-stop.md):
//
//  1. The readiness check fails; requests that end in time are still accepted for as long as the
//     load balancer may lag. Keep-alive connections are closed after their next response, but idle
//     ones not yet: a request may be in transit on them.
//  2. The member list shows the box as draining, leadership is transferred, and records of streams are handed over.
//  3. Further requests are refused as not run; those in flight are completed, also those that
//     this box relays for others.
//  4. Requests that are still in flight shortly before the end are answered as unknown, or broken off if their response has begun.
//  5. Everything is closed.
//
// The error means that requests were still in flight in step 4.
func (b *Box) Stop() error {
	times := stopTimesFrom(time.Now(), b.settings.BalancerLag, b.settings.StopTimeout, b.settings.Grace)
	b.shutdown.Begin(times.answer)
	b.stopping.Store(true) // (1)
	event.Stopping.Log(b.log, zap.Duration("within", time.Until(times.end)))
	b.id.setDraining() // (2)
	if p := b.components.Load(); p != nil {
		p.entry.Drain()
		p.gateway.Drain()
		p.replica.Transfer()
	}
	var handOver sync.WaitGroup
	handOver.Go(b.handOverOrigins)
	if b.entryHTTP != nil {
		time.Sleep(time.Until(times.refuse))
	}
	err := b.drain(times) // (3)
	handOver.Wait()
	b.close(max(0, min(closeTimeout, time.Until(times.exit)))) // (5)
	return err
}

// refuseRequests refuses all further requests of callers.
func (b *Box) refuseRequests() {
	b.refusing.Store(true)
	if p := b.components.Load(); p != nil {
		p.stopIfRefusing(b)
	}
}

// stopIfRefusing makes components follow a planned stop that has begun. A box that was stopped during its start may find its cluster
// only then.
func (p *components) stopIfRefusing(b *Box) {
	if b.stopping.Load() {
		p.entry.Drain()
		p.gateway.Drain()
	}
	if b.refusing.Load() {
		p.entry.Stop()
		p.gateway.Stop()
	}
}

func (b *Box) drain(times stopTimes) error {
	b.refuseRequests()
	if b.entryHTTP == nil {
		return nil
	}
	ctx, cancel := context.WithDeadline(context.Background(), times.end)
	defer cancel()
	var inFlight atomic.Int64
	interrupt := time.AfterFunc(time.Until(times.answer), func() { // (4)
		inFlight.Store(b.requests.Load())
		b.shutdown.End()
	})
	if p := b.components.Load(); p != nil {
		var relayed sync.WaitGroup
		relayed.Go(func() { p.gateway.AwaitRelayed(ctx) })
		defer relayed.Wait()
	}
	_ = b.entryListener.Close() // fails only if it is closed already
	time.Sleep(min(unusedTimeout, time.Until(times.answer)/2))
	b.entryListener.CloseUnused()
	cut := int64(0)
	if err := b.entryHTTP.Shutdown(ctx); errors.Is(err, context.DeadlineExceeded) {
		cut = b.requests.Load()
		b.entryHTTP.Close()
	}
	interrupt.Stop()
	if inFlight.Load() == 0 && cut == 0 {
		return nil
	}
	b.meters.Count(meter.Interrupted, "cut").Add(float64(cut))
	event.RequestsCutOff.Log(b.log, zap.Int64("requests", inFlight.Load()), zap.Int64("unanswered", cut))
	return Error.New("%d requests were in flight at the end of the stop, %d of them got no answer", inFlight.Load(), cut)
}

// shutdownHTTP lets a server complete its requests in flight, and closes the connections of those
// that take longer than the given time. A later call then has nothing to wait for: a box that
// waited twice for the same streams was killed before it had stopped.
func shutdownHTTP(s *http.Server, within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	err := s.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		s.Close()
	}
	return err
}

// Kill closes everything without waiting for callers' requests.
func (b *Box) Kill() { b.close(closeTimeout) }

// close closes everything. within bounds how long it waits for operators' calls.
func (b *Box) close(within time.Duration) {
	b.cancel()
	var servers sync.WaitGroup
	for _, s := range append([]*http.Server{b.operatorHTTP, b.entryHTTP}, b.auxiliaryHTTP...) {
		if s == nil {
			continue
		}
		servers.Go(func() { _ = shutdownHTTP(s, within) }) // aborted requests were logged by drain, or are operators' calls
	}
	servers.Wait()
	b.peers.Close()
	b.pool.Close()
	b.wg.Wait()
	if b.store != nil {
		b.store.Close()
	}
}
