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
	"leverdrum/meter"
	"leverdrum/proxy"
	"leverdrum/record"
	"leverdrum/route"
	"leverdrum/standin"
	"leverdrum/state"
	"leverdrum/wire"
)

// mortal is an instance that ends under a body "boom" and is back at its address after 100 ms.
type mortal struct {
	address string
	ended   *atomic.Int64
	closed  *atomic.Bool
}

func (m *mortal) start(t *testing.T) {
	l, err := net.Listen("tcp", m.address)
	if err != nil {
		t.Error(err)
		return
	}
	m.address = l.Addr().String()
	s := &http.Server{}
	s.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body) // a caller that has gone is met at the next write
		if string(body) != "boom" {
			fmt.Fprintln(w, "served")
			return
		}
		s.Close()
		m.ended.Add(1)
		time.AfterFunc(100*time.Millisecond, func() {
			if !m.closed.Load() {
				m.start(t)
			}
		})
		panic(http.ErrAbortHandler)
	})
	t.Cleanup(func() { s.Close() })
	go s.Serve(l) // ends with Close
}

// agreedHere is the agreed state of a box that is its own leader.
type agreedHere struct {
	mu    sync.Mutex
	view  atomic.Pointer[state.State]
	began time.Time
}

func (a *agreedHere) take(r *wire.CrashReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Since(a.began).Milliseconds()
	for _, s := range r.Signs {
		s.SentMs, s.EndedMs = now-int64(s.SentAgoMs), now-int64(s.EndedAgoMs)
	}
	next := a.view.Load().Clone()
	next.Index++
	next.Crashers.Apply(r, crasher.CommitPosition{Index: next.Index, Term: 1})
	a.view.Store(next)
}

// Calls of the product's own interface went to one instance after another that ended under them, as long as they
// came again: what an entry box knows of a call ended with the attempt.
func TestACallThatCrashesInstancesIsStopped(t *testing.T) {
	g := NewWithT(t)
	ended, closed := &atomic.Int64{}, &atomic.Bool{}
	t.Cleanup(func() { closed.Store(true) })
	text := "[fleet]\nnumber = 1\n[hall a]\n[class c]\ndeadline = 2s\n[service shop]\nclass = c\nnon-repeatable = POST /orders\n"
	for i := range 6 {
		m := &mortal{address: "127.0.0.1:0", ended: ended, closed: closed}
		m.start(t)
		text += fmt.Sprintf("[instance shop%d]\nservice = shop\naddress = %s\nhall = a\n", i, m.address)
	}
	st, err := standin.Agreed(text)
	g.Expect(err).NotTo(HaveOccurred())
	agreed := &agreedHere{began: time.Now()}
	agreed.view.Store(st)
	d := route.NewDirectory("a")
	d.Update(st)
	box := httptest.NewServer(entry.New(entry.Options{
		Directory: d, View: agreed.view.Load, Current: func() bool { return true }, Sender: proxy.NewSender(),
		Meters: meter.New(), Records: record.NewHistory(100), MaxBody: 1000, ReportCrash: agreed.take,
	}))
	t.Cleanup(box.Close)
	call := func(path, body string) (int, string, string) {
		resp, err := http.Post(box.URL+"/services/shop"+path, "text/plain", strings.NewReader(body))
		g.Expect(err).NotTo(HaveOccurred())
		defer resp.Body.Close()
		return resp.StatusCode, resp.Header.Get(entry.HeaderReason), resp.Header.Get("Retry-After")
	}
	for range 20 {
		call("/books", "boom")
		time.Sleep(30 * time.Millisecond)
	}
	g.Expect(ended.Load()).To(BeNumerically("<=", 6), "three that show it, and as many again")
	status, reason, after := call("/books", "boom")
	g.Expect(status).To(Equal(http.StatusUnprocessableEntity))
	g.Expect(reason).To(Equal("crashes-servers"))
	g.Expect(after).To(BeEmpty())
	g.Eventually(func() int { s, _, _ := call("/books", "harmless"); return s }, 5*time.Second).Should(Equal(http.StatusOK))
	for range 20 { // calls that may not be repeated are sent once each, and held alike
		call("/orders", "boom")
		time.Sleep(30 * time.Millisecond)
	}
	g.Expect(ended.Load()).To(BeNumerically("<=", 12))
	_, reason, _ = call("/orders", "boom")
	g.Expect(reason).To(Equal("crashes-servers"))
	t.Logf("%d instances ended under two calls", ended.Load())
}
