package workspace

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

func keysOf(keys ...string) (list []Digest) {
	for _, k := range keys {
		list = append(list, DigestOf(k))
	}
	return list
}

func TestAKeyOpensItsWorkspaceOnly(t *testing.T) {
	g := NewWithT(t)
	atelier := &Workspace{Name: "atelier", Keys: keysOf("key-of-atelier-1", "key-of-atelier-2")}
	library := &Workspace{Name: "library", Keys: keysOf("key-of-library")}
	b, clashes := NewRegistry([]*Workspace{atelier, library})
	g.Expect(clashes).To(BeEmpty())
	for _, c := range []struct {
		name   string
		keys   []string
		public bool
		want   *Workspace
		ok     bool
	}{
		{"its own", []string{"key-of-atelier-1"}, false, atelier, true},
		{"its second", []string{"key-of-atelier-2"}, false, atelier, true},
		{"another's", []string{"key-of-library"}, false, library, true},
		{"none", nil, false, nil, false},
		{"empty", []string{""}, false, nil, false},
		{"unknown", []string{"key-of-nobody"}, false, nil, false},
		{"twice the same", []string{"key-of-library", "key-of-library"}, false, nil, false},
		{"two", []string{"key-of-library", "key-of-atelier-1"}, false, nil, false},
		{"with a blank", []string{"key-of-library "}, false, nil, false},
		{"odd bytes", []string{"\x00\xff\r"}, false, nil, false},
		{"16 KB", []string{strings.Repeat("k", 16<<10)}, false, nil, false},
		{"its digest", []string{DigestOf("key-of-library").Encode()}, false, nil, false},
		{"none on a public route", nil, true, nil, true},
		{"unknown on a public route", []string{"key-of-nobody"}, true, nil, true},
		{"known on a public route", []string{"key-of-library"}, true, library, true},
	} {
		w, ok := b.Authorize(c.keys, c.public)
		g.Expect(w).To(BeIdenticalTo(c.want), c.name)
		g.Expect(ok).To(Equal(c.ok), c.name)
	}
}

func TestWithoutWorkspacesNobodyNeedsAKey(t *testing.T) {
	g := NewWithT(t)
	b, _ := NewRegistry(nil)
	w, ok := b.Authorize([]string{"any", "two"}, false)
	g.Expect(w).To(BeNil())
	g.Expect(ok).To(BeTrue())
}

func TestAKeyThatTwoHoldIsNamedWithBoth(t *testing.T) {
	g := NewWithT(t)
	_, clashes := NewRegistry([]*Workspace{{Name: "one", Keys: keysOf("the-same-key")}, {Name: "two", Keys: keysOf("the-same-key")}})
	g.Expect(clashes).To(HaveLen(1))
	g.Expect(clashes[0].String()).To(And(ContainSubstring("one"), ContainSubstring("two"), Not(ContainSubstring("the-same-key"))))
}

func TestAFileHoldsKeysOrTheirDigests(t *testing.T) {
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

func TestTheWorkspacesUrgencyGoesBeforeTheRequests(t *testing.T) {
	g := NewWithT(t)
	first, second := &Workspace{Urgency: 0}, &Workspace{Urgency: 1}
	g.Expect(first.RequestUrgency(2)).To(BeNumerically("<", second.RequestUrgency(0)))
	g.Expect(first.RequestUrgency(0)).To(BeNumerically("<", first.RequestUrgency(1)))
	g.Expect((*Workspace)(nil).RequestUrgency(7)).To(Equal(7))
	g.Expect((&Workspace{Urgency: 99}).RequestUrgency(99)).To(Equal(9))
	g.Expect((&Workspace{Urgency: -1}).RequestUrgency(-1)).To(Equal(0))
}

func TestWhatRequestsWeigh(t *testing.T) {
	g := NewWithT(t)
	tokens := Quota{Unit: Tokens, DefaultTokens: 200}
	for _, c := range []struct {
		name string
		q    Quota
		u    Usage
		want float64
	}{
		{"a request counts as one", Quota{Unit: Requests}, NewUsage(1000, 10), 1},
		{"no unit is requests", Quota{}, NewUsage(1000, 10), 1},
		{"both counts", tokens, NewUsage(1000, 10), 1010},
		{"none told", tokens, Usage{}, 200},
		{"below zero", tokens, NewUsage(-5, 10), 200},
		{"huge", tokens, NewUsage(1e300, 1e300), maxTokens},
		{"nothing", tokens, NewUsage(0, 0), 0},
	} {
		g.Expect(c.q.Weigh(c.u)).To(Equal(c.want), c.name)
	}
}

// A look-up by key is on the path of each request.
func TestALookUpAllocatesNothing(t *testing.T) {
	b, key := largeBook()
	if n := testing.AllocsPerRun(100, func() { b.Authorize(key, false) }); n > 0 {
		t.Errorf("%v allocations", n)
	}
}

// largeBook has 2,000 workspaces of 20 keys.
func largeBook() (*Registry, []string) {
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
	b, _ := NewRegistry(list)
	return b, []string{key}
}

func BenchmarkLookUp(b *testing.B) {
	book, key := largeBook()
	for b.Loop() {
		book.Authorize(key, false)
	}
}

func FuzzAdmit(f *testing.F) {
	b, _ := NewRegistry([]*Workspace{{Name: "one", Keys: keysOf("the-only-key")}})
	f.Add("the-only-key")
	f.Add("")
	f.Add("sha256:00")
	f.Fuzz(func(t *testing.T, key string) {
		w, ok := b.Authorize([]string{key}, false)
		if ok != (key == "the-only-key") || ok != (w != nil) {
			t.Errorf("%q: %v", key, ok)
		}
		_, _ = ParseKey(key)
	})
}
