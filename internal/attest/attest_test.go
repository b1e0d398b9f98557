package attest

import (
	"fmt"
	"net/http"
	"testing"

	. "github.com/onsi/gomega"
)

var names = Headers{RequestID: "Id", NotRun: "Not-Run", Stamp: "Stamp"}

// head is the head of a response.
type head struct {
	status int
	header http.Header
}

func refusal(id string) head {
	return head{http.StatusServiceUnavailable, http.Header{"Id": {id}, "Not-Run": {"1"}}}
}

func success(id string) head {
	return head{http.StatusOK, http.Header{"Id": {id}, "Stamp": {"s"}}}
}

// step is an attempt and the response that is read for it, on the connection of the steps before.
type step struct {
	id       string
	response head
	want     Ruling
}

func TestJudge(t *testing.T) {
	for name, steps := range map[string][]step{
		"refused":                        {{"a", refusal("a"), Ruling{This, NotRun}}},
		"answered":                       {{"a", success("a"), Ruling{This, Run}}},
		"failed":                         {{"a", head{500, http.Header{"Id": {"a"}}}, Ruling{This, Run}}},
		"of another request":             {{"a", refusal("b"), Ruling{Another, Nothing}}},
		"copy of a refusal":              {{"a", refusal("a"), Ruling{This, NotRun}}, {"a", refusal("a"), Ruling{This, Nothing}}},
		"copy of another one's refusal":  {{"a", refusal("a"), Ruling{This, NotRun}}, {"b", refusal("a"), Ruling{Another, Nothing}}},
		"refusal without ID, first":      {{"a", head{503, http.Header{"Not-Run": {"1"}}}, Ruling{This, NotRun}}},
		"refusal without ID, later":      {{"a", success("a"), Ruling{This, Run}}, {"b", head{503, http.Header{"Not-Run": {"1"}}}, Ruling{Unidentified, Nothing}}},
		"no request has an ID":           {{"", head{400, http.Header{"Not-Run": {"1"}}}, Ruling{This, NotRun}}},
		"server that never identifies":   {{"a", head{200, http.Header{"Stamp": {"s"}}}, Ruling{This, Run}}, {"b", head{500, nil}, Ruling{This, Run}}, {"c", head{503, http.Header{"Not-Run": {"1"}}}, Ruling{This, Nothing}}},
		"server that identifies":         {{"a", success("a"), Ruling{This, Run}}, {"b", head{500, nil}, Ruling{Unidentified, Nothing}}},
		"two IDs":                        {{"a", head{503, http.Header{"Id": {"a", "b"}, "Not-Run": {"1"}}}, Ruling{Unidentified, Nothing}}},
		"the same ID twice":              {{"a", head{503, http.Header{"Id": {"a", "a"}, "Not-Run": {"1"}}}, Ruling{This, NotRun}}},
		"misdirected without the header": {{"a", head{421, http.Header{"Id": {"a"}}}, Ruling{This, Nothing}}},
		"busy without the header":        {{"a", head{503, http.Header{"Id": {"a"}}}, Ruling{This, Nothing}}},
		"success that says not run":      {{"a", head{200, http.Header{"Id": {"a"}, "Stamp": {"s"}, "Not-Run": {"1"}}}, Ruling{This, Nothing}}},
		"failure that says not run":      {{"a", head{500, http.Header{"Id": {"a"}, "Not-Run": {"1"}}}, Ruling{This, Nothing}}},
		"header that denies":             {{"a", head{503, http.Header{"Id": {"a"}, "Not-Run": {"false"}}}, Ruling{This, Nothing}}},
		"success without stamp":          {{"a", head{200, http.Header{"Id": {"a"}}}, Ruling{This, Nothing}}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			var h History
			for _, s := range steps {
				h.Begin(s.id)
				got := h.Judge(s.id, s.response.status, s.response.header, &names)
				g.Expect(got).To(Equal(s.want))
			}
		})
	}
}

func TestMayCarry(t *testing.T) {
	g := NewWithT(t)
	var h History
	g.Expect(h.MayCarry("")).To(BeTrue(), "a new connection carries anything")
	exchange := func(id string, r head) {
		h.Begin(id)
		h.Judge(id, r.status, r.header, &names)
	}
	exchange("a", refusal("a"))
	exchange("b", success("b"))
	g.Expect(h.MayCarry("a")).To(BeFalse(), "a copy of its refusal may arrive")
	g.Expect(h.MayCarry("b")).To(BeTrue())
	g.Expect(h.MayCarry("")).To(BeFalse(), "its response could not be told from a copy")
	g.Expect(h.Reusable()).To(BeTrue())
	for i := range maxRemembered {
		exchange(fmt.Sprint("r", i), refusal(fmt.Sprint("r", i)))
	}
	g.Expect(h.Reusable()).To(BeFalse(), "it remembers as many requests as it may")

	h = History{}
	exchange("", head{200, http.Header{"Stamp": {"s"}}})
	g.Expect(h.MayCarry("a")).To(BeFalse())
	g.Expect(h.Reusable()).To(BeFalse())
}

// The check runs once for each response and each choice of a connection.
func TestCheckDoesNotAllocate(t *testing.T) {
	g := NewWithT(t)
	var h History
	for i := range 10 {
		r := refusal(fmt.Sprint("r", i))
		h.Begin(fmt.Sprint("r", i))
		h.Judge(fmt.Sprint("r", i), r.status, r.header, &names)
	}
	r := success("a")
	g.Expect(testing.AllocsPerRun(100, func() {
		if h.MayCarry("a") {
			h.Begin("a")
			h.Judge("a", r.status, r.header, &names)
		}
	})).To(BeZero())
}

func BenchmarkCheck(b *testing.B) {
	for _, remembered := range []int{0, 16, maxRemembered - 1} {
		b.Run(fmt.Sprint(remembered), func(b *testing.B) {
			var h History
			for i := range remembered {
				id := fmt.Sprint("r", i)
				r := refusal(id)
				h.Begin(id)
				h.Judge(id, r.status, r.header, &names)
			}
			r := success("a")
			b.ReportAllocs()
			for b.Loop() {
				if h.MayCarry("a") {
					h.Begin("a")
					h.Judge("a", r.status, r.header, &names)
				}
			}
		})
	}
}
