package rate

import (
	"context"
	"math"
	"testing"
	"time"
)

// For any request or response of another box, leased and held amounts remain finite and in bounds, and a refusal ends.
func FuzzPeerMessages(f *testing.F) {
	f.Add(1.0, 1.0, 0.0, 0.0, 0, 1.0, int64(100))
	f.Add(math.NaN(), -1.0, math.Inf(1), 1e308, -7, math.Inf(1), int64(math.MaxInt64))
	f.Add(1.0, 1.0, 0.0, 0.0, 3, 0.0, int64(math.MaxUint32))
	f.Add(1e308, 1e-308, 1e308, math.Inf(-1), 1<<40, -5.0, int64(-1))
	f.Fuzz(func(t *testing.T, pending, smallest, prefetch, unused float64, rank int, leased float64, retryAfterMs int64) {
		now := 10 * time.Second
		key := Key{Name: "w", Rank: rank}
		limit := Limit{PerSecond: 100, Burst: 100}
		lessor := NewLessor("p", func() time.Duration { return now })
		for range 3 {
			response := lessor.Lease("b", "p/1", Leadership{IsLeader: true, Term: 1, Boxes: 3}, func(LimitRequest) (Limit, bool) { return limit, true },
				[]LimitRequest{{Key: key, LeaseRequest: LeaseRequest{Pending: pending, SmallestPending: smallest, Prefetch: prefetch, Unused: unused}}})
			for _, g := range response.Grants {
				if !(g.Leased >= 0) || math.IsInf(g.Leased, 0) || g.RetryAfter < 0 {
					t.Fatalf("leased %v, retry after %v", g.Leased, g.RetryAfter)
				}
			}
			now += time.Second
		}
		l := NewLimiter(Options{Boxes: func() int { return 3 }, Now: func() time.Duration { return now }, Window: window,
			Lease: func(context.Context, string, []LimitRequest) (LeaseResponse, error) { panic("not called") }})
		if wait, _ := l.trySpend(key, limit, 1, true); wait == nil {
			t.Fatal("a request was admitted without a lease")
		}
		_, requests := l.collectRequests(now)
		l.mu.Lock()
		l.recordResponse(LeaseResponse{Grants: []LimitGrant{{key, Grant{Leased: leased, RetryAfter: time.Duration(retryAfterMs) * time.Millisecond}}}}, requests, now)
		l.mu.Unlock()
		if retryAfter, exhausted := l.Exhausted(key); exhausted && (retryAfter <= 0 || retryAfter > maxRetryAfter) {
			t.Fatalf("exhausted for %v", retryAfter)
		}
		if s, _ := l.Status(key); math.IsNaN(s.Balance) || math.IsInf(s.Balance, 0) {
			t.Fatalf("balance %v", s.Balance)
		}
	})
}
