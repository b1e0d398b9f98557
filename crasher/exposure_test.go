package crasher

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/wire"
)

// Guards against prompt parts that are blocked because servers crash by themselves, while requests with the parts run on at others;
// and against a part that crashes servers and is taken for sound.
func TestPartsThatRunOnElsewhereAreNotBlocked(t *testing.T) {
	const crashes = 6
	for name, c := range map[string]struct {
		ranFor  time.Duration // at each server until it terminated
		others  int           // requests with the part at other servers
		endsAt  time.Duration // after which each of these terminates its server, too; 0: never
		gap     time.Duration // between two terminations
		blocked bool
	}{
		"runs on at one other server":           {100 * time.Millisecond, 1, 0, 300 * time.Millisecond, false},
		"runs on at many":                       {100 * time.Millisecond, 20, 0, 300 * time.Millisecond, false},
		"terminations at once":                  {100 * time.Millisecond, 5, 0, 10 * time.Millisecond, false},
		"runs nowhere else":                     {100 * time.Millisecond, 0, 0, 300 * time.Millisecond, true},
		"terminates servers at the first event": {0, 3, 50 * time.Millisecond, 300 * time.Millisecond, true},
		"terminates servers after a second":     {time.Second, 3, time.Second, 1200 * time.Millisecond, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				g := NewWithT(t)
				registry, index := NewRegistry(), uint64(0)
				var mu sync.Mutex
				w := NewWatcher(func(r *wire.CrashReport) {
					mu.Lock()
					defer mu.Unlock()
					index++
					now := time.Now().UnixMilli()
					for _, s := range r.Signs {
						s.SentMs, s.EndedMs = now-int64(s.SentAgoMs), now-int64(s.EndedAgoMs)
					}
					registry.Apply(r, CommitPosition{Index: index, Term: 1, PromptParts: true})
				}, nil)
				begin := func(n int) {
					r := w.BeginRun(Server{ID: fmt.Sprint("other", n)}, Fingerprint{}, []Fingerprint{PartFingerprint("s", 1)}, time.Now())
					begun := time.Now()
					for range 40 {
						time.Sleep(50 * time.Millisecond)
						if r.Event(time.Now()); c.endsAt > 0 && time.Since(begun) >= c.endsAt {
							break
						}
					}
					w.EndRun(r)
				}
				for n := range c.others {
					go func() {
						time.Sleep(time.Duration(n) * 30 * time.Millisecond)
						for range 5 {
							begin(n)
						}
					}()
				}
				time.Sleep(200 * time.Millisecond)
				for n := range crashes {
					time.Sleep(c.gap)
					s, now := Server{ID: fmt.Sprint("i", n)}, time.Now()
					b := FailedAttempt{Fingerprint: Fingerprint{byte(n)}, Service: "s", Parts: []uint64{1}, SentAt: now.Add(-c.ranFor), FailedAt: now}
					if c.ranFor > 0 {
						b.FirstEventAt = b.SentAt
					}
					w.RecordFailure(s, b, nil)
					w.RecordTermination(s)
				}
				time.Sleep(time.Second)
				synctest.Wait()
				part := PartFingerprint("s", 1)
				mu.Lock()
				defer mu.Unlock()
				g.Expect(registry.Blocks(part, "")).To(Equal(c.blocked))
				time.Sleep(20 * time.Second) // the requests end
			})
		})
	}
}
