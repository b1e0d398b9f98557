package workspace

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func digestsOf(keys ...string) (list []Digest) {
	for _, k := range keys {
		list = append(list, DigestOf(k))
	}
	return list
}

func TestKeyAuthorizesOnlyItsWorkspace(t *testing.T) {
	g := NewWithT(t)
	atelier := &Workspace{Name: "atelier", Keys: digestsOf("key-of-atelier-1", "key-of-atelier-2")}
	library := &Workspace{Name: "library", Keys: digestsOf("key-of-library")}
	registry, conflicts := NewRegistry([]*Workspace{atelier, library})
	g.Expect(conflicts).To(BeEmpty())
	for _, c := range []struct {
		name   string
		keys   []string
		public bool
		want   *Workspace
		ok     bool
	}{
		{"own key", []string{"key-of-atelier-1"}, false, atelier, true},
		{"second own key", []string{"key-of-atelier-2"}, false, atelier, true},
		{"key of another workspace", []string{"key-of-library"}, false, library, true},
		{"no key", nil, false, nil, false},
		{"empty key", []string{""}, false, nil, false},
		{"unknown key", []string{"key-of-nobody"}, false, nil, false},
		{"same key twice", []string{"key-of-library", "key-of-library"}, false, nil, false},
		{"two keys", []string{"key-of-library", "key-of-atelier-1"}, false, nil, false},
		{"trailing space", []string{"key-of-library "}, false, nil, false},
		{"arbitrary bytes", []string{"\x00\xff\r"}, false, nil, false},
		{"16 KB", []string{strings.Repeat("k", 16<<10)}, false, nil, false},
		{"digest of a key", []string{DigestOf("key-of-library").Encode()}, false, nil, false},
		{"no key on a public route", nil, true, nil, true},
		{"unknown key on a public route", []string{"key-of-nobody"}, true, nil, true},
		{"known key on a public route", []string{"key-of-library"}, true, library, true},
	} {
		w, ok := registry.Authorize(c.keys, c.public)
		g.Expect(w).To(BeIdenticalTo(c.want), c.name)
		g.Expect(ok).To(Equal(c.ok), c.name)
	}
}

func TestNoKeyRequiredWithoutWorkspaces(t *testing.T) {
	g := NewWithT(t)
	registry, _ := NewRegistry(nil)
	w, ok := registry.Authorize([]string{"any", "two"}, false)
	g.Expect(w).To(BeNil())
	g.Expect(ok).To(BeTrue())
}

func TestKeyConflictNamesBothWorkspaces(t *testing.T) {
	g := NewWithT(t)
	_, conflicts := NewRegistry([]*Workspace{{Name: "one", Keys: digestsOf("the-same-key")}, {Name: "two", Keys: digestsOf("the-same-key")}})
	g.Expect(conflicts).To(HaveLen(1))
	g.Expect(conflicts[0].String()).To(And(ContainSubstring("one"), ContainSubstring("two"), Not(ContainSubstring("the-same-key"))))
}

func TestParseKey(t *testing.T) {
	g := NewWithT(t)
	plain, err := ParseKey("a-key-of-some-length")
	g.Expect(err).NotTo(HaveOccurred())
	digest, err := ParseKey(DigestOf("a-key-of-some-length").Encode())
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(digest).To(Equal(plain))
	for _, bad := range []string{"", "short", strings.Repeat("k", MaxKeyLength+1), "sha256:", "sha256:00ff", "sha256:" + strings.Repeat("zz", 32)} {
		_, err := ParseKey(bad)
		g.Expect(err).To(HaveOccurred(), bad)
		if bad != "" {
			g.Expect(err.Error()).NotTo(ContainSubstring(bad))
		}
	}
	g.Expect(NewKey()).NotTo(Equal(NewKey()))
}

func TestWorkspaceUrgencyTakesPrecedence(t *testing.T) {
	g := NewWithT(t)
	first, second := &Workspace{Urgency: 0}, &Workspace{Urgency: 1}
	g.Expect(first.RequestUrgency(2)).To(BeNumerically("<", second.RequestUrgency(0)))
	g.Expect(first.RequestUrgency(0)).To(BeNumerically("<", first.RequestUrgency(1)))
	g.Expect((*Workspace)(nil).RequestUrgency(7)).To(Equal(7))
	g.Expect((&Workspace{Urgency: 99}).RequestUrgency(99)).To(Equal(9))
	g.Expect((&Workspace{Urgency: -1}).RequestUrgency(-1)).To(Equal(0))
}

func TestRequestWeights(t *testing.T) {
	g := NewWithT(t)
	tokens := Quota{Unit: Tokens, DefaultTokens: 200}
	for _, c := range []struct {
		name string
		q    Quota
		u    Usage
		want float64
	}{
		{"one per request", Quota{Unit: Requests}, NewUsage(1000, 10), 1},
		{"unit defaults to requests", Quota{}, NewUsage(1000, 10), 1},
		{"both counts", tokens, NewUsage(1000, 10), 1010},
		{"counts missing", tokens, Usage{}, 200},
		{"negative count", tokens, NewUsage(-5, 10), 200},
		{"huge counts", tokens, NewUsage(1e300, 1e300), maxTokens},
		{"zero", tokens, NewUsage(0, 0), 0},
	} {
		g.Expect(c.q.Weigh(c.u)).To(Equal(c.want), c.name)
	}
}

// Every request does a lookup by key.
func TestLookupDoesNotAllocate(t *testing.T) {
	registry, key := largeRegistry()
	if n := testing.AllocsPerRun(100, func() { registry.Authorize(key, false) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

// largeRegistry has 2,000 workspaces with 20 keys each.
func largeRegistry() (*Registry, []string) {
	var list []*Workspace
	for range 2000 {
		w := &Workspace{Name: NewKey()}
		for range 20 {
			w.Keys = append(w.Keys, DigestOf(NewKey()))
		}
		list = append(list, w)
	}
	key := NewKey()
	list[1000].Keys = append(list[1000].Keys, DigestOf(key))
	registry, _ := NewRegistry(list)
	return registry, []string{key}
}

func BenchmarkLookUp(b *testing.B) {
	registry, key := largeRegistry()
	for b.Loop() {
		registry.Authorize(key, false)
	}
}

func FuzzAuthorize(f *testing.F) {
	registry, _ := NewRegistry([]*Workspace{{Name: "one", Keys: digestsOf("the-only-key")}})
	f.Add("the-only-key")
	f.Add("")
	f.Add("sha256:00")
	f.Fuzz(func(t *testing.T, key string) {
		w, ok := registry.Authorize([]string{key}, false)
		if ok != (key == "the-only-key") || ok != (w != nil) {
			t.Errorf("%q: %v", key, ok)
		}
		_, _ = ParseKey(key)
	})
}
