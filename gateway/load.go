package gateway

import (
	"time"

	"leverdrum/loadshare"
)

// LoadSource shares load and speed of servers, and demand for pools, with the other boxes. It is
// implemented by loadshare.Sharer, which documents the methods.
type LoadSource interface {
	Active(pool string) bool
	Begin(server string, prefill time.Duration)
	FirstEvent(server string, prefill time.Duration)
	End(server string)
	Sample(server, model string, gap time.Duration, stalled bool)
	Others(server string) (loadshare.Outstanding, bool)
	Slowness(server string) float64
	StalledShare(server string) float64
	RecordOutcome(server string, failed bool)
	FailingShare(server string) float64
	RecordDemand(pool string, rank int, workspace string, d loadshare.Demand)
	Pool(pool string) (loadshare.PoolLoad, bool)
	Changed() <-chan struct{}
	SamplePrefill(server, model string, tokens int, took time.Duration)
	PrefillTime(model string) (perToken, overhead time.Duration, ok bool)
	RecordPrefixes(server string, keys []uint64, tokens, capacity int)
	HasPrefix(server string, key uint64) bool
}
