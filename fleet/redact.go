package fleet

import (
	"strings"

	"leverdrum/internal/conf"
	"leverdrum/workspace"
)

// Redact returns a description for display, with each key replaced by its digest. For INI the result still describes
// the same fleet.
func Redact(format string, text []byte) ([]byte, error) {
	if format == "" {
		return redactINI(text), nil
	}
	codecsMu.RLock()
	c, known := codecs[format]
	codecsMu.RUnlock()
	if !known {
		return nil, Error.New("no codec for the format %q", format)
	}
	out, err := c.Redact(text)
	return out, Error.Wrap(err)
}

func redactINI(text []byte) []byte {
	var pairs []string
	for _, p := range conf.Read("fleet", text, Schema).Sections(sectionWorkspace) {
		for _, key := range p.List("keys") {
			if d, err := workspace.ParseKey(key); err == nil {
				pairs = append(pairs, key, d.Encode())
			}
		}
	}
	lines := strings.SplitAfter(string(text), "\n")
	r := strings.NewReplacer(pairs...)
	for i, line := range lines {
		if name, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == "keys" {
			lines[i] = name + "=" + r.Replace(value)
		}
	}
	return []byte(strings.Join(lines, ""))
}
