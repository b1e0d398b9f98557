package daemon

import (
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// A SIGHUP that nobody had taken yet filled the only channel, and the SIGTERM behind
// it was dropped: the process would have been killed after the grace time.
func TestAStopIsNotLostBehindHangUps(t *testing.T) {
	g := NewWithT(t)
	sent := catch()
	for _, s := range []syscall.Signal{syscall.SIGHUP, syscall.SIGHUP, syscall.SIGTERM} {
		g.Expect(syscall.Kill(syscall.Getpid(), s)).To(Succeed())
	}
	g.Eventually(func() int { return len(sent.stop) }, 10*time.Second).Should(Equal(1))
	again := 0
	ended := make(chan error, 1)
	go func() { ended <- sent.await(nil, func() { again++ }) }()
	g.Eventually(ended, 10*time.Second).Should(Receive(BeNil()))
	g.Expect(again).To(BeNumerically("<=", 2))
}

func TestHangUpsAreHeeded(t *testing.T) {
	g := NewWithT(t)
	sent := catch()
	again := make(chan struct{}, 1)
	ended := make(chan error, 1)
	go func() { ended <- sent.await(nil, func() { again <- struct{}{} }) }()
	g.Expect(syscall.Kill(syscall.Getpid(), syscall.SIGHUP)).To(Succeed())
	g.Eventually(again, 10*time.Second).Should(Receive())
	g.Expect(syscall.Kill(syscall.Getpid(), syscall.SIGTERM)).To(Succeed())
	g.Eventually(ended, 10*time.Second).Should(Receive(BeNil()))
}
