package crasher_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"leverdrum/crasher"
)

func TestFingerprints(t *testing.T) {
	base := crasher.Content{Method: "POST", Host: "h.example", Target: "/a/x?q=1", Model: "m/a1", Body: []byte("body")}
	for name, change := range map[string]func(*crasher.Content){
		"method": func(c *crasher.Content) { c.Method = "PUT" },
		"host":   func(c *crasher.Content) { c.Host = "g.example" },
		"path":   func(c *crasher.Content) { c.Target = "/a/y?q=1" },
		"query":  func(c *crasher.Content) { c.Target = "/a/x?q=2" },
		"model":  func(c *crasher.Content) { c.Model = "m/a2" },
		"body":   func(c *crasher.Content) { c.Body = []byte("bodz") },
		"border": func(c *crasher.Content) { c.Model, c.Body = "m/a1b", []byte("ody") },
	} {
		other := base
		change(&other)
		NewWithT(t).Expect(crasher.FingerprintOf(other)).NotTo(Equal(crasher.FingerprintOf(base)), name)
	}
	g := NewWithT(t)
	again := base
	again.Body = []byte("body")
	g.Expect(crasher.FingerprintOf(again)).To(Equal(crasher.FingerprintOf(base)))
	p := crasher.FingerprintOf(base)
	read, ok := crasher.ParseFingerprint(p[:])
	g.Expect(ok).To(BeTrue())
	g.Expect(read).To(Equal(p))
	_, ok = crasher.ParseFingerprint(p[:15])
	g.Expect(ok).To(BeFalse())
}
