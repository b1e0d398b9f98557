package spread_test

import (
	"context"
	"sync"
	"time"
)

// links simulates the machines' network links. Transfers from one box to several others share
// its link chunk by chunk, as connections do.
type links struct {
	mu        sync.Mutex
	rate      func(box string) float64 // bytes per second, in each direction
	sent      int
	busyUntil map[string]time.Time // when a direction of a link has sent everything queued
}

const (
	// chunkSize is how much of one response is sent before others get the link.
	chunkSize = 16 << 10
	// megabit is the rate of a 1 Mbit/s link in bytes per second.
	megabit = 1e6 / 8
)

func newLinks(rate func(box string) float64) *links {
	return &links{rate: rate, busyUntil: map[string]time.Time{}}
}

// transfer blocks for the transmission time of the given number of bytes from one box to
// another. It returns early when the context ends.
func (l *links) transfer(ctx context.Context, from, to string, bytes int) error {
	if l == nil {
		return nil
	}
	for ; bytes > 0; bytes -= chunkSize {
		l.send(from+" out", l.rate(from), min(bytes, chunkSize))
		l.send(to+" in", l.rate(to), min(bytes, chunkSize))
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// bytesTransferred returns how many bytes all links have sent and received.
func (l *links) bytesTransferred() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

// send blocks for the transmission time of the bytes and of all bytes queued before them.
func (l *links) send(link string, rate float64, bytes int) {
	l.mu.Lock()
	l.sent += bytes
	now := time.Now()
	at := l.busyUntil[link]
	if at.Before(now) {
		at = now
	}
	at = at.Add(time.Duration(float64(bytes) / rate * float64(time.Second)))
	l.busyUntil[link] = at
	l.mu.Unlock()
	time.Sleep(at.Sub(now))
}
