// Package build names the build of the running program.
package build

import (
	"runtime/debug"
	"sync"
)

const (
	// commitDigits is how much of a commit names it.
	commitDigits = 12
	unnamed      = "unnamed"
)

// commit is set by the linker where the build is made without the history: -X leverdrum/internal/build.commit=...
var commit string

// Name returns the commit that the program was built from, as far as the build tells.
var Name = sync.OnceValue(func() string {
	if commit != "" {
		return commit
	}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return unnamed
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value[:min(commitDigits, len(s.Value))]
		}
	}
	return unnamed
})
