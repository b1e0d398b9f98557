package entry_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/crasher"
	"leverdrum/entry"
	"leverdrum/level"
	"leverdrum/meter"
	"leverdrum/proxy"
	"leverdrum/record"
	"leverdrum/route"
	"leverdrum/standin"
	"leverdrum/state"
	"leverdrum/wire"
)

// crashingInstance is an instance that terminates on a request with body "boom" or prompt part bad, and restarts at the
// same address 100 ms later.
type crashingInstance struct {
	address string
	crashes *atomic.Int64
	closed  *atomic.Bool
}

func (m *crashingInstance) start(t *testing.T) {
	l, err := net.Listen("tcp", m.address)
	if err != nil {
		t.Error(err)
		return
	}
	m.address = l.Addr().String()
	s := &http.Server{}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // a caller that hung up is detected at the next write
		if string(body) != "boom" && !strings.Contains(r.Header.Get(entry.HeaderPromptParts), "bad,") {
			fmt.Fprintln(w, "served")
			return
		}
		s.Close()
		m.crashes.Add(1)
		time.AfterFunc(100*time.Millisecond, func() {
			if !m.closed.Load() {
				m.start(t)
			}
		})
		panic(http.ErrAbortHandler)
	})
	t.Cleanup(func() { s.Close() })
	go s.Serve(l) // returns after Close
}

// localState is the replicated state of a single box that is its own leader.
type localState struct {
	mu        sync.Mutex
	view      atomic.Pointer[state.State]
	startedAt time.Time
}

func (a *localState) applyCrashReport(r *wire.CrashReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Since(a.startedAt).Milliseconds()
	for _, s := range r.Signs {
		s.SentMs, s.EndedMs = now-int64(s.SentAgoMs), now-int64(s.EndedAgoMs)
	}
	next := a.view.Load().Clone()
	next.Index++
	next.Crashers.Apply(r, crasher.CommitPosition{Index: next.Index, Term: 1, PromptParts: true})
	a.view.Store(next)
}

// crashingService is a box before a service whose instances terminate.
type crashingService struct {
	*httptest.Server
	g       *WithT
	crashes *atomic.Int64
}

func newCrashingService(t *testing.T) *crashingService {
	c := &crashingService{g: NewWithT(t), crashes: &atomic.Int64{}}
	closed := &atomic.Bool{}
	t.Cleanup(func() { closed.Store(true) })
	text := "[fleet]\nnumber = 1\n[hall a]\n[class c]\ndeadline = 2s\n[service shop]\nclass = c\nnon-repeatable = POST /orders\n"
	for i := range 6 {
		m := &crashingInstance{address: "127.0.0.1:0", crashes: c.crashes, closed: closed}
		m.start(t)
		text += fmt.Sprintf("[instance shop%d]\nservice = shop\naddress = %s\nhall = a\n", i, m.address)
	}
	st, err := standin.CommittedState(text)
	c.g.Expect(err).NotTo(HaveOccurred())
	st.Level = level.PromptParts
	replicated := &localState{startedAt: time.Now()}
	replicated.view.Store(st)
	d := route.NewDirectory("a")
	d.Update(st)
	var e *entry.Entry
	e = entry.New(entry.Options{
		Directory: d, View: replicated.view.Load, Current: func() bool { return true }, Sender: proxy.NewSender(),
		Meters: meter.New(), Records: record.NewHistory(100), MaxBody: 1000, ReportCrash: func(r *wire.CrashReport) {
			replicated.applyCrashReport(r)
			e.RecordCrashesCommitted()
		},
	})
	c.Server = httptest.NewServer(e)
	t.Cleanup(c.Close)
	return c
}

// call sends a call with prompt parts, none if that is "".
func (c *crashingService) call(path, body, parts string) (status int, reason, retryAfter string) {
	r, err := http.NewRequest(http.MethodPost, c.URL+"/services/shop"+path, strings.NewReader(body))
	c.g.Expect(err).NotTo(HaveOccurred())
	r.Header.Set(entry.HeaderPromptParts, parts)
	resp, err := http.DefaultClient.Do(r)
	c.g.Expect(err).NotTo(HaveOccurred())
	defer resp.Body.Close()
	return resp.StatusCode, resp.Header.Get(entry.HeaderReason), resp.Header.Get("Retry-After")
}

// Guards against calls that all differ but for a prompt part on which instances terminate.
func TestCrashingPartIsBlocked(t *testing.T) {
	c := newCrashingService(t)
	for n := range 20 {
		c.call("/books", fmt.Sprint("harmless", n), fmt.Sprintf("1,%x,%x", 2+n%3, 100+n))
		c.call("/books", fmt.Sprint("book", n), fmt.Sprintf("1,bad,%x", 1000+n))
		time.Sleep(30 * time.Millisecond)
	}
	c.g.Expect(c.crashes.Load()).To(BeNumerically("<=", 6), "three crashes block the part; at most three more are in flight meanwhile")
	_, reason, _ := c.call("/books", "another", "7,bad,8")
	c.g.Expect(reason).To(Equal("crashes-servers"))
	c.g.Eventually(func() int { s, _, _ := c.call("/books", "sound", "1,2,9"); return s }, 5*time.Second).Should(Equal(http.StatusOK))
}

// Guards against a call that crashes one instance after another through the entry interface for as
// long as the caller repeats it, which happens if a box forgets a call when its attempt ends.
func TestCrasherIsBlocked(t *testing.T) {
	c := newCrashingService(t)
	g, crashes := c.g, c.crashes
	call := func(path, body string) (int, string, string) { return c.call(path, body, "") }
	for range 20 {
		call("/books", "boom")
		time.Sleep(30 * time.Millisecond)
	}
	g.Expect(crashes.Load()).To(BeNumerically("<=", 6), "three crashes block the call; at most three more are in flight meanwhile")
	status, reason, retryAfter := call("/books", "boom")
	g.Expect(status).To(Equal(http.StatusUnprocessableEntity))
	g.Expect(reason).To(Equal("crashes-servers"))
	g.Expect(retryAfter).To(BeEmpty())
	g.Eventually(func() int { s, _, _ := call("/books", "harmless"); return s }, 5*time.Second).Should(Equal(http.StatusOK))
	for range 20 { // non-repeatable calls get one attempt each and are blocked in the same way
		call("/orders", "boom")
		time.Sleep(30 * time.Millisecond)
	}
	g.Expect(crashes.Load()).To(BeNumerically("<=", 12))
	_, reason, _ = call("/orders", "boom")
	g.Expect(reason).To(Equal("crashes-servers"))
	t.Logf("%d crashes of instances under two calls", crashes.Load())
}
