package gateway_test

import (
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/reason"
	"leverdrum/workspace"
)

const (
	keyOfAtelier = "key-of-the-atelier"
	keyOfLibrary = "key-of-the-library"
)

// withWorkspaces gives the setup the listed workspaces, or two default ones.
func (s *setup) withWorkspaces(list ...*workspace.Workspace) {
	if list == nil {
		list = []*workspace.Workspace{
			{Name: "atelier", Keys: []workspace.Digest{workspace.DigestOf(keyOfAtelier)}},
			{Name: "library", Keys: []workspace.Digest{workspace.DigestOf(keyOfLibrary)}, Urgency: 1},
		}
	}
	registry, conflicts := workspace.NewRegistry(list)
	if len(conflicts) > 0 {
		s.t.Fatal(conflicts)
	}
	next := *s.view.Fleet
	next.Workspaces = registry
	view := *s.view
	view.Fleet = &next
	s.view = &view
	s.gate.Refresh()
}

func TestRouteRequiresAKey(t *testing.T) {
	g := NewWithT(t)
	b := newBackend(t, "i1", answerOK)
	s := newSetup(t, 5*time.Second, b)
	s.withWorkspaces()
	for _, headers := range []string{
		"", "X-Api-Key: \r\n", "X-Api-Key: nobodys-key-at-all\r\n", "X-Workspace: atelier\r\n",
		"X-Api-Key: " + keyOfAtelier + "\r\nX-Api-Key: " + keyOfAtelier + "\r\n",
		"X-Api-Key: " + strings.Repeat("k", 8<<10) + "\r\n",
	} {
		answer := s.send(request("/unsafe/x", headers))
		g.Expect(answer).To(HavePrefix("HTTP/1.1 401 "), headers)
		g.Expect(answer).To(ContainSubstring(reason.NoAccess.Code))
	}
	g.Expect(b.received()).To(BeEmpty())
	g.Expect(s.send(request("/unsafe/x", "X-Api-Key: "+keyOfAtelier+"\r\n"))).To(HavePrefix("HTTP/1.1 200 OK"))
}

func TestServerReceivesWorkspaceButNoKey(t *testing.T) {
	g := NewWithT(t)
	b := newBackend(t, "i1", answerOK)
	s := newSetup(t, 5*time.Second, b)
	s.withWorkspaces()
	s.send(request("/unsafe/x", "X-Api-Key: "+keyOfLibrary+"\r\nX-Workspace: atelier\r\n"))
	received := b.received()
	g.Expect(received).To(HaveLen(1))
	g.Expect(received[0]).NotTo(ContainSubstring(keyOfLibrary))
	g.Expect(received[0]).NotTo(ContainSubstring("atelier"))
	g.Expect(header(received[0], "X-Workspace")).To(Equal("library"))
	for _, line := range s.logged.All() {
		g.Expect(line.ContextMap()).NotTo(ContainElement(ContainSubstring(keyOfLibrary)))
	}
}

// A request without a key is refused without waiting for its body.
func TestBodyIsNotReadWithoutAKey(t *testing.T) {
	g := NewWithT(t)
	s := newSetup(t, 5*time.Second, newBackend(t, "i1", answerOK))
	s.withWorkspaces()
	c, err := net.Dial("tcp", s.address)
	g.Expect(err).NotTo(HaveOccurred())
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(within))
	_, err = c.Write([]byte("POST /unsafe/x HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1000000\r\n\r\n"))
	g.Expect(err).NotTo(HaveOccurred())
	buf := make([]byte, 12)
	_, err = c.Read(buf)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(buf)).To(Equal("HTTP/1.1 401"))
}

// The key is checked for each request on an open connection.
func TestRevokedKeyIsRefused(t *testing.T) {
	g := NewWithT(t)
	b := newBackend(t, "i1", answerOK)
	s := newSetup(t, 5*time.Second, b)
	s.withWorkspaces()
	withKey := request("/unsafe/x", "X-Api-Key: "+keyOfLibrary+"\r\n")
	g.Expect(s.send(withKey)).To(HavePrefix("HTTP/1.1 200 OK"))
	s.withWorkspaces(&workspace.Workspace{Name: "atelier", Keys: []workspace.Digest{workspace.DigestOf(keyOfAtelier)}})
	g.Expect(s.send(withKey)).To(HavePrefix("HTTP/1.1 401 "))
	s.withWorkspaces(&workspace.Workspace{Name: "atelier", Keys: []workspace.Digest{workspace.DigestOf(keyOfLibrary)}})
	s.send(withKey)
	received := b.received()
	g.Expect(received).To(HaveLen(2))
	g.Expect(header(received[1], "X-Workspace")).To(Equal("atelier"), "the key now belongs to the other workspace")
}

// Guards against routing by a table older than the check that shows it to be current: a box that
// had just started could accept a key of the configuration before the one with which it became
// current.
func TestRoutesAreAtLeastAsNewAsTheCurrentCheck(t *testing.T) {
	g := NewWithT(t)
	b := newBackend(t, "i1", answerOK)
	s := newSetup(t, 5*time.Second, b)
	s.withWorkspaces()
	s.onCurrentCheck = func() {
		s.withWorkspaces(&workspace.Workspace{Name: "atelier", Keys: []workspace.Digest{workspace.DigestOf(keyOfAtelier)}})
	}
	g.Expect(s.send(request("/unsafe/x", "X-Api-Key: "+keyOfLibrary+"\r\n"))).To(HavePrefix("HTTP/1.1 401 "))
}

func TestPublicRouteNeedsNoKey(t *testing.T) {
	g := NewWithT(t)
	b := newBackend(t, "i1", answerOK)
	s := newSetup(t, 5*time.Second, b)
	for _, r := range s.view.Fleet.Routes {
		r.Public = true
	}
	s.withWorkspaces()
	g.Expect(s.send(request("/unsafe/x", "X-Workspace: atelier\r\n"))).To(HavePrefix("HTTP/1.1 200 OK"))
	g.Expect(s.send(request("/unsafe/x", "X-Api-Key: nobodys-key-at-all\r\n"))).To(HavePrefix("HTTP/1.1 200 OK"))
	g.Expect(s.send(request("/unsafe/x", "X-Api-Key: "+keyOfAtelier+"\r\n"))).To(HavePrefix("HTTP/1.1 200 OK"))
	var workspaces []string
	for _, r := range b.received() {
		g.Expect(r).NotTo(ContainSubstring("nobodys"))
		workspaces = append(workspaces, header(r, "X-Workspace"))
	}
	g.Expect(workspaces).To(Equal([]string{"", "", "atelier"}))
}

func TestKeyIsForwardedWithoutWorkspaces(t *testing.T) {
	g := NewWithT(t)
	b := newBackend(t, "i1", answerOK)
	s := newSetup(t, 5*time.Second, b)
	g.Expect(s.send(request("/unsafe/x", "X-Api-Key: anything\r\nX-Workspace: atelier\r\n"))).To(HavePrefix("HTTP/1.1 200 OK"))
	g.Expect(header(b.received()[0], "X-Api-Key")).To(Equal("anything"))
	g.Expect(b.received()[0]).NotTo(ContainSubstring("atelier"))
}
