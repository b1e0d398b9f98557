package box

import (
	"context"
	"errors"
	"net/http"
	"time"

	"leverdrum/event"
)

// closeTimeout bounds the end of operators' calls.
const closeTimeout = 2 * time.Second

// Stop ends the box without cutting off anything:
//
//  1. The readiness check fails; requests are still taken for as long as the
//     balancer may lag. Kept connections are closed after their next answer, but
//     idle ones not yet: a request may be on its way on them.
//  2. The list shows the box as leaving, and leadership is handed over.
//  3. Further requests are refused as not run; those in flight are finished.
//  4. Everything is closed.
//
// The error tells that requests were still in flight when the time was up.
func (b *Box) Stop() error {
	b.stopping.Store(true) // (1)
	event.Stopping.Log(b.log)
	b.id.setLeaving() // (2)
	p := b.parts.Load()
	if p != nil {
		p.entry.Drain()
		p.gateway.Drain()
		p.replica.Transfer()
	}
	if b.entryHTTP != nil {
		time.Sleep(b.settings.BalancerLag)
	}
	err := b.drain(p) // (3)
	b.Kill()          // (4)
	return err
}

func (b *Box) drain(p *parts) error {
	if b.entryHTTP == nil {
		return nil
	}
	if p != nil {
		p.entry.Stop()
		p.gateway.Stop()
	}
	if err := endHTTP(b.entryHTTP, b.settings.StopTimeout); err != nil {
		event.RequestsCutOff.Log(b.log, event.ErrorField(err))
		return Error.Wrap(err)
	}
	return nil
}

// endHTTP lets a server finish what it is answering, and cuts off what takes longer than a
// time. Then nothing of it is left to wait for: a box that waited twice for the same streams
// was killed before its stop had ended.
func endHTTP(s *http.Server, within time.Duration) error {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	err := s.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		s.Close()
	}
	return err
}

// Kill closes everything at once.
func (b *Box) Kill() {
	b.cancel()
	for _, s := range append([]*http.Server{b.operatorHTTP, b.entryHTTP}, b.others...) {
		if s == nil {
			continue
		}
		_ = endHTTP(s, closeTimeout) // what it cut off was told of, or is an operator's call
	}
	b.peers.Close()
	b.pool.Close()
	b.wg.Wait()
	if b.store != nil {
		b.store.Close()
	}
}
