package standin

import (
	"fmt"

	"leverdrum/fleet"
	"leverdrum/level"
	"leverdrum/wire"
)

// numberedFormat is the format of files that hold a number followed by arbitrary text.
const numberedFormat = "numbered"

func init() {
	decode := func(_ level.Level, text []byte) (*fleet.Fleet, error) {
		f := &fleet.Fleet{}
		_, err := fmt.Sscan(string(text), &f.Number)
		return f, err
	}
	// The format holds no keys, so there is nothing to redact.
	fleet.Register(numberedFormat, fleet.Codec{Decode: decode, Redact: func(text []byte) ([]byte, error) { return text, nil }})
}

// NumberedFile returns a fleet file that decodes to an empty fleet and holds arbitrary text after its number, for tests of
// file distribution.
func NumberedFile(number uint64, text string) *wire.ApplyFleet {
	text = fmt.Sprintln(number) + text
	return &wire.ApplyFleet{Number: number, Digest: fleet.Digest([]byte(text)), Text: text, Format: numberedFormat}
}
