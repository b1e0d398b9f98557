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

// someone is a box of a cluster.
type someone struct{ box string }

func (s someone) Self() *wire.Member { return &wire.Member{Box: s.box, Incarnation: "1"} }

func (someone) Level() level.Level { return level.First }

func (someone) Cluster() (name, id string) { return "c", "x" }

func (someone) Adopt(string) error { return nil }

// prompt answers probes at once.
type prompt struct{}

func (prompt) Answer(context.Context, *wire.Member, *wire.Request) *wire.Response {
	return &wire.Response{Kind: &wire.Response_Probe{Probe: &wire.ProbeAnswer{}}}
}

func (prompt) Receive(*wire.Message) {}

// The leader of 300 boxes kept a session to each that had ever joined or looked for it.
func TestSessionsThatAreNotUsedAreClosed(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	server := Serve(l, someone{"one"}, Plaintext{}, prompt{}, meter.New())
	t.Cleanup(server.Close)
	p := NewPool(someone{"two"}, Plaintext{}, "", func(string) string { return l.Addr().String() }, meter.New())
	t.Cleanup(p.Close)
	ask := func() {
		ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
		defer cancel()
		_, err := p.Call(ctx, "one", &wire.Request{Kind: &wire.Request_Probe{Probe: &wire.Probe{}}})
		g.Expect(err).NotTo(HaveOccurred())
	}
	ask()
	link := p.link("one")
	g.Eventually(link.session.NumStreams).Should(BeZero())
	g.Expect(link.takeIdle()).To(BeNil(), "used since the last look")
	first := link.takeIdle()
	g.Expect(first).NotTo(BeNil())
	g.Expect(first.IsClosed()).To(BeFalse(), "whoever had it from the link goes on with it")
	ask()
	g.Expect(link.session).NotTo(BeIdenticalTo(first))
	stream, err := first.OpenStream()
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(closeUnused([]*session{first})).To(HaveLen(1), "something is under way on it")
	stream.Close()
	g.Eventually(func() []*session { return closeUnused([]*session{first}) }).Should(BeEmpty())
	g.Expect(first.IsClosed()).To(BeTrue())
}

// counting counts what is written, and how often.
type counting struct {
	bytes.Buffer
	writes int
}

func (c *counting) Write(b []byte) (int, error) {
	c.writes++
	return c.Buffer.Write(b)
}

// The length of a frame went as a frame of yamux of its own.
func TestAFrameIsWrittenAtOnce(t *testing.T) {
	g := NewWithT(t)
	var c counting
	for _, size := range []int{0, 10, keepBuffer + 1, 10} {
		sent := &wire.Refusal{Code: string(bytes.Repeat([]byte("x"), size))}
		c.writes = 0
		g.Expect(writeFrame(&c, sent)).To(Succeed())
		g.Expect(c.writes).To(Equal(1))
		got := &wire.Refusal{}
		g.Expect(readOnly(&c, maxFrame, got)).To(Succeed())
		g.Expect(got.Code).To(Equal(sent.Code))
	}
}

// What one question costs must not hold a buffer of its own for each stream.
func TestFramesUseBuffersAgain(t *testing.T) {
	var c counting
	m := &wire.Refusal{Code: "busy"}
	each := testing.AllocsPerRun(1000, func() {
		if err := writeFrame(&c, m); err != nil {
			t.Fatal(err)
		}
		if err := readOnly(&c, maxFrame, m); err != nil {
			t.Fatal(err)
		}
	})
	if each > 8 {
		t.Errorf("a frame there and back takes %.0f allocations", each)
	}
}
