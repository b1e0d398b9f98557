package peer

import (
	"net"
	"testing"

	"github.com/hashicorp/yamux"
	. "github.com/onsi/gomega"
)

// newSessionPair returns the remote connection and the local session of a pair, and a
// stream on which no data arrives.
func newSessionPair(t *testing.T, w *pendingReads) (remote net.Conn, local *yamux.Session, stream *yamux.Stream) {
	g := NewWithT(t)
	a, b := net.Pipe()
	remote = b
	local, err := yamux.Client(&readStoppingConn{a, w}, sessionConfig())
	g.Expect(err).NotTo(HaveOccurred())
	other, err := yamux.Server(remote, sessionConfig())
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { local.Close(); other.Close() })
	stream, err = local.OpenStream()
	g.Expect(err).NotTo(HaveOccurred())
	_, err = other.AcceptStream()
	g.Expect(err).NotTo(HaveOccurred())
	return remote, local, stream
}

// Guards against a read that is pending while its session closes: it would spin and occupy
// the processor indefinitely.
func TestReadsStopBeforeSessionCloses(t *testing.T) {
	for name, endSession := range map[string]func(remote net.Conn, local *yamux.Session, w *pendingReads){
		"the connection fails": func(remote net.Conn, _ *yamux.Session, _ *pendingReads) { remote.Close() },
		"this side closes":     func(_ net.Conn, local *yamux.Session, w *pendingReads) { w.stop(); local.Close() },
	} {
		g := NewWithT(t)
		w := newPendingReads()
		remote, local, stream := newSessionPair(t, w)
		closed := make(chan bool, 1)
		go func() {
			_, err := w.reader(stream).Read(make([]byte, 1))
			closed <- local.IsClosed() || err == nil
		}()
		g.Eventually(w.idle, "5s").Should(BeFalse())
		endSession(remote, local, w)
		g.Eventually(closed, "5s").Should(Receive(BeFalse()), name)
		g.Eventually(local.IsClosed, "5s").Should(BeTrue(), name)
		_, err := w.reader(stream).Read(make([]byte, 1))
		g.Expect(err).To(HaveOccurred(), "no read may start after the session has ended")
	}
}
