package bench

import (
	"testing"
	"time"

	"leverdrum/workspace"
)

const (
	// maxLookupTime bounds the lookup of the workspace of a key. The lookup is on the path of each request, for which a box
	// has a few milliseconds on a fifth of a core.
	maxLookupTime = 200 * time.Nanosecond
	// The result is the minimum over lookupRounds rounds of lookupsPerRound lookups, since other processes share the machine.
	lookupsPerRound, lookupRounds = 10_000, 20
)

// BenchmarkLargeLookUp looks up a key among 2,000 workspaces with 20 keys each.
func BenchmarkLargeLookUp(b *testing.B) {
	var list []*workspace.Workspace
	for range 2000 {
		w := &workspace.Workspace{Name: workspace.NewKey()}
		for range 20 {
			w.Keys = append(w.Keys, workspace.DigestOf(workspace.NewKey()))
		}
		list = append(list, w)
	}
	key := workspace.NewKey()
	list[0].Keys = append(list[0].Keys, workspace.DigestOf(key))
	registry, _ := workspace.NewRegistry(list)
	presentedKeys := []string{key}
	for b.Loop() {
		least := time.Duration(1<<63 - 1)
		for range lookupRounds {
			began := time.Now()
			for range lookupsPerRound {
				if _, ok := registry.Authorize(presentedKeys, false); !ok {
					b.Fatal("the key was not found")
				}
			}
			least = min(least, time.Since(began)/lookupsPerRound)
		}
		b.ReportMetric(float64(least.Nanoseconds()), "ns/look-up")
		if least > maxLookupTime {
			b.Errorf("a lookup takes %v, want at most %v", least, maxLookupTime)
		}
	}
}
