package entry_test

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/claim"
	"leverdrum/entry"
	"leverdrum/internal/framing"
	"leverdrum/meter"
	"leverdrum/proxy"
	"leverdrum/record"
	"leverdrum/route"
	"leverdrum/standin"
	"leverdrum/state"
)

// maxUpload is the largest body in bytes that a rawService accepts.
const maxUpload = 4 << 20

// rawService is an entry box in front of one backend server.
type rawService struct {
	address  string
	listener net.Listener // of its server
	meters   *meter.Meters
}

// newRawService returns a rawService whose server sends a fixed response to each call and then closes the connection, with a
// reset if reset is set.
func newRawService(t *testing.T, response string, reset bool) *rawService {
	return newScriptedService(t, func(c net.Conn) { respond(c, response, reset) })
}

// newScriptedService returns a rawService whose server handles each connection with a function.
func newScriptedService(t *testing.T, serve func(net.Conn)) *rawService {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	st, err := standin.CommittedState(fmt.Sprintf("[fleet]\nnumber = 1\n[hall a]\n[class c]\ndeadline = 5s\n[service shop]\nclass = c\nnon-repeatable = POST /orders\nkey-header = Idempotency-Key\n[instance s]\nservice = shop\naddress = %s\nhall = a\n", l.Addr()))
	g.Expect(err).NotTo(HaveOccurred())
	d := route.NewDirectory("a")
	d.Update(st)
	meters := meter.New()
	s := httptest.NewUnstartedServer(entry.New(entry.Options{
		Directory: d, View: func() *state.State { return st }, Current: func() bool { return true }, Sender: proxy.NewSender(),
		Meters: meters, Records: record.NewHistory(100), MaxBody: maxUpload, BodyTimeout: 5 * time.Second, Claims: &oneBoxClaims{},
	}))
	s.Config.ConnContext = framing.ConnContext
	s.Start()
	t.Cleanup(s.Close)
	return &rawService{s.Listener.Addr().String(), l, meters}
}

func respond(c net.Conn, response string, reset bool) {
	defer c.Close()
	in := bufio.NewReader(c)
	r, err := http.ReadRequest(in)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	_, _ = io.WriteString(c, response)
	if reset {
		time.Sleep(50 * time.Millisecond) // a reset discards what was not read yet
		_ = c.(*net.TCPConn).SetLinger(0)
	}
}

// call sends a call on a connection of its own and returns what its caller reads, and how the response ended for it.
func (s *rawService) call(t *testing.T, header string) (r *http.Response, body string, end framing.End, err error) {
	g := NewWithT(t)
	c, err := net.Dial("tcp", s.address)
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	fmt.Fprintf(c, "POST /services/shop/orders HTTP/1.1\r\nHost: h\r\nConnection: close\r\nContent-Length: 2\r\n%s\r\nab", header)
	r, err = http.ReadResponse(bufio.NewReader(c), nil)
	g.Expect(err).NotTo(HaveOccurred())
	all, err := io.ReadAll(r.Body)
	if err != nil {
		return r, string(all), framing.Truncated, err
	}
	return r, string(all), framing.Judge(framing.Delimited(http.MethodPost, r), io.EOF, nil), nil
}

// oneBoxClaims is a ClaimStore that keeps the results of finished calls.
type oneBoxClaims struct {
	mu      sync.Mutex
	results map[string]*claim.Result
}

func (c *oneBoxClaims) Acquire(_ context.Context, key, _ string, digest []byte) claim.Answer {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r := c.results[key]; r != nil {
		return claim.Answer{Verdict: claim.Taken, Conflict: &claim.Claim{Key: key, Digest: digest, Result: r}}
	}
	return claim.Answer{Verdict: claim.Granted}
}

func (c *oneBoxClaims) Record(key, _ string, _ []byte, r *claim.Result) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results = map[string]*claim.Result{key: r}
}

func (c *oneBoxClaims) Release(string, string) {}

func (c *oneBoxClaims) AgeOf(*claim.Claim) time.Duration { return 0 }

// Guards against a response of the product's own interface that its backend server broke off and whose caller takes it for
// complete, also when it is replayed for its key.
func TestTruncatedResponseIsNotFramedAsComplete(t *testing.T) {
	const head, twoEvents = "HTTP/1.1 200 OK\r\n\r\n", "id: 1\ndata: x\n\nid: 2\ndata: x\n\n"
	large := strings.Repeat("x", 2<<20)
	for name, c := range map[string]struct{ response, body string }{
		"small":  {head + "par", "par"},
		"large":  {head + large, large},
		"stream": {"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + twoEvents, twoEvents},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			_, body, end, err := newRawService(t, c.response, false).call(t, "")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(end.String()).To(Equal(framing.Unknown.String()))
			g.Expect(body == c.body).To(BeTrue(), "%d bytes, want %d", len(body), len(c.body))
		})
	}
	t.Run("keyed", func(t *testing.T) {
		g := NewWithT(t)
		s := newRawService(t, head+"par", false)
		for _, replayed := range []string{"", "true"} {
			r, body, end, err := s.call(t, "Idempotency-Key: k\r\n")
			g.Expect(err).NotTo(HaveOccurred())
			g.Expect(r.Header.Get(entry.HeaderReplayed)).To(Equal(replayed))
			g.Expect(r.Header).NotTo(HaveKey("Transfer-Encoding"))
			g.Expect(end.String()).To(Equal(framing.Unknown.String()))
			g.Expect(body).To(Equal("par"))
		}
	})
}

// Guards against a response without a length or chunks that is aborted and whose caller sees it end.
func TestAbortedUndelimitedResponseIsReset(t *testing.T) {
	g := NewWithT(t)
	_, _, _, err := newRawService(t, "HTTP/1.1 200 OK\r\n\r\n"+strings.Repeat("x", 2<<20), true).call(t, "")
	g.Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
}
