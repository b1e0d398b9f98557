package entry

import (
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/gomega"

	"leverdrum/engine"
	"leverdrum/rate"
	"leverdrum/reason"
	"leverdrum/workspace"
)

func called(path string, headers http.Header) *http.Request {
	r := httptest.NewRequest(http.MethodPost, path, nil)
	r.Header = headers
	return r
}

func TestWhichKeysARequestShows(t *testing.T) {
	g := NewWithT(t)
	for name, c := range map[string]struct {
		path    string
		headers http.Header
		want    []string
	}{
		"none":                                {engine.ChatPath, http.Header{}, nil},
		"its own header":                      {engine.ChatPath, http.Header{"X-Api-Key": {"k"}}, []string{"k"}},
		"chat's bearer token":                 {engine.ChatPath, http.Header{"Authorization": {"Bearer k"}}, []string{"k"}},
		"both are two":                        {engine.ChatPath, http.Header{"X-Api-Key": {"k"}, "Authorization": {"Bearer k"}}, []string{"k", "k"}},
		"another scheme":                      {engine.ChatPath, http.Header{"Authorization": {"Basic k"}}, nil},
		"a service's bearer token is its own": {"/services/shop/x", http.Header{"Authorization": {"Bearer k"}}, nil},
	} {
		g.Expect(keysOf(called(c.path, c.headers))).To(Equal(c.want), name)
	}
}

func TestABackendServerIsToldTheWorkspaceOnly(t *testing.T) {
	g := NewWithT(t)
	owner := &workspace.Workspace{Name: "atelier"}
	chat := called(engine.ChatPath, http.Header{"Authorization": {"Bearer k"}, "X-Api-Key": {"k"}, "X-Workspace": {"library"}})
	nameOwner(chat, owner)
	g.Expect(chat.Header).To(Equal(http.Header{"X-Workspace": {"atelier"}}))
	service := called("/services/shop/x", http.Header{"Authorization": {"Bearer s"}, "X-Api-Key": {"k"}})
	nameOwner(service, owner)
	g.Expect(service.Header).To(Equal(http.Header{"Authorization": {"Bearer s"}, "X-Workspace": {"atelier"}}))
	free := called("/services/shop/x", http.Header{"X-Api-Key": {"k"}, "X-Workspace": {"library"}})
	nameOwner(free, nil)
	g.Expect(free.Header).To(Equal(http.Header{"X-Api-Key": {"k"}}), "without workspaces the key is the caller's own affair")
}

func TestACallUnderAKeyIsKeptApartByWorkspace(t *testing.T) {
	g := NewWithT(t)
	// The claim's name holds the workspace, so that one's key never replays another's answer.
	g.Expect(keyName("shop", &workspace.Workspace{Name: "atelier"}, "k")).NotTo(Equal(keyName("shop", &workspace.Workspace{Name: "library"}, "k")))
	g.Expect(keyName("shop", nil, "k")).To(Equal("shop\nk"))
}

func TestWhatAChatRequestWeighs(t *testing.T) {
	g := NewWithT(t)
	g.Expect(usageOf(called("/", http.Header{"X-Prompt-Tokens": {"100"}}), 50)).To(Equal(workspace.Usage{Tokens: 150, Known: true}))
	g.Expect(usageOf(called("/", http.Header{}), 50)).To(Equal(workspace.Usage{Tokens: 50, Known: true}))
	g.Expect(usageOf(called("/", http.Header{"X-Max-Tokens": {"7"}}), 50)).To(Equal(workspace.Usage{Tokens: 7, Known: true}))
	g.Expect(usageOf(called("/", http.Header{}), 0)).To(Equal(workspace.Usage{}))
}

func TestWhatCallersAreToldOfAQuota(t *testing.T) {
	g := NewWithT(t)
	g.Expect(refusedByQuota(&rate.Refusal{Exhausted: true}).why).To(Equal(reason.OverQuota))
	g.Expect(refusedByQuota(&rate.Refusal{Exhausted: true, TooLarge: true}).why).To(Equal(reason.ExceedsQuota))
	g.Expect(refusedByQuota(&rate.Refusal{}).why).To(Equal(reason.QuotaUnknown))
}
