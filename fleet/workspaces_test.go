package fleet_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"leverdrum/fleet"
	"leverdrum/workspace"
)

const (
	plainKey = "key-of-the-atelier"
	withKeys = validFile + `
[workspace atelier]
keys = ` + plainKey + `, sha256:77af778b51abd4a3c51c5ddd97204a9c3ae614ebccb75a606c3b6865aed6744e
urgency = 1
rate = 5000
burst = 9000
unit = tokens
plain-tokens = 200
[workspace library]
keys = key-of-the-library
`
)

func TestWorkspacesAreRead(t *testing.T) {
	g := NewWithT(t)
	f, err := fleet.Parse("f.ini", []byte(withKeys))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(f.Workspaces.All()).To(HaveLen(2))
	w, ok := f.Workspaces.Authorize([]string{plainKey}, false)
	g.Expect(ok).To(BeTrue())
	g.Expect(w.Name).To(Equal("atelier"))
	g.Expect(w.Urgency).To(Equal(1))
	g.Expect(w.Quota).To(Equal(workspace.Quota{Unit: workspace.Tokens, Rate: 5000, Burst: 9000, DefaultTokens: 200}))
	w, ok = f.Workspaces.Authorize([]string{"cat"}, false) // the digest in the file is that of "cat"
	g.Expect(ok).To(BeTrue())
	g.Expect(w.Name).To(Equal("atelier"))
}

func TestInvalidWorkspaceFaultsHideKeys(t *testing.T) {
	for name, row := range map[string]struct{ old, next, want string }{
		"a shared key":       {"keys = key-of-the-library", "keys = " + plainKey, "held by atelier and by library"},
		"too short a key":    {"keys = key-of-the-library", "keys = secret", "6 bytes"},
		"a malformed digest": {"sha256:77af", "sha256:", "no SHA-256"},
		"an unknown unit":    {"unit = tokens", "unit = words", "unit"},
		"a rate below zero":  {"rate = 5000", "rate = -1", "rate"},
	} {
		g := NewWithT(t)
		text := strings.Replace(withKeys, row.old, row.next, 1)
		g.Expect(text).NotTo(Equal(withKeys), name)
		_, err := fleet.Parse("f.ini", []byte(text))
		g.Expect(err).To(MatchError(ContainSubstring(row.want)), name)
		g.Expect(err.Error()).NotTo(ContainSubstring("secret"), name)
		g.Expect(err.Error()).NotTo(ContainSubstring(plainKey), name)
	}
}

func TestRedactedFileHoldsNoKeysAndSameFleet(t *testing.T) {
	g := NewWithT(t)
	shown, err := fleet.Redact("", []byte(withKeys))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(shown)).NotTo(ContainSubstring(plainKey))
	g.Expect(string(shown)).NotTo(ContainSubstring("key-of-the-library"))
	f, err := fleet.Parse("f.ini", shown)
	g.Expect(err).NotTo(HaveOccurred())
	for _, key := range []string{plainKey, "key-of-the-library", "cat"} {
		_, ok := f.Workspaces.Authorize([]string{key}, false)
		g.Expect(ok).To(BeTrue(), key)
	}
}
