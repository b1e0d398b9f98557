package stream_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"leverdrum/stream"
)

const last = "data: [DONE]"

func event(id int) string { return fmt.Sprintf("id: %d\ndata: {\"n\":%d}\n\n", id, id) }

// answer is the one right stream of n events.
func answer(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(event(i))
	}
	return b.String() + last + "\n\n"
}

// TestNothingTwiceNothingMissing breaks a stream off at any byte, again and
// again, and continues it at servers that begin anywhere before the position,
// in pieces of any size: the caller gets the one right stream.
func TestNothingTwiceNothingMissing(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 12).Draw(t, "events")
		r := stream.New(last)
		var got []byte
		for !r.Done() {
			from := 1
			if at, ok := r.Position(); ok && r.Forwarded() > 0 {
				from = rapid.IntRange(1, int(at)+1).Draw(t, "from")
			}
			var rest string
			for i := from; i <= n; i++ {
				rest += event(i)
			}
			rest += last + "\n\n" + rapid.SampledFrom([]string{"", "data: more\n\n"}).Draw(t, "behind")
			rest = rest[:rapid.IntRange(0, len(rest)).Draw(t, "cut")]
			for len(rest) > 0 {
				k := rapid.IntRange(1, len(rest)).Draw(t, "piece")
				var err error
				if got, err = r.Feed(got, []byte(rest[:k])); err != nil {
					t.Fatal(err)
				}
				rest = rest[k:]
			}
			r.Continue()
		}
		if string(got) != answer(n) {
			t.Fatalf("the caller got %q", got)
		}
	})
}

func TestRelay(t *testing.T) {
	for name, c := range map[string]struct {
		last         string
		parts        []string // each behind the first is a continuation
		want         string
		fails        bool
		whole, again bool // whether it is whole, and can be continued
	}{
		"a whole stream":                    {last, []string{answer(2)}, answer(2), false, true, false},
		"lines that end in CR LF":           {last, []string{"data: x\r\n\r\n" + last + "\r\n\r\n"}, "data: x\r\n\r\n" + last + "\r\n\r\n", false, true, false},
		"a part of an event":                {last, []string{event(1) + "id: 2\ndata: {"}, event(1), false, false, true},
		"no ids":                            {last, []string{"data: x\n\n"}, "data: x\n\n", false, false, false},
		"ids of another meaning":            {last, []string{event(7)}, event(7), false, false, false},
		"a continuation that leaves a gap":  {last, []string{event(1), event(3)}, event(1), true, false, true},
		"a continuation without ids":        {last, []string{event(1), "data: x\n\n"}, event(1), true, false, false},
		"a service's stream, whole":         {"", []string{"data: x\n\n"}, "data: x\n\n", false, true, false},
		"a service's stream in mid-event":   {"", []string{"data: x\n\ndata"}, "data: x\n\n", false, false, false},
		"an event larger than the limit":    {last, []string{"data: " + strings.Repeat("x", 1<<20)}, "", true, false, true},
		"text that only contains the words": {last, []string{"id: 1\ndata: say data: [DONE]\n\n"}, "id: 1\ndata: say data: [DONE]\n\n", false, false, true},
	} {
		g := NewWithT(t)
		r := stream.New(c.last)
		var got []byte
		var err error
		for i, part := range c.parts {
			if i > 0 {
				r.Continue()
			}
			if got, err = r.Feed(got, []byte(part)); err != nil {
				break
			}
		}
		g.Expect(err != nil).To(Equal(c.fails), name)
		g.Expect(string(got)).To(Equal(c.want), name)
		g.Expect(r.Complete()).To(Equal(c.whole), name)
		_, again := r.Position()
		g.Expect(again).To(Equal(c.again), name)
	}
}

func FuzzFeed(f *testing.F) {
	f.Add([]byte(answer(2)), 3)
	f.Add([]byte("id: 18446744073709551615\n\n\n\r\n"), 1)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		whole, err := stream.New(last).Feed(nil, data)
		if err != nil {
			return
		}
		k := min(max(cut, 0), len(data))
		r := stream.New(last)
		got, _ := r.Feed(nil, data[:k])
		got, _ = r.Feed(got, data[k:])
		if string(got) != string(whole) {
			t.Fatalf("cut at %d it passes %q, else %q", k, got, whole)
		}
	})
}
