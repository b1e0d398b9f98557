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

// slowly gives a reader without a length.
type slowly struct{ io.Reader }

// Bodies that callers send slowly, or that wait, take no more of a box than their part of its memory; what is beyond is
// refused and leaves nothing behind.
func TestBodiesAreBounded(t *testing.T) {
	g := NewWithT(t)
	all := &bodies{most: 100 << 10}
	read := func(body io.Reader) (*bodyHold, []byte, *reason.Reason) {
		h := all.hold()
		b, why := readBody(httptest.NewRequest(http.MethodPost, "/", body), fleet.Limits{MaxBody: 80 << 10}, h)
		return h, b, why
	}
	text := bytes.Repeat([]byte("a"), 60<<10)
	first, got, why := read(bytes.NewReader(text))
	g.Expect(why).To(BeNil())
	g.Expect(got).To(Equal(text))
	for _, body := range []io.Reader{bytes.NewReader(text), slowly{bytes.NewReader(text)}} {
		h, _, why := read(body)
		g.Expect(why).To(Equal(reason.BodiesFull))
		h.release()
	}
	g.Expect(all.held.Load()).To(BeEquivalentTo(len(text)))
	first.release()
	g.Expect(all.held.Load()).To(BeZero())
	h, got, why := read(slowly{bytes.NewReader(text)})
	g.Expect(why).To(BeNil())
	g.Expect(got).To(Equal(text))
	h.release()
	for _, body := range []io.Reader{bytes.NewReader(append(text, text...)), slowly{bytes.NewReader(append(text, text...))}} {
		h, _, why := read(body)
		g.Expect(why).To(Equal(reason.BodyTooLarge))
		h.release()
	}
	cut := httptest.NewRequest(http.MethodPost, "/", bytes.NewReader(text[:10]))
	cut.ContentLength = 20
	_, why = readBody(cut, fleet.Limits{}, all.hold())
	g.Expect(why).To(Equal(reason.BadRequest))
	_, _, why = read(slowly{io.MultiReader(bytes.NewReader(text[:10]), iotest.ErrReader(io.ErrUnexpectedEOF))})
	g.Expect(why).To(Equal(reason.BadRequest), "cut off, not ended")
}
