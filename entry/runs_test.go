package entry

import (
	"net/http"
	"testing"

	. "github.com/onsi/gomega"

	"leverdrum/admit"
	"leverdrum/fleet"
	"leverdrum/proxy"
	"leverdrum/route"
	"leverdrum/state"
	"leverdrum/stream"
)

// Guards against streams that count as strong evidence against their requests however long they had run, once they were resumed at
// another server: only the first event of the whole stream was recorded, not that of each attempt.
func TestResumedStreamIsWeakEvidence(t *testing.T) {
	g := NewWithT(t)
	view := state.New()
	view.Fleet = &fleet.Fleet{}
	e := New(Options{View: func() *state.State { return view }})
	j := &job{target: &route.Target{Name: "m"}, admission: &admit.Request{}, attempt: proxy.Attempt{Header: http.Header{HeaderPromptParts: {"1,2"}}}}
	b := &route.Backend{Name: "server"}
	relay := stream.New("")
	_, err := relay.Feed(nil, []byte("id: 1\ndata: a\n\n"))
	g.Expect(err).NotTo(HaveOccurred())
	relay.Continue() // the first attempt has failed
	options := e.copyOptions(j, relay, b)
	options.OnEvents()
	g.Expect(j.firstEventAt).NotTo(BeZero())
	g.Expect(j.run).NotTo(BeNil(), "it counts as running")
}
