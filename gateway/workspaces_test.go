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

// withWorkspaces gives the setup two workspaces.
func (s *setup) withWorkspaces(list ...*workspace.Workspace) {
	if list == nil {
		list = []*workspace.Workspace{
			{Name: "atelier", Keys: []workspace.Digest{workspace.DigestOf(keyOfAtelier)}},
			{Name: "library", Keys: []workspace.Digest{workspace.DigestOf(keyOfLibrary)}, Urgency: 1},
		}
	}
	book, clashes := workspace.NewRegistry(list)
	if len(clashes) > 0 {
		s.t.Fatal(clashes)
	}
	next := *s.view.Fleet
	next.Workspaces = book
	view := *s.view
	view.Fleet = &next
	s.view = &view
	s.gate.Refresh()
}

func TestOnlyAKeyOpensARoute(t *testing.T) {
	g := NewWithT(t)
	b := newBackend(t, "i1", ok)
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
	g.Expect(b.came()).To(BeEmpty())
	g.Expect(s.send(request("/unsafe/x", "X-Api-Key: "+keyOfAtelier+"\r\n"))).To(HavePrefix("HTTP/1.1 200 OK"))
}

func TestAServerIsToldTheWorkspaceAndSeesNoKey(t *testing.T) {
	g := NewWithT(t)
	b := newBackend(t, "i1", ok)
	s := newSetup(t, 5*time.Second, b)
	s.withWorkspaces()
	s.send(request("/unsafe/x", "X-Api-Key: "+keyOfLibrary+"\r\nX-Workspace: atelier\r\n"))
	came := b.came()
	g.Expect(came).To(HaveLen(1))
	g.Expect(came[0]).NotTo(ContainSubstring(keyOfLibrary))
	g.Expect(came[0]).NotTo(ContainSubstring("atelier"))
	g.Expect(header(came[0], "X-Workspace")).To(Equal("library"))
	for _, line := range s.logged.All() {
		g.Expect(line.ContextMap()).NotTo(ContainElement(ContainSubstring(keyOfLibrary)))
	}
}

// The body of a request that shows no key is not waited for.
func TestWithoutAKeyTheBodyIsNotRead(t *testing.T) {
	g := NewWithT(t)
	s := newSetup(t, 5*time.Second, newBackend(t, "i1", ok))
	s.withWorkspaces()
	c, err := net.Dial("tcp", s.at)
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

// Each request of an open connection is judged anew.
func TestAKeyThatIsTakenAwayOpensNothingMore(t *testing.T) {
	g := NewWithT(t)
	b := newBackend(t, "i1", ok)
	s := newSetup(t, 5*time.Second, b)
	s.withWorkspaces()
	shown := request("/unsafe/x", "X-Api-Key: "+keyOfLibrary+"\r\n")
	g.Expect(s.send(shown)).To(HavePrefix("HTTP/1.1 200 OK"))
	s.withWorkspaces(&workspace.Workspace{Name: "atelier", Keys: []workspace.Digest{workspace.DigestOf(keyOfAtelier)}})
	g.Expect(s.send(shown)).To(HavePrefix("HTTP/1.1 401 "))
	s.withWorkspaces(&workspace.Workspace{Name: "atelier", Keys: []workspace.Digest{workspace.DigestOf(keyOfLibrary)}})
	s.send(shown)
	came := b.came()
	g.Expect(came).To(HaveLen(2))
	g.Expect(header(came[1], "X-Workspace")).To(Equal("atelier"), "the key was passed on")
}

// A request was judged by routes that were older than what showed them to be current: a box that had just started
// could open a key by the file before the one with which it became current.
func TestRoutesAreAtLeastAsNewAsWhatShowsThemCurrent(t *testing.T) {
	g := NewWithT(t)
	b := newBackend(t, "i1", ok)
	s := newSetup(t, 5*time.Second, b)
	s.withWorkspaces()
	s.asked = func() {
		s.withWorkspaces(&workspace.Workspace{Name: "atelier", Keys: []workspace.Digest{workspace.DigestOf(keyOfAtelier)}})
	}
	g.Expect(s.send(request("/unsafe/x", "X-Api-Key: "+keyOfLibrary+"\r\n"))).To(HavePrefix("HTTP/1.1 401 "))
}

func TestAPublicRouteNeedsNoKey(t *testing.T) {
	g := NewWithT(t)
	b := newBackend(t, "i1", ok)
	s := newSetup(t, 5*time.Second, b)
	for _, r := range s.view.Fleet.Routes {
		r.Public = true
	}
	s.withWorkspaces()
	g.Expect(s.send(request("/unsafe/x", "X-Workspace: atelier\r\n"))).To(HavePrefix("HTTP/1.1 200 OK"))
	g.Expect(s.send(request("/unsafe/x", "X-Api-Key: nobodys-key-at-all\r\n"))).To(HavePrefix("HTTP/1.1 200 OK"))
	g.Expect(s.send(request("/unsafe/x", "X-Api-Key: "+keyOfAtelier+"\r\n"))).To(HavePrefix("HTTP/1.1 200 OK"))
	var told []string
	for _, r := range b.came() {
		g.Expect(r).NotTo(ContainSubstring("nobodys"))
		told = append(told, header(r, "X-Workspace"))
	}
	g.Expect(told).To(Equal([]string{"", "", "atelier"}))
}

func TestWithoutWorkspacesAKeyIsTheCallersOwnAffair(t *testing.T) {
	g := NewWithT(t)
	b := newBackend(t, "i1", ok)
	s := newSetup(t, 5*time.Second, b)
	g.Expect(s.send(request("/unsafe/x", "X-Api-Key: anything\r\nX-Workspace: atelier\r\n"))).To(HavePrefix("HTTP/1.1 200 OK"))
	g.Expect(header(b.came()[0], "X-Api-Key")).To(Equal("anything"))
	g.Expect(b.came()[0]).NotTo(ContainSubstring("atelier"))
}
