package fleet

import (
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"leverdrum/level"
)

// Error is the class of this package's errors beside conf.Faults.
var Error = errs.Class("fleet")

// Codec reads a description that is written in another format than INI.
type Codec struct {
	// Decode must give the same fleet on every box at a level, and fails with conf.Faults.
	Decode func(l level.Level, text []byte) (*Fleet, error)
	// Redact returns the description with digests in place of workspaces' keys.
	Redact func(text []byte) ([]byte, error)
}

var (
	codecsMu sync.RWMutex
	codecs   = map[string]Codec{}
)

// Register makes a codec known under the name of its format. It is called before
// any description is read.
func Register(format string, c Codec) {
	codecsMu.Lock()
	defer codecsMu.Unlock()
	codecs[format] = c
}

// Decode reads a description in the format, "" for INI, as this build's newest level has it.
func Decode(format string, text []byte) (*Fleet, error) { return DecodeAt(level.Newest, format, text) }

// DecodeAt reads a description as a level has it: what is agreed of it must be the same for builds that
// know no further one.
func DecodeAt(l level.Level, format string, text []byte) (*Fleet, error) {
	if format == "" {
		return parseAt(l, "fleet", text)
	}
	codecsMu.RLock()
	c, known := codecs[format]
	codecsMu.RUnlock()
	if !known {
		return nil, Error.New("no codec for the format %q", format)
	}
	return c.Decode(l, text)
}

// New returns an empty fleet with the defaults of the INI file, for codecs to
// fill.
func New() *Fleet {
	f := newFleet()
	f.AttainmentWeight, f.MoveWeight, f.AffinitySlack, f.TargetUtilization, f.DemandHorizon = 1, 200, 0.5, 0.8, 5*time.Minute
	f.LoadsPerSecond, f.MaxConcurrentLoads = 2, 8
	return f
}

// AdapterName names an on-demand adapter, unlike those of other models.
func AdapterName(model, adapter string) string { return model + "/" + adapter }

// SplitAdapter undoes AdapterName; the adapter is empty for a model.
func SplitAdapter(name string) (model, adapter string) {
	model, adapter, _ = strings.Cut(name, "/")
	return model, adapter
}
