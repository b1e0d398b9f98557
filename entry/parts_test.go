package entry

import (
	"net/http"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/admit"
	"leverdrum/crasher"
	"leverdrum/meter"
	"leverdrum/proxy"
	"leverdrum/reason"
	"leverdrum/route"
	"leverdrum/standin"
	"leverdrum/state"
	"leverdrum/wire"
)

func TestSharedParts(t *testing.T) {
	for list, want := range map[string][]uint64{
		"":                             nil,
		"a":                            nil, // the request's own
		"a,b":                          {0xa},
		"a, ffffffffffffffff ,c":       {0xa, 0xffffffffffffffff},
		"a,x,c":                        nil,
		"a,1ffffffffffffffff,c":        nil,
		",":                            nil,
		strings.Repeat("1,", 40) + "2": {1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1},
	} {
		g := NewWithT(t)
		g.Expect(sharedParts(http.Header{HeaderPromptParts: {list}})).To(Equal(want), "%q", list)
		g.Expect(len(want)).To(BeNumerically("<=", crasher.MaxParts))
	}
}

// Guards against a call that waits for a slot or a permit while it is blocked, and is sent nevertheless.
func TestCallBlockedWhileItWaited(t *testing.T) {
	g := NewWithT(t)
	st, err := standin.CommittedState("[fleet]\nnumber = 1\n[hall a]\n[class c]\ndeadline = 2s\n[service shop]\nclass = c\n[instance i]\nservice = shop\naddress = 127.0.0.1:1\nhall = a\n")
	g.Expect(err).NotTo(HaveOccurred())
	d := route.NewDirectory("a")
	d.Update(st)
	e := New(Options{Directory: d, View: func() *state.State { return st }, Meters: meter.New()})
	target := d.Table().Services["shop"]
	j := &job{receivedAt: time.Now(), target: target, attempt: proxy.Attempt{Method: http.MethodGet, Path: "/", Header: http.Header{HeaderPromptParts: {"1,2"}}}}
	j.admission = &admit.Request{Target: target, Deadline: j.deadline()}
	acquire := func() *reason.Reason {
		b, why := e.acquireBackend(t.Context(), j)
		if b != nil {
			e.admission.Release(b, j.admission, 0)
		}
		return why
	}
	g.Expect(acquire()).To(BeNil())
	p := crasher.PartFingerprint(j.partScope(), 1)
	st.Crashers = crasher.Decode([]*wire.Suspect{{Print: p[:], Service: j.partScope(), Part: 1, Held: true, Holds: 1}})
	g.Expect(acquire()).To(Equal(reason.CrashesServers))
	st.Crashers = crasher.Decode([]*wire.Suspect{{Print: p[:], Service: j.partScope(), Part: 1, Held: true}})
	g.Expect(acquire()).To(Equal(reason.CrashSuspected), "blocked provisionally")
	mayHaveRun := result{why: reason.BackendDisconnected}
	g.Expect(mayHaveRun.merge(result{why: reason.CrashSuspected})).To(Equal(mayHaveRun), "no promise after an attempt that may have run")
	g.Expect(target.Backends[0].InFlight()).To(BeZero(), "its slot is free again")
}
