// Package build identifies the build of the running program.
package build

import (
	"runtime/debug"
	"sync"
)

const (
	// commitDigits is the length of an abbreviated commit hash.
	commitDigits = 12
	unnamed      = "unnamed"
)

// commit is set by the linker if the build has no version control data: -X leverdrum/internal/build.commit=...
var commit string

// Name returns the commit that the program was built from, or "unnamed" if the build does not record it.
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
