package bench

import (
	"testing"
	"time"

	"leverdrum/workspace"
)

const (
	// lookUpMost is what finding the workspace of a key may take. It is on the path of each request, of which a
	// box may spend some milliseconds of a fifth of a core.
	lookUpMost = 200 * time.Nanosecond
	// lookUps are done in a round; of the rounds the least counts, since others share the machine.
	lookUps, lookUpRounds = 10_000, 20
)

// BenchmarkLargeLookUp finds a key among 2,000 workspaces of 20 keys.
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
	book, _ := workspace.NewRegistry(list)
	shown := []string{key}
	for b.Loop() {
		least := time.Duration(1<<63 - 1)
		for range lookUpRounds {
			began := time.Now()
			for range lookUps {
				if _, ok := book.Authorize(shown, false); !ok {
					b.Fatal("the key is not known")
				}
			}
			least = min(least, time.Since(began)/lookUps)
		}
		b.ReportMetric(float64(least.Nanoseconds()), "ns/look-up")
		if least > lookUpMost {
			b.Errorf("a look-up takes %v, %v allowed", least, lookUpMost)
		}
	}
}
