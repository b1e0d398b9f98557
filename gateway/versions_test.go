package gateway_test

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/internal/framing"
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
