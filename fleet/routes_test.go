package fleet_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"leverdrum/fleet"
)

func TestRouteOfLongestPrefix(t *testing.T) {
	table := fleet.NewRouteTable([]*fleet.Route{
		{Name: "all", Host: "a.example", Prefix: "/"},
		{Name: "x", Host: "A.example", Prefix: "/x/"},
		{Name: "xy", Host: "a.example", Prefix: "/x/y/"},
		{Name: "other", Host: "b.example", Prefix: "/x/"},
	})
	for _, row := range []struct{ host, path, want string }{
		{"a.example", "/", "all"},
		{"a.example", "/x", "all"},
		{"a.example", "/x/", "x"},
		{"a.example:8080", "/x/z", "x"},
		{"A.EXAMPLE", "/x/y/z", "xy"},
		{"a.example", "/x//y/", "x"},
		{"b.example", "/x/y/", "other"},
		{"b.example", "/", ""},
		{"c.example", "/x/", ""},
		{"", "/x/", ""},
	} {
		got := ""
		if r := table.Find(row.host, row.path); r != nil {
			got = r.Name
		}
		NewWithT(t).Expect(got).To(Equal(row.want), "%s %s", row.host, row.path)
	}
}

func TestFindReturnsLongestPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		segment := rapid.SampledFrom([]string{"", "a/", "b/", "a/b/", "a/a/"})
		var list []*fleet.Route
		seen := map[string]bool{}
		for range rapid.IntRange(0, 6).Draw(t, "routes") {
			prefix := "/" + segment.Draw(t, "prefix")
			if !seen[prefix] {
				seen[prefix] = true
				list = append(list, &fleet.Route{Host: "h", Prefix: prefix})
			}
		}
		path := "/" + segment.Draw(t, "path") + "end"
		found := fleet.NewRouteTable(list).Find("h", path)
		for _, r := range list {
			if strings.HasPrefix(path, r.Prefix) && (found == nil || len(r.Prefix) > len(found.Prefix)) {
				t.Fatalf("%q is a longer prefix than the one found for %q", r.Prefix, path)
			}
		}
		if found != nil && !strings.HasPrefix(path, found.Prefix) {
			t.Fatalf("%q is not a prefix of %q", found.Prefix, path)
		}
	})
}

func TestRepeatable(t *testing.T) {
	g := NewWithT(t)
	g.Expect((&fleet.Route{Kind: fleet.Safe}).Repeatable()).To(BeTrue())
	g.Expect((&fleet.Route{Kind: fleet.Unsafe}).Repeatable()).To(BeFalse())
	g.Expect((&fleet.Route{Kind: fleet.Unsafe, Resumable: true}).Repeatable()).To(BeFalse())
	g.Expect((&fleet.Route{Kind: fleet.Streaming}).Repeatable()).To(BeFalse())
	g.Expect((&fleet.Route{Kind: fleet.Streaming, Resumable: true}).Repeatable()).To(BeTrue())
}

func TestUnknownFormatIsRefused(t *testing.T) {
	_, err := fleet.Decode("no-such-format", nil)
	NewWithT(t).Expect(err).To(MatchError(ContainSubstring("no-such-format")))
}
