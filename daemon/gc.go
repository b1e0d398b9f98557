package daemon

import (
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// memoryLimitFifths is the soft memory limit of the garbage collector, in fifths of
	// the process's memory.
	memoryLimitFifths = 4
	// targetGarbageBytes is the garbage allowed beside the live heap, in bytes. minGCPercent and maxGCPercent bound it in
	// percent of the live heap. A box that knows thousands of servers and serves few requests needs no more garbage than a
	// small one, and frequent collections are cheap while the live heap is small.
	targetGarbageBytes = 4 << 20
	minGCPercent       = 50
	maxGCPercent       = 300
	gcAdjustInterval   = 2 * time.Second
)

// adjustGC sets the collector's memory limit to four fifths of the memory and keeps adjusting GOGC to the live heap. It
// never returns.
func adjustGC(memory int64) {
	debug.SetMemoryLimit(memory / 5 * memoryLimitFifths)
	liveHeap := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	current := 0
	for {
		metrics.Read(liveHeap)
		percent := gcPercent(liveHeap[0].Value.Uint64())
		if percent > current*5/4 || percent < current*4/5 { // each change stops the world briefly
			debug.SetGCPercent(percent)
			current = percent
		}
		time.Sleep(gcAdjustInterval)
	}
}

// gcPercent returns the GOGC value for a live heap of the given size in bytes.
func gcPercent(liveBytes uint64) int {
	return int(min(max(targetGarbageBytes*100/max(liveBytes, 1), minGCPercent), maxGCPercent))
}
