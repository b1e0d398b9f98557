package gateway

import (
	"bytes"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"

	"leverdrum/fleet"
	"leverdrum/reason"
)

// unsizedReader hides the length of a reader.
type unsizedReader struct{ io.Reader }

// Guards against request bodies that exceed the memory limit of the box while callers send them
// slowly or wait. A body beyond the limit is refused and its reservation released.
func TestBodyMemoryIsBounded(t *testing.T) {
	g := NewWithT(t)
	all := &bodies{limit: 100 << 10}
	read := func(body io.Reader) (*bodyReservation, []byte, *reason.Reason) {
		h := all.reserve()
		b, refusal := readBody(httptest.NewRequest(http.MethodPost, "/", body), fleet.Limits{MaxBody: 80 << 10}, h)
		return h, b, refusal
	}
	text := bytes.Repeat([]byte("a"), 60<<10)
	first, got, refusal := read(bytes.NewReader(text))
	g.Expect(refusal).To(BeNil())
	g.Expect(got).To(Equal(text))
	for _, body := range []io.Reader{bytes.NewReader(text), unsizedReader{bytes.NewReader(text)}} {
		h, _, refusal := read(body)
		g.Expect(refusal).To(Equal(reason.BodiesFull))
		h.release()
	}
	g.Expect(all.used.Load()).To(BeEquivalentTo(len(text)))
	first.release()
	g.Expect(all.used.Load()).To(BeZero())
	h, got, refusal := read(unsizedReader{bytes.NewReader(text)})
	g.Expect(refusal).To(BeNil())
	g.Expect(got).To(Equal(text))
	h.release()
	for _, body := range []io.Reader{bytes.NewReader(append(text, text...)), unsizedReader{bytes.NewReader(append(text, text...))}} {
		h, _, refusal := read(body)
		g.Expect(refusal).To(Equal(reason.BodyTooLarge))
		h.release()
	}
	cut := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(text[:10]))
	cut.ContentLength = 20
	_, refusal = readBody(cut, fleet.Limits{}, all.reserve())
	g.Expect(refusal).To(Equal(reason.BadRequest))
	_, _, refusal = read(unsizedReader{io.MultiReader(bytes.NewReader(text[:10]), iotest.ErrReader(io.ErrUnexpectedEOF))})
	g.Expect(refusal).To(Equal(reason.BadRequest), "truncated body")
}
