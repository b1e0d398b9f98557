// Package soak runs fault soak tests: real daemons run as separate processes on this machine, overlapping series of faults
// are injected from outside, and the guarantees are checked from what callers, backend servers and the operator observe.
// The package contains only tests:
//
//	go test ./soak                          one short run with a fixed seed, and every seed that ever failed; a steady run with a slow server
//	SOAK_SEEDS=50 SOAK_SECONDS=15 go test ./soak -run TestFreshSeeds -timeout 60m
//
// Not covered: clock changes (the daemons use only the monotonic clock, which cannot be changed from outside) and faults of
// the links between boxes and backend servers.
package soak
