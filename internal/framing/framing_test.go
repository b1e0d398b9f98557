package framing_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/internal/framing"
	"leverdrum/internal/liveness"
)

func TestDelimited(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		method, response string
		delimited        bool
	}{
		{"POST", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nab", true},
		{"POST", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true},
		{"POST", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", true},
		{"POST", "HTTP/1.1 200 OK\r\n\r\nab", false},
		{"POST", "HTTP/1.1 200 OK\r\n\r\n", false},
		{"POST", "HTTP/1.1 500 Internal Server Error\r\nConnection: close\r\n\r\nab", false},
		{"POST", "HTTP/1.0 200 OK\r\n\r\nab", false},
		{"HEAD", "HTTP/1.1 200 OK\r\n\r\n", true},
		{"POST", "HTTP/1.1 204 No Content\r\n\r\n", true},
		{"GET", "HTTP/1.1 304 Not Modified\r\n\r\n", true},
	} {
		r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(c.response)), &http.Request{Method: c.method})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(framing.Delimited(c.method, r)).To(Equal(c.delimited), "%s %q", c.method, c.response)
	}
}

// Guards against an aborted response that its caller takes for one that has ended, and against a whole one that is reset.
func TestUndelimitedResponses(t *testing.T) {
	for _, proto := range []string{"HTTP/1.0", "HTTP/1.1"} {
		for _, aborted := range []bool{false, true} {
			for _, size := range []int{0, 3, 1 << 20} {
				t.Run(fmt.Sprint(proto, " aborted ", aborted, " size ", size), func(t *testing.T) {
					g := NewWithT(t)
					raw, err := exchange(t, proto, "POST", func(w http.ResponseWriter, r *http.Request) {
						u := framing.BeginUndelimited(w, r, http.StatusOK)
						w.WriteHeader(http.StatusOK)
						_, _ = io.WriteString(w, strings.Repeat("x", size))
						if aborted {
							_ = http.NewResponseController(w).Flush()
							panic(http.ErrAbortHandler)
						}
						u.Finish()
					})
					if aborted {
						g.Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
						return
					}
					g.Expect(err).NotTo(HaveOccurred())
					r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(raw)), nil)
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(framing.Delimited("POST", r)).To(BeFalse())
					body, err := io.ReadAll(r.Body)
					g.Expect(err).NotTo(HaveOccurred())
					g.Expect(body).To(HaveLen(size))
				})
			}
		}
	}
}

func TestResponseWithoutBodyIsDelimited(t *testing.T) {
	g := NewWithT(t)
	for method, status := range map[string]int{"HEAD": http.StatusOK, "POST": http.StatusNoContent, "GET": http.StatusNotModified} {
		raw, err := exchange(t, "HTTP/1.1", method, func(w http.ResponseWriter, r *http.Request) {
			framing.BeginUndelimited(w, r, status).Finish()
			w.WriteHeader(status)
		})
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(raw).To(HaveSuffix("\r\n\r\n"), method)
	}
}

// exchange sends a request to a handler and returns the bytes that arrive until the connection ends, and its error.
func exchange(t *testing.T, proto, method string, h http.HandlerFunc) (string, error) {
	s := httptest.NewUnstartedServer(h)
	s.Config.ConnContext = framing.ConnContext
	s.Start()
	defer s.Close()
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	fmt.Fprintf(c, "%s / %s\r\nHost: h\r\nConnection: close\r\n\r\n", method, proto)
	all, err := io.ReadAll(c)
	return string(all), err
}

// Guards against an end that is taken for complete without evidence, and against probes for ends that need none.
func TestJudge(t *testing.T) {
	reset := errors.New("reset")
	for _, c := range []struct {
		delimited bool
		err       error
		evidence  liveness.Evidence
		end       framing.End
		asks      bool
	}{
		{true, io.EOF, liveness.Ended, framing.Complete, false},
		{true, reset, liveness.Answered, framing.Truncated, false},
		{false, reset, liveness.Answered, framing.Truncated, false},
		{false, io.EOF, liveness.Answered, framing.Confirmed, true},
		{false, io.EOF, liveness.Open, framing.Confirmed, true},
		{false, io.EOF, liveness.Relayed, framing.Confirmed, true},
		{false, io.EOF, liveness.None, framing.Unknown, true},
		{false, io.EOF, liveness.Ended, framing.Truncated, true},
	} {
		g := NewWithT(t)
		asked := false
		end := framing.Judge(c.delimited, c.err, func() liveness.Evidence { asked = true; return c.evidence })
		g.Expect(end.String()).To(Equal(c.end.String()), "%+v", c)
		g.Expect(asked).To(Equal(c.asks), "%+v", c)
		g.Expect(end.IsComplete()).To(Equal(c.end == framing.Complete || c.end == framing.Confirmed))
	}
	NewWithT(t).Expect(framing.Judge(false, io.EOF, nil)).To(Equal(framing.Unknown))
}

// Guards against the last bytes of an undelimited response that are lost when the process is killed after Finish: its
// connection then closes in the ordinary way.
func TestFinishWritesWhatIsBuffered(t *testing.T) {
	g := NewWithT(t)
	finished, checked := make(chan struct{}), make(chan struct{})
	s := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		u := framing.BeginUndelimited(w, r, http.StatusOK)
		w.WriteHeader(http.StatusOK)
		_, _ = io.WriteString(w, "whole")
		u.Finish()
		close(finished)
		<-checked
	}))
	s.Config.ConnContext = framing.ConnContext
	s.Start()
	defer s.Close()
	defer close(checked)
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
	<-finished
	r, err := http.ReadResponse(bufio.NewReader(c), nil)
	g.Expect(err).NotTo(HaveOccurred())
	body := make([]byte, len("whole"))
	_, err = io.ReadFull(r.Body, body)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(body)).To(Equal("whole"))
}
