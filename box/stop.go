package box

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"leverdrum/event"
)

// closeTimeout bounds how long Kill waits for operators' calls.
const closeTimeout = 2 * time.Second

// unusedTimeout is how long a stopping box keeps callers' connections on which nothing was received. A request may be in transit
// on them.
const unusedTimeout = time.Second

// Stop shuts the box down gracefully:
//
//  1. The readiness check fails; requests are still accepted for as long as the
//     load balancer may lag. Keep-alive connections are closed after their next
//     response, but idle ones not yet: a request may be in transit on them.
//  2. The member list shows the box as draining, leadership is transferred, and records of streams are handed over.
//  3. Further requests are refused as not run; those in flight are completed, also those that
//     this box relays for others.
//  4. Everything is closed.
//
// The error means that requests were still in flight when the stop timeout expired.
func (b *Box) Stop() error {
	b.stopping.Store(true) // (1)
	event.Stopping.Log(b.log)
	b.id.setDraining() // (2)
	p := b.components.Load()
	if p != nil {
		p.entry.Drain()
		p.gateway.Drain()
		p.replica.Transfer()
	}
	var handOver sync.WaitGroup
	handOver.Go(b.handOverOrigins)
	if b.entryHTTP != nil {
		time.Sleep(b.settings.BalancerLag)
	}
	err := b.drain(p) // (3)
	handOver.Wait()
	b.Kill() // (4)
	return err
}

func (b *Box) drain(p *components) error {
	if b.entryHTTP == nil {
		return nil
	}
	if p != nil {
		p.entry.Stop()
		p.gateway.Stop()
	}
	ctx, cancel := context.WithTimeout(context.Background(), b.settings.StopTimeout)
	defer cancel()
	if p != nil {
		var relayed sync.WaitGroup
		relayed.Go(func() { p.gateway.AwaitRelayed(ctx) })
		defer relayed.Wait()
	}
	unused := time.AfterFunc(min(unusedTimeout, b.settings.StopTimeout/2), b.entryListener.CloseUnused)
	defer unused.Stop()
	err := b.entryHTTP.Shutdown(ctx)
	requests := b.requests.Load()
	if err != nil {
		b.entryHTTP.Close()
	}
	if err == nil || requests == 0 {
		return nil
	}
	event.RequestsCutOff.Log(b.log, zap.Int64("requests", requests), event.ErrorField(err))
	return Error.Wrap(err)
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
func (b *Box) Kill() {
	b.cancel()
	for _, s := range append([]*http.Server{b.operatorHTTP, b.entryHTTP}, b.auxiliaryHTTP...) {
		if s == nil {
			continue
		}
		_ = shutdownHTTP(s, closeTimeout) // aborted requests were logged by drain, or are operators' calls
	}
	b.peers.Close()
	b.pool.Close()
	b.wg.Wait()
	if b.store != nil {
		b.store.Close()
	}
}
