// Package fixed makes property tests reproducible.
package fixed

import (
	"flag"
	"strconv"
)

// Seed is the seed of all property tests.
const Seed = 20261202

// SetRapidFlags sets the flags of pgregory.net/rapid, which the test must import: a
// fixed seed, the number of runs and a limit on the time for shrinking a failure.
// Flags on the command line take precedence. It must be called from TestMain.
func SetRapidFlags(runs int) {
	flag.Parse()
	explicit := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { explicit[f.Name] = true })
	for name, value := range map[string]string{
		"rapid.seed": strconv.Itoa(Seed), "rapid.checks": strconv.Itoa(runs), "rapid.nofailfile": "true", "rapid.shrinktime": "2s",
	} {
		if explicit[name] {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
}
