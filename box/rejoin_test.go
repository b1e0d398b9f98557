package box_test

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/box"
	"leverdrum/peer"
)

// restartAll kills all boxes and starts them again.
func (s *multiBox) restartAll() {
	s.box.Kill()
	for _, b := range s.others {
		b.Kill()
	}
	s.start()
	for i, parsed := range s.otherSettings {
		b, err := box.Start(parsed, peer.Plaintext{}, s.log)
		if err != nil {
			s.t.Fatal(err)
		}
		s.others[i] = b
	}
}

// awaitAnswers waits until all boxes answer requests.
func (s *multiBox) awaitAnswers() {
	for n := range s.entries {
		NewWithT(s.t).Eventually(func() int { return s.readStream(n, fmt.Sprint("probe-", n), "", "", 1).status }, testTimeout).WithPolling(5 * time.Millisecond).Should(Equal(http.StatusOK))
	}
}

// versions returns the software versions of the servers that a box knows.
func versions(b *box.Box) map[string]bool {
	set := map[string]bool{}
	for _, a := range b.View().Announcements.All() {
		set[a.Version] = true
	}
	return set
}

// replaceServers starts each server again under its name, as another version.
func (s *multiBox) replaceServers(version string, versionOf map[string]string) {
	s.mu.Lock()
	old := s.servers
	s.servers, s.version = nil, version
	s.mu.Unlock()
	for _, v := range old {
		v.Stop()
		s.server(v.ID, "", "m1")
	}
	for _, v := range s.servers {
		versionOf[v.ID] = version
	}
	for _, b := range append(s.others[:len(s.others):len(s.others)], s.box) {
		NewWithT(s.t).Eventually(func() map[string]bool { return versions(b) }, testTimeout).Should(Equal(map[string]bool{version: true}))
	}
}

// startRenewableCluster is startVersionedCluster with servers of one version that replaceServers can replace.
func startRenewableCluster(t *testing.T, others, servers int, version string) (s *multiBox, versionOf map[string]string) {
	s = startMultiBox(t, others)
	NewWithT(t).Eventually(func() int { return s.apply(pathsConfig) }, testTimeout).Should(Equal(http.StatusOK))
	s.reuseIDs, s.version, versionOf = true, version, map[string]string{}
	for range servers {
		s.server("", "", "m1")
		versionOf[s.servers[len(s.servers)-1].ID] = version
	}
	s.awaitAnswers()
	return s, versionOf
}

// Guards against streams that continue at the software version which has just replaced theirs, since all boxes were killed and
// believe that the service never had another one.
func TestVersionThatHasJustLeftIsNotForgottenByTheLossOfAllBoxes(t *testing.T) {
	s, versionOf := startRenewableCluster(t, 2, 4, "v1")
	g := NewWithT(t)
	began := map[string]string{}
	count := s.resumeElsewhere(100, began, func(n int) int { return n + 1 }, func() {
		for id, v := range versionOf {
			began[id] = v
		}
		s.replaceServers("v2", versionOf)
		s.restartAll()
		s.awaitAnswers()
	})
	g.Expect(count.begun).To(Equal(100))
	g.Expect(count.resumed).To(BeZero())
}

// Guards against streams of a service of a single version that cannot be resumed after the loss of all boxes, and against streams
// that are joined from two versions then.
func TestCallersResumeAfterTheLossOfAllBoxes(t *testing.T) {
	for name, c := range map[string]struct {
		versions        []string
		minResumedShare float64
	}{
		"a single version": {[]string{"v1"}, minResumedShare},
		"two versions":     {[]string{"v1", "v2"}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			s, versionOf := startVersionedCluster(t, 2, 2, c.versions...)
			g := NewWithT(t)
			count := s.resumeElsewhere(100, versionOf, func(n int) int { return n + 1 }, func() {
				s.restartAll()
				s.awaitAnswers()
			})
			t.Logf("%+v", count)
			g.Expect(count.begun).To(Equal(100))
			g.Expect(count.mixed).To(BeZero())
			g.Expect(float64(count.resumed)).To(BeNumerically(">=", c.minResumedShare*float64(count.begun)))
		})
	}
}
