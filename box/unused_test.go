package box_test

import (
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a planned stop that waits for a connection on which no request was sent, and then reports aborted requests. Clients
// open such connections when another one becomes idle meanwhile.
func TestPlannedStopDoesNotWaitForUnusedConnections(t *testing.T) {
	g := NewWithT(t)
	o := startSingleBox(t)
	o.settings.StopTimeout = 3 * time.Second
	unused, err := net.Dial("tcp", o.entry)
	g.Expect(err).NotTo(HaveOccurred())
	defer unused.Close()
	began := time.Now()
	g.Expect(o.box.Stop()).To(Succeed(), "no request was aborted")
	g.Expect(time.Since(began)).To(BeNumerically("<", 3*time.Second))
	_, err = unused.Read(make([]byte, 1))
	g.Expect(err).To(HaveOccurred(), "the connection is closed")
}
