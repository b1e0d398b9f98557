// Package soak holds the fault soak: real daemons as separate processes on this
// machine, faults from outside them in series that overlap, and the promises checked
// from what callers, backend servers and the operator see. It is all tests:
//
//	go test ./soak                          one short run with a fixed seed, and every seed that ever failed
//	SOAK_SEEDS=50 SOAK_SECONDS=15 go test ./soak -run TestFreshSeeds -timeout 60m
//
// Not part of it: clocks (the daemons use the steady clock only, which nothing outside
// them can move) and links between boxes and backend servers.
package soak
