package stream_test

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"leverdrum/stream"
)

const lastEvent = "data: [DONE]"

func event(id int) string { return fmt.Sprintf("id: %d\ndata: {\"n\":%d}\n\n", id, id) }

// completeStream returns the stream of n events as the caller must receive it.
func completeStream(n int) string {
	var b strings.Builder
	for i := 1; i <= n; i++ {
		b.WriteString(event(i))
	}
	return b.String() + lastEvent + "\n\n"
}

// Guards against duplicate and missing events: breaks a stream off at any byte repeatedly, resumes it
// at servers that start anywhere up to the event after the position, and feeds it in pieces of any
// size.
func TestNoDuplicateOrMissingEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 12).Draw(t, "events")
		r := stream.New(lastEvent)
		var got []byte
		for !r.Done() {
			from := 1
			if at, ok := r.Position(); ok && r.Forwarded() > 0 {
				from = rapid.IntRange(1, int(at)+1).Draw(t, "from")
			}
			var remainder string
			for i := from; i <= n; i++ {
				remainder += event(i)
			}
			remainder += lastEvent + "\n\n" + rapid.SampledFrom([]string{"", "data: more\n\n"}).Draw(t, "behind")
			remainder = remainder[:rapid.IntRange(0, len(remainder)).Draw(t, "cut")]
			for len(remainder) > 0 {
				k := rapid.IntRange(1, len(remainder)).Draw(t, "piece")
				var err error
				if got, err = r.Feed(got, []byte(remainder[:k])); err != nil {
					t.Fatal(err)
				}
				remainder = remainder[k:]
			}
			r.Continue()
		}
		if string(got) != completeStream(n) {
			t.Fatalf("the caller received %q", got)
		}
	})
}

func TestRelay(t *testing.T) {
	for name, c := range map[string]struct {
		last                string
		parts               []string // each part after the first is a continuation
		want                string
		fails               bool
		complete, resumable bool // whether it is complete, and can be resumed
	}{
		"a complete stream":                            {lastEvent, []string{completeStream(2)}, completeStream(2), false, true, false},
		"lines that end in CR LF":                      {lastEvent, []string{"data: x\r\n\r\n" + lastEvent + "\r\n\r\n"}, "data: x\r\n\r\n" + lastEvent + "\r\n\r\n", false, true, false},
		"a partial event":                              {lastEvent, []string{event(1) + "id: 2\ndata: {"}, event(1), false, false, true},
		"no ids":                                       {lastEvent, []string{"data: x\n\n"}, "data: x\n\n", false, false, false},
		"ids of another meaning":                       {lastEvent, []string{event(7)}, event(7), false, false, false},
		"a continuation that leaves a gap":             {lastEvent, []string{event(1), event(3)}, event(1), true, false, true},
		"a continuation without ids":                   {lastEvent, []string{event(1), "data: x\n\n"}, event(1), true, false, false},
		"a service's complete stream":                  {"", []string{"data: x\n\n"}, "data: x\n\n", false, true, false},
		"a service's stream that ends within an event": {"", []string{"data: x\n\ndata"}, "data: x\n\n", false, false, false},
		"an event larger than the limit":               {lastEvent, []string{"data: " + strings.Repeat("x", 1<<20)}, "", true, false, true},
		"an event that only contains the marker":       {lastEvent, []string{"id: 1\ndata: say data: [DONE]\n\n"}, "id: 1\ndata: say data: [DONE]\n\n", false, false, true},
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
		g.Expect(r.Complete()).To(Equal(c.complete), name)
		_, again := r.Position()
		g.Expect(again).To(Equal(c.resumable), name)
	}
}

func FuzzFeed(f *testing.F) {
	f.Add([]byte(completeStream(2)), 3)
	f.Add([]byte("id: 18446744073709551615\n\n\n\r\n"), 1)
	f.Fuzz(func(t *testing.T, data []byte, cut int) {
		want, err := stream.New(lastEvent).Feed(nil, data)
		if err != nil {
			return
		}
		k := min(max(cut, 0), len(data))
		r := stream.New(lastEvent)
		got, _ := r.Feed(nil, data[:k])
		got, _ = r.Feed(got, data[k:])
		if string(got) != string(want) {
			t.Fatalf("split at %d the relay forwards %q, otherwise %q", k, got, want)
		}
	})
}
