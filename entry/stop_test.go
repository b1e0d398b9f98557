package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/claim"
	"leverdrum/engine"
	"leverdrum/entry"
	"leverdrum/meter"
	"leverdrum/proxy"
	"leverdrum/reason"
	"leverdrum/record"
	"leverdrum/route"
	"leverdrum/shutdown"
	"leverdrum/standin"
	"leverdrum/state"
)

// stopFixture is an entry box in front of one backend server that runs two requests at a time, and answers those for /items/brief
// only.
type stopFixture struct {
	*entry.Entry
	plan    *shutdown.Plan
	claims  oneBoxClaims
	runs    atomic.Int64
	address string
}

func newStopFixture(t *testing.T) *stopFixture {
	g := NewWithT(t)
	f := &stopFixture{plan: shutdown.New()}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go f.run(c)
		}
	}()
	st, err := standin.CommittedState(fmt.Sprintf("[fleet]\nnumber = 1\n[hall a]\n[class c]\ndeadline = 60s\n[service shop]\nclass = c\nnon-repeatable = POST /orders\n[instance s]\nservice = shop\naddress = %s\nhall = a\nconcurrency = 2\n", l.Addr()))
	g.Expect(err).NotTo(HaveOccurred())
	d := route.NewDirectory("a")
	d.Update(st)
	f.Entry = entry.New(entry.Options{
		Directory: d, View: func() *state.State { return st }, Current: func() bool { return true }, Sender: proxy.NewSender(),
		Meters: meter.New(), Records: record.NewHistory(100), MaxBody: 1000, BodyTimeout: time.Minute, Claims: &f.claims, Shutdown: f.plan,
	})
	s := httptest.NewServer(f.Entry)
	t.Cleanup(s.Close)
	f.address = s.Listener.Addr().String()
	return f
}

// run handles a connection to the backend server.
func (f *stopFixture) run(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		f.runs.Add(1)
		if strings.HasSuffix(r.URL.Path, "/brief") {
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: 2\r\n\r\nok", engine.HeaderAttemptID, r.Header.Get(engine.HeaderAttemptID))
		}
	}
}

func (f *stopFixture) call(method, path, key string) reply {
	req, _ := http.NewRequest(method, "http://"+f.address+"/services/shop"+path, nil) // cannot fail
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return reply{err: err}
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return reply{status: resp.StatusCode, outcome: resp.Header.Get(entry.HeaderOutcome), reason: resp.Header.Get(entry.HeaderReason), retryAfter: resp.Header.Get("Retry-After")}
}

// Guards against requests of the product's own interface that are cut without an answer at the end of a planned stop.
func TestStopAnswersRequestsInFlight(t *testing.T) {
	for name, c := range map[string]struct{ method, path, key string }{
		"repeatable":   {http.MethodGet, "/items", ""},
		"at most once": {http.MethodPost, "/orders", ""},
		"keyed":        {http.MethodPost, "/orders", "k"},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newStopFixture(t)
			answer := make(chan reply, 1)
			go func() { answer <- f.call(c.method, c.path, c.key) }()
			g.Eventually(f.runs.Load, 10*time.Second).Should(BeEquivalentTo(1))
			f.plan.Begin(time.Now())
			f.Stop()
			g.Consistently(answer, 50*time.Millisecond).ShouldNot(Receive(), "it is in flight")
			f.plan.End()
			g.Eventually(answer, 10*time.Second).Should(Receive(Equal(reply{status: http.StatusGatewayTimeout, outcome: string(reason.Unknown), reason: reason.StopUnanswered.Code})))
			if c.key != "" {
				existing := f.claims.Acquire(t.Context(), "shop\nk", "", nil)
				g.Expect(existing.Verdict).To(Equal(claim.Taken), "another call with the key must not run")
				g.Expect(existing.Conflict.Result.Outcome).To(Equal(string(reason.Unknown)))
			}
		})
	}
}

// Guards against requests that wait for a server until their deadline, or the end of the box, although it stops.
func TestStopRefusesQueuedRequests(t *testing.T) {
	g := NewWithT(t)
	f := newStopFixture(t)
	for range 2 {
		go f.call(http.MethodGet, "/items", "")
	}
	g.Eventually(f.runs.Load, 10*time.Second).Should(BeEquivalentTo(2), "the server is full")
	answer := make(chan reply, 1)
	go func() { answer <- f.call(http.MethodPost, "/orders", "") }()
	g.Eventually(f.InFlight, 10*time.Second).Should(BeEquivalentTo(3))
	g.Consistently(answer, 50*time.Millisecond).ShouldNot(Receive(), "it waits")
	f.Stop()
	g.Eventually(answer, 10*time.Second).Should(Receive(Equal(reply{status: http.StatusServiceUnavailable, outcome: string(reason.NotRun), reason: reason.Stopping.Code, retryAfter: "1"})))
	g.Expect(f.runs.Load()).To(BeEquivalentTo(2))
	f.plan.End()
}

// Guards against requests that are sent during a planned stop although they may outlast it.
func TestStopRefusesRequestsThatMayOutlastIt(t *testing.T) {
	g := NewWithT(t)
	f := newStopFixture(t)
	f.plan.Begin(time.Now().Add(10 * time.Second))
	outlasts := reply{status: http.StatusServiceUnavailable, outcome: string(reason.NotRun), reason: reason.OutlastsStop.Code, retryAfter: "1"}
	g.Expect(f.call(http.MethodPost, "/orders", "")).To(Equal(outlasts))
	g.Expect(f.call(http.MethodPost, "/orders", "k")).To(Equal(outlasts))
	g.Expect(f.call(http.MethodGet, "/items/brief", "")).To(Equal(outlasts), "no request of the service is known to end in time")
	g.Expect(f.runs.Load()).To(BeZero())
	f.plan.Record("shop", time.Second)
	g.Expect(f.call(http.MethodGet, "/items/brief", "").status).To(Equal(http.StatusOK))
	g.Expect(f.call(http.MethodPost, "/orders", "")).To(Equal(outlasts), "it could not be repeated")
}

// Guards against an upload that is still being read at the end of a planned stop, and gets no answer.
func TestStopRefusesUnfinishedUploads(t *testing.T) {
	g := NewWithT(t)
	f := newStopFixture(t)
	c, err := net.Dial("tcp", f.address)
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_, err = io.WriteString(c, "POST /services/shop/orders HTTP/1.1\r\nHost: h\r\nContent-Length: 8\r\n\r\nhalf")
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(f.InFlight, 10*time.Second).Should(BeEquivalentTo(1))
	f.Stop()
	f.plan.End()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(resp.StatusCode).To(Equal(http.StatusServiceUnavailable))
	g.Expect(resp.Header.Get(entry.HeaderReason)).To(Equal(reason.Stopping.Code))
	g.Expect(f.runs.Load()).To(BeZero())
}
