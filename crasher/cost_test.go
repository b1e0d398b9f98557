package crasher

import (
	"testing"

	"leverdrum/wire"
)

// BenchmarkHasBlocked measures what each choice of a server pays while nothing is blocked: a condition, whatever is suspected.
func BenchmarkHasBlocked(b *testing.B) {
	for name, suspects := range map[string]int{"none": 0, "100 suspects": 100, "4096 suspects": maxSuspects} {
		b.Run(name, func(b *testing.B) {
			registry := NewRegistry()
			for n := range suspects {
				p := PartFingerprint("s", uint64(n))
				registry.put(partKey(p), &wire.Suspect{Print: p[:], Service: "s", Part: uint64(n), Weight: strongWeight})
			}
			w := NewWatcher(func(*wire.CrashReport) {}, nil)
			b.ReportAllocs()
			for b.Loop() {
				if w.HasBlocked(&registry) {
					b.Fatal("nothing is blocked")
				}
			}
		})
	}
}

// TestChoiceAllocatesNothing checks that a choice allocates nothing while nothing is blocked.
func TestChoiceAllocatesNothing(t *testing.T) {
	registry := NewRegistry()
	w := NewWatcher(func(*wire.CrashReport) {}, nil)
	if n := testing.AllocsPerRun(100, func() { w.HasBlocked(&registry) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}
