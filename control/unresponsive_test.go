package control

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Other boxes may have received announcements that a new leader has not. Only a server that the
// leader itself has seen counts as unresponsive soon.
func TestNewLeaderWaitsLongerForUnseenServers(t *testing.T) {
	g := NewWithT(t)
	c := New(Options{})
	c.contacts["heard"] = &contact{lastSeen: time.Now().Add(-4 * time.Second)}
	for id, row := range map[string]struct {
		leadingFor   time.Duration
		unresponsive bool
	}{
		"heard": {10 * time.Second, true}, "young leader": {4 * time.Second, false}, "never heard": {10 * time.Second, true},
	} {
		_, unresponsive := c.unresponsive(id, row.leadingFor)
		g.Expect(unresponsive).To(Equal(row.unresponsive), id)
	}
	c.contacts["just now"] = &contact{lastSeen: time.Now()}
	_, unresponsive := c.unresponsive("just now", time.Minute)
	g.Expect(unresponsive).To(BeFalse())
}
