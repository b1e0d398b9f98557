package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus/testutil"

	"leverdrum/internal/responsehead"
	"leverdrum/meter"
)

// malformedHeads are responses that a parser which accepts more than the grammar would take for successes.
var malformedHeads = map[string]string{
	"status 000":              "HTTP/1.1 000 Oops\r\nContent-Length: 4\r\n\r\nfine",
	"status 099":              "HTTP/1.1 099 Oops\r\nContent-Length: 4\r\n\r\nfine",
	"status 999":              "HTTP/1.1 999 Oops\r\nContent-Length: 4\r\n\r\nfine",
	"upgrade":                 "HTTP/1.1 101 Oops\r\n\r\nfine",
	"another version":         "HTTP/1.2 200 OK\r\nContent-Length: 4\r\n\r\nfine",
	"blank in a name":         "HTTP/1.1 200 OK\r\nX Y: 1\r\nContent-Length: 4\r\n\r\nfine",
	"control byte in a value": "HTTP/1.1 200 OK\r\nX: a\x01b\r\nContent-Length: 4\r\n\r\nfine",
	"blank before a colon":    "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nfine",
	"blank before chunks":     "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
	"folded value":            "HTTP/1.1 200 OK\r\nX: a\r\n b\r\nContent-Length: 4\r\n\r\nfine",
	"one length twice":        "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 4\r\n\r\nfine",
	"length and chunks":       "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
	"chunks in HTTP/1.0":      "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n",
	"malformed interim":       "HTTP/1.1 103 Hints\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine",
	"malformed trailer":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\nX Y: 1\r\n\r\n",
	"length in a trailer":     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\nContent-Length: 4\r\n\r\n",
}

// Guards against bytes that are no response and reach a caller as one, and against a panic of the handler that forwards an
// invalid status.
func TestMalformedHeadsAreNoResponse(t *testing.T) {
	for name, text := range malformedHeads {
		t.Run(name, func(t *testing.T) {
			s := newRawService(t, text, false)
			r, _, _, err := s.call(t, "")
			g := NewWithT(t)
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(r.StatusCode).To(Equal(http.StatusBadGateway))
			g.Expect(s.malformed()).To(BeEquivalentTo(1), "counted by kind")
		})
	}
}

// malformed returns the number of malformed responses that were counted.
func (s *rawService) malformed() (n float64) {
	for _, kind := range []responsehead.Kind{
		responsehead.Version, responsehead.Status, responsehead.FieldName, responsehead.BlankInName, responsehead.FieldValue, responsehead.Folded,
		responsehead.ContentLength, responsehead.TransferEncoding, responsehead.LengthAndChunks, responsehead.Trailer,
	} {
		n += testutil.ToFloat64(s.meters.Count(meter.MalformedResponses, string(kind)))
	}
	return n
}

// Guards against a whole response that is lost because malformed bytes follow it.
func TestBytesAfterAWholeResponseDoNotSpoilIt(t *testing.T) {
	for _, surplus := range []string{"oops", "HTTP/1.1 000 Oops\r\n\r\n", "\x00\r\n"} {
		for _, whole := range []string{"Content-Length: 4\r\n\r\nfine", "Transfer-Encoding: chunked\r\n\r\n4;a=b\r\nfine\r\n0\r\nX: y\r\n\r\n"} {
			g := NewWithT(t)
			s := newRawService(t, "HTTP/1.1 200 OK\r\n"+whole+surplus, false)
			r, body, _, err := s.call(t, "")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(r.StatusCode).To(Equal(http.StatusOK))
			g.Expect(body).To(Equal("fine"))
		}
	}
}

// upload sends a call with a large body. It reports whether its caller takes the response for a whole success.
func (s *rawService) upload(t *testing.T, size int) (complete bool) {
	g := NewWithT(t)
	c, err := net.Dial("tcp", s.address)
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprintf(c, "POST /services/shop/orders HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", size, strings.Repeat("u", size))
	answer, err := io.ReadAll(c)
	return err == nil && strings.HasPrefix(string(answer), "HTTP/1.1 200 ")
}

// Guards against a part of a response that its caller takes for complete: the server resets the connection while the request
// is being written, and the writer of the request receives the error.
func TestResetDuringUploadIsNotAnEnd(t *testing.T) {
	const uploads = 20
	for name, contentType := range map[string]string{"plain": "text/plain", "stream": "text/event-stream"} {
		t.Run(name, func(t *testing.T) {
			s := newScriptedService(t, func(c net.Conn) {
				defer c.Close()
				if _, err := io.CopyN(io.Discard, c, 16); err != nil {
					return
				}
				_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: "+contentType+"\r\n\r\nid: 1\ndata: par\n\n")
				time.Sleep(60 * time.Millisecond) // a reset discards what was not read yet
				_ = c.(*net.TCPConn).SetLinger(0)
			})
			var wg sync.WaitGroup
			var complete atomic.Int64
			for range uploads {
				wg.Go(func() {
					if s.upload(t, 4<<20) {
						complete.Add(1)
					}
				})
			}
			wg.Wait()
			NewWithT(t).Expect(complete.Load()).To(BeZero(), "parts that end as complete, of %d", uploads)
		})
	}
}

// Guards against a part of a response that its caller takes for complete, whenever the reset comes and whatever the request's
// size is.
func TestResetAtAnyMomentOfAnUploadIsNotAnEnd(t *testing.T) {
	const uploads, callers, seed = 1000, 4, 20261206
	random := rand.New(rand.NewPCG(seed, 1))
	var mu sync.Mutex
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	s := newScriptedService(t, func(c net.Conn) {
		defer c.Close()
		if _, err := io.CopyN(io.Discard, c, int64(16+draw(1<<10))); err != nil {
			return
		}
		contentType := []string{"text/plain", "text/event-stream"}[draw(2)]
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: "+contentType+"\r\n\r\nid: 1\ndata: par\n\n")
		time.Sleep(time.Duration(draw(20_000)) * time.Microsecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	var wg sync.WaitGroup
	var next, complete atomic.Int64
	for range callers {
		wg.Go(func() {
			for next.Add(1) <= uploads {
				size := 1 << (10 + draw(15))
				if s.upload(t, min(size+draw(size), maxUpload)) {
					complete.Add(1)
				}
			}
		})
	}
	wg.Wait()
	NewWithT(t).Expect(complete.Load()).To(BeZero(), "parts that end as complete, of %d", uploads)
}

// Guards against an early response with a length that is lost because its request is still being written.
func TestEarlyDelimitedResponseIsForwarded(t *testing.T) {
	g := NewWithT(t)
	s := newScriptedService(t, func(c net.Conn) {
		defer c.Close()
		in := bufio.NewReader(c)
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nfine")
		time.Sleep(20 * time.Millisecond)
		_, _ = io.Copy(io.Discard, r.Body)
	})
	for range 10 {
		g.Expect(s.upload(t, 4<<20)).To(BeTrue())
	}
}

// Guards against an undelimited response that counts as broken although its server received the whole request.
func TestUndelimitedResponseToAnUploadIsComplete(t *testing.T) {
	g := NewWithT(t)
	s := newRawService(t, "HTTP/1.1 200 OK\r\n\r\nfine", false)
	for range 50 {
		g.Expect(s.upload(t, 4<<20)).To(BeTrue())
	}
}

// Guards against a response whose head is truncated, at any byte, and that reaches its caller as a success with an empty body.
func TestHeadTruncatedAtAnyByteIsNoSuccess(t *testing.T) {
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nX: y\r\nContent-Length: 4\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: y\r\n\r\n",
		"HTTP/1.1 204 No Content\r\nX: y\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		for cut := range head {
			r, body, _, err := newRawService(t, head[:cut], false).call(t, "")
			if err == nil && r.StatusCode/100 == 2 {
				t.Errorf("%q reached the caller as %d with the body %q", head[:cut], r.StatusCode, body)
			}
		}
	}
}
