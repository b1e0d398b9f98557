package gateway_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/internal/framing"
	"leverdrum/origin"
	"leverdrum/wire"
)

// newVersionedBackend returns a server whose events carry its software version. If breaks is set, each stream breaks off before its
// third event of five.
func newVersionedBackend(t *testing.T, id, version string, breaks bool) *backend {
	var b *backend
	b = newBackend(t, id, func(c net.Conn, _ string) bool {
		received := b.received()
		from := 0
		fmt.Sscan(header(received[len(received)-1], "Last-Event-Id"), &from)
		fmt.Fprintf(c, streamHead, version)
		for n := from + 1; n <= 5; n++ {
			if breaks && n == 3 {
				return false
			}
			fmt.Fprint(c, chunk(fmt.Sprintf("id: %d\ndata: %s\n\n", n, version)))
		}
		fmt.Fprint(c, "0\r\n\r\n")
		return true
	})
	b.version = version
	return b
}

// Guards against a stream that breaks off and continues inside its response at a server of another software version.
func TestStreamResumesOnlyAtItsSoftwareVersion(t *testing.T) {
	g := NewWithT(t)
	for n := range 10 {
		backends := []*backend{newVersionedBackend(t, "i1", "v1", true), newVersionedBackend(t, "i2", "v2", true)}
		body, end := asCaller(t, newSetup(t, 5*time.Second, backends...).send(request("/stream/x", "")))
		g.Expect(end).To(Equal(framing.Truncated), "no server of the version is left")
		g.Expect(strings.Contains(body, "v1") && strings.Contains(body, "v2")).To(BeFalse(), "stream %d: %s", n, body)
	}
	for n := range 10 {
		backends := []*backend{newVersionedBackend(t, "i1", "v1", true), newVersionedBackend(t, "i2", "v1", false), newVersionedBackend(t, "i3", "v2", true), newVersionedBackend(t, "i4", "v2", false)}
		body, end := asCaller(t, newSetup(t, 5*time.Second, backends...).send(request("/stream/x", "")))
		g.Expect(end).To(Equal(framing.Complete), "stream %d", n)
		g.Expect(strings.Contains(body, "v1") && strings.Contains(body, "v2")).To(BeFalse(), "stream %d: %s", n, body)
	}
}

// knownOrigins has all streams begin at one version. departed is whether its servers have left by the confirmed state.
type knownOrigins struct {
	version  string
	departed bool
}

func (knownOrigins) Begin(string, origin.Origin) {}

func (o knownOrigins) Lookup(_ context.Context, _, service string, _ time.Duration) (origin.Origin, bool) {
	return origin.Origin{Service: service, Version: o.version, Source: origin.SourceKeeper}, true
}

func (o knownOrigins) Departed(context.Context, string, string) bool { return o.departed }

// Guards against a stream that is rejected at a box that does not know the servers of its version yet, and against one that waits
// for servers that are known to have left.
func TestResumedStreamWaitsForServersThatTheBoxLacks(t *testing.T) {
	const (
		timeout = 2 * time.Second
		late    = 300 * time.Millisecond
	)
	for name, c := range map[string]struct {
		departed, join bool
		status         string
		min, max       time.Duration
	}{
		"the servers join":        {false, true, "200", late, timeout / 2},
		"the servers do not join": {false, false, "503", timeout / 2, timeout},
		"the servers have left":   {true, false, "503", 0, late},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			older, newer := newVersionedBackend(t, "i1", "v1", false), newVersionedBackend(t, "i2", "v2", false)
			s := newSetupWithOrigins(t, knownOrigins{"v2", c.departed}, nil, timeout, older)
			if c.join {
				time.AfterFunc(late, func() {
					next := s.view.Clone()
					next.Announcements.Set(newer.id, &wire.Announcement{Id: newer.id, Service: "s", Address: newer.address, Hall: "h", Slots: 8, Version: newer.version})
					s.later.Store(next)
					s.gate.Refresh()
				})
			}
			start := time.Now()
			answer := s.send(request("/stream/x", "Last-Event-Id: 2\r\nX-Resumes: r\r\n"))
			g.Expect(answer).To(HavePrefix("HTTP/1.1 "+c.status), answer)
			g.Expect(answer).NotTo(ContainSubstring("v1"))
			g.Expect(time.Since(start)).To(And(BeNumerically(">=", c.min), BeNumerically("<", c.max)))
		})
	}
}
