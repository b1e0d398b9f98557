package gateway_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/internal/framing"
)

const (
	undelimitedHead       = "HTTP/1.1 200 OK\r\nX-Server-Stamp: st\r\nX-Request-Id: r1\r\n\r\n"
	undelimitedStreamHead = "HTTP/1.1 200 OK\r\nX-Server-Stamp: st\r\nX-Request-Id: r1\r\nContent-Type: text/event-stream\r\n\r\n"
	twoEvents             = "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
)

// writeAndClose returns a script that writes a response and closes the connection.
func writeAndClose(response string) script {
	return func(c net.Conn, _ string) bool {
		_, _ = io.WriteString(c, response)
		return false
	}
}

// asCaller returns the body of a raw response, and how it ended for its caller.
func asCaller(t *testing.T, raw string) (body string, end framing.End) {
	r, err := http.ReadResponse(bufio.NewReader(strings.NewReader(raw)), nil)
	if err != nil {
		t.Fatalf("%v: %.200q", err, raw)
	}
	b, err := io.ReadAll(r.Body)
	if err != nil {
		return string(b), framing.Truncated
	}
	return string(b), framing.Judge(framing.Delimited(http.MethodPost, r), io.EOF, nil)
}

// Guards against a response that its server broke off and whose caller takes it for complete: the gateway framed responses
// that had neither a length nor chunks.
func TestTruncatedResponseIsNotFramedAsComplete(t *testing.T) {
	large := strings.Repeat("x", 2<<20)
	for _, c := range []struct {
		name, path, response, body string
		end                        framing.End
	}{
		{"stream between events", "/stream/x", undelimitedStreamHead + twoEvents, twoEvents, framing.Unknown},
		{"stream that cannot resume, between events", "/once/x", undelimitedStreamHead + twoEvents, twoEvents, framing.Unknown},
		{"small response", "/unsafe/x", undelimitedHead + "par", "par", framing.Unknown},
		{"small response that may be repeated", "/safe/x", undelimitedHead + "par", "par", framing.Unknown},
		{"large response", "/unsafe/x", undelimitedHead + large, large, framing.Unknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			s := newSetup(t, 5*time.Second, newBackend(t, "i1", writeAndClose(c.response)))
			body, end := asCaller(t, s.send(request(c.path, "")))
			g.Expect(end.String()).To(Equal(c.end.String()))
			g.Expect(body == c.body).To(BeTrue(), "%d bytes, want %d", len(body), len(c.body))
		})
	}
}

// Guards against a stream that ends inside an event and does not go on at another server.
func TestStreamEndingInsideAnEventResumes(t *testing.T) {
	for name, first := range map[string]string{
		"undelimited": undelimitedStreamHead + twoEvents + "id: 3\ndat",
		"chunked":     fmt.Sprintf(streamHead, "st") + chunk(twoEvents+"id: 3\ndat") + "0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			serve := func(b **backend) script {
				return func(c net.Conn, _ string) bool {
					received := (*b).received()
					if header(received[len(received)-1], "Last-Event-Id") != "2" {
						return writeAndClose(first)(c, "")
					}
					fmt.Fprintf(c, streamHead, "st")
					events(c, 3, 5, 5)
					return true
				}
			}
			var a, b *backend
			a = newBackend(t, "i1", func(c net.Conn, id string) bool { return serve(&a)(c, id) })
			b = newBackend(t, "i2", func(c net.Conn, id string) bool { return serve(&b)(c, id) })
			s := newSetup(t, 5*time.Second, a, b)
			body, end := asCaller(t, s.send(request("/stream/x", "")))
			g.Expect(end).NotTo(Equal(framing.Truncated))
			for n := 1; n <= 5; n++ {
				g.Expect(strings.Count(body, fmt.Sprintf("id: %d\ndata: x\n\n", n))).To(Equal(1), "event %d", n)
			}
		})
	}
}

// Guards against a stream that ends inside an event and that its caller takes for complete, with a part of an event at its end.
func TestStreamEndingInsideAnEventIsTruncated(t *testing.T) {
	g := NewWithT(t)
	ending := fmt.Sprintf(streamHead, "st") + chunk(twoEvents+"id: 3\ndat") + "0\r\n\r\n"
	s := newSetup(t, 5*time.Second, newBackend(t, "i1", writeAndClose(ending)))
	body, end := asCaller(t, s.send(request("/once/x", "")))
	g.Expect(end).To(Equal(framing.Truncated))
	g.Expect(body).To(Equal(twoEvents))
}

// Guards against a stream without chunks that its server resets and whose caller sees it end: without chunks, only a reset
// shows that the gateway aborted the response.
func TestAbortedUndelimitedResponseIsReset(t *testing.T) {
	g := NewWithT(t)
	s := newSetup(t, 5*time.Second, newBackend(t, "i1", func(c net.Conn, _ string) bool {
		_, _ = io.WriteString(c, undelimitedStreamHead+twoEvents)
		time.Sleep(50 * time.Millisecond) // a reset discards what was not read yet
		_ = c.(*net.TCPConn).SetLinger(0)
		return false
	}))
	c, err := net.Dial("tcp", s.address)
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(within))
	_, _ = io.WriteString(c, request("/once/x", ""))
	all, err := io.ReadAll(c)
	g.Expect(string(all)).To(HaveSuffix(twoEvents))
	g.Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
}

// Guards against a stream that began in chunks, goes on without, and is given a last chunk although its end is unknown.
func TestContinuationOfUnknownEndIsNotFramedAsComplete(t *testing.T) {
	g := NewWithT(t)
	serve := func(b **backend) script {
		return func(c net.Conn, _ string) bool {
			received := (*b).received()
			if header(received[len(received)-1], "Last-Event-Id") == "" {
				return writeAndClose(fmt.Sprintf(streamHead, "st")+chunk(twoEvents))(c, "")
			}
			return writeAndClose(undelimitedStreamHead+"id: 3\ndata: x\n\n")(c, "")
		}
	}
	var a, b *backend
	a = newBackend(t, "i1", func(c net.Conn, id string) bool { return serve(&a)(c, id) })
	b = newBackend(t, "i2", func(c net.Conn, id string) bool { return serve(&b)(c, id) })
	body, end := asCaller(t, newSetup(t, 5*time.Second, a, b).send(request("/stream/x", "")))
	g.Expect(body).To(Equal(twoEvents + "id: 3\ndata: x\n\n"))
	g.Expect(end).To(Equal(framing.Truncated))
}

// Guards against a response that is framed as complete for a caller who shut down only its side of the connection.
func TestResponseToHalfClosedCallerIsNotFramedAsComplete(t *testing.T) {
	g := NewWithT(t)
	s := newSetup(t, 5*time.Second, newBackend(t, "i1", func(c net.Conn, _ string) bool {
		fmt.Fprintf(c, streamHead, "st")
		events(c, 1, 2, 5)
		time.Sleep(300 * time.Millisecond)
		events(c, 3, 5, 5)
		return true
	}))
	c, err := net.Dial("tcp", s.address)
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(within))
	_, _ = io.WriteString(c, request("/stream/x", ""))
	in := bufio.NewReader(c)
	var read strings.Builder
	for !strings.Contains(read.String(), "id: 2") {
		line, err := in.ReadString('\n')
		g.Expect(err).NotTo(HaveOccurred())
		read.WriteString(line)
	}
	g.Expect(c.(*net.TCPConn).CloseWrite()).To(Succeed())
	rest, _ := io.ReadAll(in)
	_, end := asCaller(t, read.String()+string(rest))
	if strings.Contains(string(rest), "id: 5") {
		g.Expect(end).To(Equal(framing.Complete))
	} else {
		g.Expect(end).To(Equal(framing.Truncated))
	}
}

// Guards against a stream that counts as cut off inside an event because a comment or a blank line follows its last one.
func TestCommentAfterTheLastEventIsNoPartOfAnEvent(t *testing.T) {
	for _, trailing := range []string{"\n", "\r\n", ": keep-alive\n", ": keep-alive"} {
		g := NewWithT(t)
		s := newSetup(t, 5*time.Second, newBackend(t, "i1", writeAndClose(fmt.Sprintf(streamHead, "st")+chunk(twoEvents+trailing)+"0\r\n\r\n")))
		body, end := asCaller(t, s.send(request("/once/x", "")))
		g.Expect(end).To(Equal(framing.Complete), "%q", trailing)
		g.Expect(body).To(Equal(twoEvents + trailing))
	}
}
