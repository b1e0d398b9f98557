package spread_test

import (
	"context"
	"sync"
	"time"
)

// links are the machines' own links. What a box sends to several others at once takes
// turns on its link, piece by piece, as connections do.
type links struct {
	mu    sync.Mutex
	rate  func(box string) float64 // bytes a second, each way
	sent  int
	freed map[string]time.Time // when a direction of a link has sent what was given to it
}

const (
	// piece is how much of one answer goes before others have their turn.
	piece = 16 << 10
	// megabit is a link's rate in bytes a second.
	megabit = 1e6 / 8
)

func newLinks(rate func(box string) float64) *links {
	return &links{rate: rate, freed: map[string]time.Time{}}
}

// carry takes as long as so many bytes take from one box to another. It ends early when
// the context does.
func (l *links) carry(ctx context.Context, from, to string, bytes int) error {
	if l == nil {
		return nil
	}
	for ; bytes > 0; bytes -= piece {
		l.send(from+" out", l.rate(from), min(bytes, piece))
		l.send(to+" in", l.rate(to), min(bytes, piece))
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
	return nil
}

// carried returns how many bytes all links have sent and received.
func (l *links) carried() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sent
}

// send takes the time that some bytes and those before them take on a link.
func (l *links) send(link string, rate float64, bytes int) {
	l.mu.Lock()
	l.sent += bytes
	now := time.Now()
	at := l.freed[link]
	if at.Before(now) {
		at = now
	}
	at = at.Add(time.Duration(float64(bytes) / rate * float64(time.Second)))
	l.freed[link] = at
	l.mu.Unlock()
	time.Sleep(at.Sub(now))
}
