package standin

import (
	"fmt"

	"leverdrum/fleet"
	"leverdrum/level"
	"leverdrum/wire"
)

// numbered is the format of files that hold a number and any text behind it.
const numbered = "numbered"

func init() {
	decode := func(_ level.Level, text []byte) (*fleet.Fleet, error) {
		f := &fleet.Fleet{}
		_, err := fmt.Sscan(string(text), &f.Number)
		return f, err
	}
	// It holds no keys.
	fleet.Register(numbered, fleet.Codec{Decode: decode, Redact: func(text []byte) ([]byte, error) { return text, nil }})
}

// NumberedFile is an empty fleet with any text beside its number, for tests of how files
// travel.
func NumberedFile(number uint64, text string) *wire.ApplyFleet {
	text = fmt.Sprintln(number) + text
	return &wire.ApplyFleet{Number: number, Digest: fleet.Digest([]byte(text)), Text: text, Format: numbered}
}
