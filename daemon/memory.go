package daemon

import (
	"runtime/debug"
	"runtime/metrics"
	"time"
)

const (
	// memoryShare is the part, in fifths, of the memory that the garbage collector
	// keeps below.
	memoryShare = 4
	// garbageBytes is how much garbage may stand beside what is in use, in bytes, within the bounds in percent of what is in
	// use: a box that knows thousands of servers and serves few requests needs no more than a small one does, and collecting
	// often is cheap where little is in use.
	garbageBytes    = 4 << 20
	leastGarbage    = 50
	mostGarbage     = 300
	garbageInterval = 2 * time.Second
)

// keepMemory has the garbage collector keep to a part of the memory, and to as much garbage as it may leave. It goes on for
// as long as the process.
func keepMemory(memory int64) {
	debug.SetMemoryLimit(memory / 5 * memoryShare)
	inUse := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	set := 0
	for {
		metrics.Read(inUse)
		percent := garbagePercent(inUse[0].Value.Uint64())
		if percent > set*5/4 || percent < set*4/5 { // each change stops the process for a moment
			debug.SetGCPercent(percent)
			set = percent
		}
		time.Sleep(garbageInterval)
	}
}

// garbagePercent is how much garbage may stand beside what is in use, in percent of it.
func garbagePercent(inUse uint64) int {
	return int(min(max(garbageBytes*100/max(inUse, 1), leastGarbage), mostGarbage))
}
