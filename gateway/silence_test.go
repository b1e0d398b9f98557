package gateway

import (
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a sound server that is avoided for longer than it was silent: dials that failed during a second of silence
// ejected it for four more.
func TestServerIsUsedAgainOnceItAcceptsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := newServers(1)[0]
		for range 3 { // three dials that time out within a second
			time.Sleep(300 * time.Millisecond)
			s.ejectUnreachable(time.Now())
		}
		g.Expect(s.ejected(time.Now())).To(BeTrue())
		time.Sleep(100 * time.Millisecond)
		s.pool.lastDial.Store(time.Now().UnixNano())
		g.Expect(s.ejected(time.Now())).To(BeFalse(), "it accepts connections")
		g.Expect(s.faultless(time.Now())).To(BeTrue())
		s.recordFailure(time.Now())
		s.recordFailure(time.Now())
		g.Expect(s.ejected(time.Now())).To(BeTrue(), "a server that fails requests is ejected though it accepts connections")
	})
}
