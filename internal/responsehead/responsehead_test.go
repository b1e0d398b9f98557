package responsehead

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/internal/attest"
)

// The strictest reading of a head, as expressions over the whole of it.
var (
	oracleHead   = regexp.MustCompile(`^HTTP/1\.[01] ([1-5][0-9][0-9])( [\t -~\x80-\xff]*)?\r\n((?:[!#$%&'*+.^_` + "`" + `|~0-9A-Za-z-]+:[\t -~\x80-\xff]*\r\n)*)\r\n`)
	oracleField  = regexp.MustCompile(`(?im)^(content-length|transfer-encoding):[\t ]*(.*?)[\t ]*\r$`)
	oracleLength = regexp.MustCompile(`^[0-9]{1,18}$`)
)

// latin1 makes each byte a rune, as the expressions expect.
func latin1(b []byte) string {
	runes := make([]rune, len(b))
	for i, c := range b {
		runes[i] = rune(c)
	}
	return string(runes)
}

// oracle returns the size of the head that data begins with, 0 if it begins with none.
func oracle(data []byte) int {
	end := bytes.Index(data, []byte("\r\n\r\n"))
	if end < 0 || end+4 > attest.MaxHeadBytes {
		return 0
	}
	head := latin1(data[:end+4])
	parts := oracleHead.FindStringSubmatch(head)
	if parts == nil || len(parts[0]) != len(head) || parts[1] == "101" {
		return 0
	}
	var lengths, encodings []string
	for _, field := range oracleField.FindAllStringSubmatch(parts[3], -1) {
		if strings.EqualFold(field[1], "content-length") {
			lengths = append(lengths, field[2])
		} else {
			encodings = append(encodings, field[2])
		}
	}
	bodyless := parts[1][0] == '1' || parts[1] == "204"
	switch {
	case len(lengths) > 1, len(encodings) > 1, len(lengths) > 0 && len(encodings) > 0,
		len(lengths) == 1 && (!oracleLength.MatchString(lengths[0]) || bodyless && strings.Trim(lengths[0], "0") != ""),
		len(encodings) == 1 && (!strings.EqualFold(encodings[0], "chunked") || bodyless || strings.HasPrefix(head, "HTTP/1.0")):
		return 0
	}
	return end + 4
}

// checkInPieces feeds a head in pieces of a size, and returns the size of the head, 0 if it is malformed or has no end.
func checkInPieces(data []byte, size int) int {
	var h Head
	total := 0
	for len(data) > 0 {
		n, ended, err := h.Feed(data[:min(size, len(data))])
		total += n
		if ended {
			return total
		}
		if err != nil {
			return 0
		}
		data = data[n:]
	}
	return 0
}

// staticConn is a connection from which data is read, after which it ends, and that takes all writes.
type staticConn struct {
	net.Conn
	data io.Reader
}

func (c *staticConn) Read(b []byte) (int, error)       { return c.data.Read(b) }
func (c *staticConn) Write(b []byte) (int, error)      { return len(b), nil }
func (c *staticConn) Close() error                     { return nil }
func (c *staticConn) SetWriteDeadline(time.Time) error { return nil }

// readThrough reads a response through a Conn, as the own interface does.
func readThrough(data []byte) (*http.Response, error) {
	c := NewConn(&staticConn{data: bytes.NewReader(data)})
	c.expect(http.MethodPost, 0)
	_, _ = c.Write([]byte("POST / HTTP/1.1\r\n\r\n"))
	return http.ReadResponse(bufio.NewReader(c), &http.Request{Method: http.MethodPost})
}

// compare fails if the readers of both interfaces accept a head that the strictest reading rejects, or reject one that it accepts.
func compare(t *testing.T, data []byte) {
	want := oracle(data)
	for _, size := range []int{len(data) + 1, 1, 7} {
		if got := checkInPieces(data, size); got != want {
			t.Fatalf("in pieces of %d bytes: the head has %d bytes, want %d: %q", size, got, want, data)
		}
	}
	resp, err := readThrough(data)
	if err == nil && want == 0 {
		t.Fatalf("accepted: %q", data)
	}
	var malformed *Error
	if want > 0 && errors.As(err, &malformed) {
		t.Fatalf("rejected as %s: %q", malformed.Kind, data)
	}
	if err != nil {
		return
	}
	body, bodyErr := io.ReadAll(resp.Body)
	compareBody(t, data, data[want:], resp, body, bodyErr)
}

// compareBody requires that a body is the one that the strictest reading of the head finds.
func compareBody(t *testing.T, data, rest []byte, resp *http.Response, body []byte, err error) {
	switch {
	case resp.StatusCode < http.StatusOK, resp.StatusCode == http.StatusNoContent, resp.StatusCode == http.StatusNotModified:
		rest = nil
	case len(resp.TransferEncoding) > 0:
		return // chunks are compared in TestChunks
	case resp.ContentLength >= 0:
		whole := resp.ContentLength <= int64(len(rest))
		rest = rest[:min(resp.ContentLength, int64(len(rest)))]
		if whole != (err == nil) {
			t.Fatalf("whole %v, read with error %v: %q", whole, err, data)
		}
	}
	if !bytes.Equal(body, rest) {
		t.Fatalf("the body is %q, want %q: %q", body, rest, data)
	}
}

// seeds are heads at the edges of what is accepted.
var seeds = []string{
	"HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200\r\n\r\n", "HTTP/1.0 200 OK\r\n\r\nx", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nX: a\tb\r\nY:\r\n\r\n",
	"HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 099 OK\r\n\r\n", "HTTP/1.1 599 OK\r\n\r\n", "HTTP/1.1 600 OK\r\n\r\n", "HTTP/1.1 101 OK\r\n\r\n", "HTTP/1.1 2000 OK\r\n\r\n", "HTTP/2.0 200 OK\r\n\r\n",
	"HTTP/1.1 200 OK\r\nX Y: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nX: a\r\n b\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nok\r\n0\r\nX: y\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: Chunked \r\n\r\n0\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n",
	"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", "HTTP/1.1 204 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 204 OK\r\nContent-Length: 1\r\n\r\n", "HTTP/1.1 304 OK\r\nContent-Length: 9\r\n\r\n",
	"HTTP/1.1 200 OK\nX: y\n\n", "HTTP/1.1 200 OK\r\nX: a\rb\r\n\r\n", "HTTP/1.1 200 OK\r\n: x\r\n\r\n", "HTTP/1.1 200 OK\r\nx\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: +2\r\n\r\nok",
	"HTTP/1.1 200 OK\r\nContent-Length: 0000000000000000002\r\n\r\nok", "HTTP/1.1 200 OK\r\nContent-Length:\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2 2\r\n\r\nok", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.1 200 \x80\r\nX: \xff\r\n\r\n", "HTTP/1.1 200 OK\r\nX: \x7f\r\n\r\n", "HTTP/1.1 200 OK\r\nX\x00: a\r\n\r\n", "http/1.1 200 OK\r\n\r\n", "HTTP/1.1  200 OK\r\n\r\n",
}

// mutate returns a head near the seeds.
func mutate(random *rand.Rand) []byte {
	data := []byte(seeds[random.IntN(len(seeds))])
	pieces := []string{"\r", "\n", "\r\n", " ", "\t", ":", "\x00", "\x7f", "\x80", "0", "2", "Content-Length", "Transfer-Encoding: chunked", "chunked", ": ", "\r\n\r\n", "X", "HTTP/1.1 200 OK\r\n"}
	for range random.IntN(4) {
		i := random.IntN(len(data) + 1)
		j := min(len(data), i+random.IntN(3))
		data = append(append(append([]byte{}, data[:i]...), pieces[random.IntN(len(pieces))]...), data[j:]...)
	}
	return data
}

// Guards against heads that a reader of an interface accepts and the strictest reading does not, or the other way.
func TestHeadsAreReadStrictly(t *testing.T) {
	const heads, seed = 20_000, 20261206
	random := rand.New(rand.NewPCG(seed, 1))
	for _, s := range seeds {
		compare(t, []byte(s))
	}
	for range heads {
		compare(t, mutate(random))
	}
}

func FuzzHeads(f *testing.F) {
	for _, s := range seeds {
		f.Add([]byte(s))
	}
	f.Fuzz(compare)
}

// TestManyHeads compares HEADS random heads with a new seed, none if it is not set.
func TestManyHeads(t *testing.T) {
	var heads int
	fmt.Sscan(os.Getenv("HEADS"), &heads)
	seed := rand.Uint64()
	t.Logf("seed %d", seed)
	random := rand.New(rand.NewPCG(seed, 1))
	for range heads {
		compare(t, mutate(random))
	}
}

// Guards against a head that net/http ends elsewhere than its check, because the head exceeds what is read of it.
func TestHeadLimit(t *testing.T) {
	g := NewWithT(t)
	head := func(size int) []byte {
		const begin, end = "HTTP/1.1 200 OK\r\nX: ", "\r\n\r\n"
		return []byte(begin + strings.Repeat("x", size-len(begin)-len(end)) + end)
	}
	g.Expect(checkInPieces(head(attest.MaxHeadBytes), 4096)).To(Equal(attest.MaxHeadBytes))
	g.Expect(checkInPieces(head(attest.MaxHeadBytes+1), 4096)).To(BeZero())
	_, err := readThrough(head(attest.MaxHeadBytes + 1))
	g.Expect(err).To(HaveOccurred())
}

// Guards against chunks and trailers that net/http and the Conn read in different ways, so that the next head is not checked.
func TestChunks(t *testing.T) {
	for text, body := range map[string]string{
		"4\r\nfine\r\n0\r\n\r\n":                          "fine",
		"2\r\nfi\r\n2\r\nne\r\n00\r\nX: y\r\n\r\n":        "fine",
		"4;a=\"b\"\r\nfine\r\n0;c\r\n\r\n":                "fine",
		"a\r\n0123456789\r\nA\r\n0123456789\r\n0\r\n\r\n": "01234567890123456789",
	} {
		g := NewWithT(t)
		next := "HTTP/1.1 200 OK\r\nX Y: 1\r\n\r\n"
		c := NewConn(&staticConn{data: strings.NewReader("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + text + next)})
		in := bufio.NewReader(c)
		resp, err := http.ReadResponse(in, nil)
		g.Expect(err).NotTo(HaveOccurred(), "%q", text)
		all, err := io.ReadAll(resp.Body)
		g.Expect(err).NotTo(HaveOccurred(), "%q", text)
		g.Expect(string(all)).To(Equal(body))
		_, err = http.ReadResponse(in, nil)
		g.Expect(err).To(HaveOccurred(), "the next head is checked")
		g.Expect(c.malformed()).To(Equal(&Error{BlankInName}))
	}
	for _, text := range []string{"x\r\n", "\r\n", "4 \r\nfine\r\n0\r\n\r\n", "4\nfine\r\n0\r\n\r\n", "4\r\nfineX\n0\r\n\r\n", "4\r\nfine\n0\r\n\r\n", "1000000000000000\r\n", "0\r\nX Y: 1\r\n\r\n", "0\r\nContent-Length: 2\r\n\r\n", "0\r\nTransfer-Encoding: chunked\r\n\r\n", ";a\r\n"} {
		g := NewWithT(t)
		resp, err := readThrough([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + text))
		if err == nil {
			_, err = io.ReadAll(resp.Body)
		}
		g.Expect(err).To(HaveOccurred(), "%q", text)
	}
}

// Guards against heads that a HEAD request or an interim response makes the Conn read as a body, or the other way.
func TestHeadsBehindResponsesWithoutABody(t *testing.T) {
	for _, c := range []struct{ method, first string }{
		{http.MethodHead, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"},
		{http.MethodHead, "HTTP/1.1 200 OK\r\n\r\n"},
		{http.MethodPost, "HTTP/1.1 103 Hints\r\nX: y\r\n\r\n"},
		{http.MethodPost, "HTTP/1.1 204 OK\r\n\r\n"},
		{http.MethodPost, "HTTP/1.1 304 OK\r\nContent-Length: 4\r\n\r\n"},
		{http.MethodPost, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"},
	} {
		g := NewWithT(t)
		x := NewConn(&staticConn{data: strings.NewReader(c.first + "HTTP/1.1 000 Oops\r\n\r\n")})
		x.expect(c.method, 0)
		all, err := io.ReadAll(x)
		g.Expect(err).To(Equal(&Error{Status}))
		g.Expect(string(all)).To(Equal(c.first + "HTTP/1.1 000"))
	}
}

// Guards against fields of relayed responses that no connection would have let through.
func TestCheckField(t *testing.T) {
	g := NewWithT(t)
	g.Expect(CheckField("X-Y", "a b\t\xff")).To(Succeed())
	for _, f := range [][2]string{{"", "a"}, {"X Y", "a"}, {"X:", "a"}, {"X\x00", "a"}, {"X", "a\r\nY: b"}, {"X", "\x7f"}} {
		g.Expect(CheckField(f[0], f[1])).NotTo(Succeed(), "%q", f)
	}
}

const ordinaryHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nLeverdrum-Request-Id: 9c41d07be2a35f68\r\nLeverdrum-Server-Stamp: 3e1b.07.5a2.600.0.c9f2a4d1\r\nKeep-Alive: timeout=5\r\n\r\n"

func BenchmarkCheck(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		var h Head
		if _, ended, _ := h.Feed([]byte(ordinaryHead)); !ended {
			b.Fatal("not ended")
		}
	}
}
