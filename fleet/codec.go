package fleet

import (
	"strings"
	"sync"
	"time"

	"github.com/zeebo/errs"

	"leverdrum/level"
)

// Error is the class of this package's errors other than conf.Faults.
var Error = errs.Class("fleet")

// Codec decodes a fleet description in a format other than INI.
type Codec struct {
	// Decode must return the same fleet on every box at a given level. Its error is conf.Faults.
	Decode func(l level.Level, text []byte) (*Fleet, error)
	// Redact returns the description with the keys of workspaces replaced by their digests.
	Redact func(text []byte) ([]byte, error)
}

var (
	codecsMu sync.RWMutex
	codecs   = map[string]Codec{}
)

// Register adds a codec under the name of its format. It must be called before
// any description is decoded.
func Register(format string, c Codec) {
	codecsMu.Lock()
	defer codecsMu.Unlock()
	codecs[format] = c
}

// Decode decodes a description in the given format, "" for INI, at the newest level of this build.
func Decode(format string, text []byte) (*Fleet, error) { return DecodeAt(level.Newest, format, text) }

// DecodeAt decodes a description at a given level. Builds that support no higher level must derive the same
// replicated state from it.
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
	f, err := c.Decode(l, text)
	if err != nil {
		return nil, err
	}
	f.deriveSharedLoad()
	return f, nil
}

// New returns an empty fleet with the defaults of the INI file. Codecs fill it
// in.
func New() *Fleet {
	f := newFleet()
	f.AttainmentWeight, f.MoveWeight, f.AffinitySlack, f.TargetUtilization, f.DemandHorizon = 1, 200, 0.5, 0.8, 5*time.Minute
	f.LoadsPerSecond, f.MaxConcurrentLoads = 2, 8
	return f
}

// AdapterName returns the name of an on-demand adapter, which is unique among
// the adapters of all models.
func AdapterName(model, adapter string) string { return model + "/" + adapter }

// SplitAdapter is the inverse of AdapterName; the adapter is empty for a model.
func SplitAdapter(name string) (model, adapter string) {
	model, adapter, _ = strings.Cut(name, "/")
	return model, adapter
}
