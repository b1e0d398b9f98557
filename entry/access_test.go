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

func newRequest(path string, headers http.Header) *http.Request {
	r := httptest.NewRequest(http.MethodPost, path, nil)
	r.Header = headers
	return r
}

func TestPresentedKeys(t *testing.T) {
	g := NewWithT(t)
	for name, c := range map[string]struct {
		path    string
		headers http.Header
		want    []string
	}{
		"none":                                  {engine.ChatPath, http.Header{}, nil},
		"the key header":                        {engine.ChatPath, http.Header{"X-Api-Key": {"k"}}, []string{"k"}},
		"chat's bearer token":                   {engine.ChatPath, http.Header{"Authorization": {"Bearer k"}}, []string{"k"}},
		"both headers":                          {engine.ChatPath, http.Header{"X-Api-Key": {"k"}, "Authorization": {"Bearer k"}}, []string{"k", "k"}},
		"another scheme":                        {engine.ChatPath, http.Header{"Authorization": {"Basic k"}}, nil},
		"a service's bearer token is not a key": {"/services/shop/x", http.Header{"Authorization": {"Bearer k"}}, nil},
	} {
		g.Expect(presentedKeys(newRequest(c.path, c.headers))).To(Equal(c.want), name)
	}
}

func TestWorkspaceHeaderReplacesKeys(t *testing.T) {
	g := NewWithT(t)
	owner := &workspace.Workspace{Name: "atelier"}
	chat := newRequest(engine.ChatPath, http.Header{"Authorization": {"Bearer k"}, "X-Api-Key": {"k"}, "X-Workspace": {"library"}})
	setWorkspaceHeader(chat, owner)
	g.Expect(chat.Header).To(Equal(http.Header{"X-Workspace": {"atelier"}}))
	service := newRequest("/services/shop/x", http.Header{"Authorization": {"Bearer s"}, "X-Api-Key": {"k"}})
	setWorkspaceHeader(service, owner)
	g.Expect(service.Header).To(Equal(http.Header{"Authorization": {"Bearer s"}, "X-Workspace": {"atelier"}}))
	free := newRequest("/services/shop/x", http.Header{"X-Api-Key": {"k"}, "X-Workspace": {"library"}})
	setWorkspaceHeader(free, nil)
	g.Expect(free.Header).To(Equal(http.Header{"X-Api-Key": {"k"}}), "without workspaces the key header is not removed")
}

func TestClaimNamesIncludeWorkspace(t *testing.T) {
	g := NewWithT(t)
	// The claim's name contains the workspace, so a key of one workspace never replays the answer of
	// another.
	g.Expect(claimName("shop", &workspace.Workspace{Name: "atelier"}, "k")).NotTo(Equal(claimName("shop", &workspace.Workspace{Name: "library"}, "k")))
	g.Expect(claimName("shop", nil, "k")).To(Equal("shop\nk"))
}

func TestChatRequestUsage(t *testing.T) {
	g := NewWithT(t)
	g.Expect(usageOf(newRequest("/", http.Header{"X-Prompt-Tokens": {"100"}}), 50)).To(Equal(workspace.Usage{Tokens: 150, Known: true}))
	g.Expect(usageOf(newRequest("/", http.Header{}), 50)).To(Equal(workspace.Usage{Tokens: 50, Known: true}))
	g.Expect(usageOf(newRequest("/", http.Header{"X-Max-Tokens": {"7"}}), 50)).To(Equal(workspace.Usage{Tokens: 7, Known: true}))
	g.Expect(usageOf(newRequest("/", http.Header{}), 0)).To(Equal(workspace.Usage{}))
}

func TestQuotaRefusalReasons(t *testing.T) {
	g := NewWithT(t)
	g.Expect(newQuotaRefusal(&rate.Refusal{Exhausted: true}).why).To(Equal(reason.OverQuota))
	g.Expect(newQuotaRefusal(&rate.Refusal{Exhausted: true, TooLarge: true}).why).To(Equal(reason.ExceedsQuota))
	g.Expect(newQuotaRefusal(&rate.Refusal{}).why).To(Equal(reason.QuotaUnknown))
}
