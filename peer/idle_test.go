package peer

import (
	"bytes"
	"context"
	"net"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"leverdrum/level"
	"leverdrum/meter"
	"leverdrum/wire"
)

// testIdentity is the identity of a box in a cluster.
type testIdentity struct{ box string }

func (s testIdentity) Self() *wire.Member { return &wire.Member{Box: s.box, Incarnation: "1"} }

func (testIdentity) Level() level.Level { return level.First }

func (testIdentity) Cluster() (name, id string) { return "c", "x" }

func (testIdentity) Adopt(string) error { return nil }

// immediateHandler responds to probes without delay.
type immediateHandler struct{}

func (immediateHandler) Answer(context.Context, *wire.Member, *wire.Request) *wire.Response {
	return &wire.Response{Kind: &wire.Response_Probe{Probe: &wire.ProbeAnswer{}}}
}

func (immediateHandler) Receive(*wire.Message) {}

// Guards against keeping a session for every box that ever joined or queried the leader,
// as happened on a leader of 300 boxes.
func TestIdleSessionsAreClosed(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := Serve(l, testIdentity{"one"}, Plaintext{}, immediateHandler{}, meter.New())
	t.Cleanup(server.Close)
	p := NewPool(testIdentity{"two"}, Plaintext{}, "", func(string) string { return l.Addr().String() }, meter.New())
	t.Cleanup(p.Close)
	sendProbe := func() {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err := p.Call(ctx, "one", &wire.Request{Kind: &wire.Request_Probe{Probe: &wire.Probe{}}})
		g.Expect(err).NotTo(HaveOccurred())
	}
	sendProbe()
	link := p.link("one")
	g.Eventually(link.session.NumStreams).Should(BeZero())
	g.Expect(link.detachIdle()).To(BeNil(), "used since the last check")
	first := link.detachIdle()
	g.Expect(first).NotTo(BeNil())
	g.Expect(first.IsClosed()).To(BeFalse(), "calls that obtained the session before can still use it")
	sendProbe()
	g.Expect(link.session).NotTo(BeIdenticalTo(first))
	stream, err := first.OpenStream()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(closeUnused([]*session{first})).To(HaveLen(1), "a stream is still open")
	stream.Close()
	g.Eventually(func() []*session { return closeUnused([]*session{first}) }).Should(BeEmpty())
	g.Expect(first.IsClosed()).To(BeTrue())
}

// countingWriter buffers what is written and counts the writes.
type countingWriter struct {
	bytes.Buffer
	writes int
}

func (c *countingWriter) Write(b []byte) (int, error) {
	c.writes++
	return c.Buffer.Write(b)
}

// Guards against sending the length prefix as a separate yamux frame.
func TestFrameIsOneWrite(t *testing.T) {
	g := NewWithT(t)
	var c countingWriter
	for _, size := range []int{0, 10, maxPooledBuffer + 1, 10} {
		sent := &wire.Refusal{Code: string(bytes.Repeat([]byte("x"), size))}
		c.writes = 0
		g.Expect(writeFrame(&c, sent)).To(Succeed())
		g.Expect(c.writes).To(Equal(1))
		got := &wire.Refusal{}
		g.Expect(readSingleFrame(&c, maxFrame, got)).To(Succeed())
		g.Expect(got.Code).To(Equal(sent.Code))
	}
}

// Guards against allocating new buffers for every stream.
func TestFramesReuseBuffers(t *testing.T) {
	var c countingWriter
	m := &wire.Refusal{Code: "busy"}
	each := testing.AllocsPerRun(1000, func() {
		if err := writeFrame(&c, m); err != nil {
			t.Fatal(err)
		}
		if err := readSingleFrame(&c, maxFrame, m); err != nil {
			t.Fatal(err)
		}
	})
	if each > 8 {
		t.Errorf("writing and reading a frame takes %.0f allocations, want at most 8", each)
	}
}
