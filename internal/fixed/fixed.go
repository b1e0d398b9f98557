// Package fixed makes property tests give the same verdict every time.
package fixed

import (
	"flag"
	"strconv"
)

// Seed is the seed of all property tests.
const Seed = 20261202

// SetRapidFlags sets the flags of pgregory.net/rapid, which the test must import, to a
// fixed seed and a count of runs, and bounds the time that a failure is made
// smaller. Flags on the command line go before it. It is to be called from
// TestMain.
func SetRapidFlags(runs int) {
	flag.Parse()
	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed": strconv.Itoa(Seed), "rapid.checks": strconv.Itoa(runs), "rapid.nofailfile": "true", "rapid.shrinktime": "2s",
	} {
		if given[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
