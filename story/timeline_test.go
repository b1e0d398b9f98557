package story_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"leverdrum/story"
)

// lines are of three boxes, one as the users' bench prints it.
const lines = `not a log line
{"level":"info","ts":"2026-12-02T10:00:01.000Z","msg":"m","box":"b2","hall":"h","leads":true,"term":3,"event":"leadership-changed"}
{"level":"info","ts":"2026-12-02T09:00:01.000Z","msg":"m","box":"b2","hall":"h","leads":true,"term":2,"event":"leadership-changed"}
  4.1  edge-1 {"level":"info","ts":"2026-12-02T10:00:02.000Z","msg":"m","box":"b2","hall":"h","order":"load model m1@newest on s2","why":"no copy","id":7,"event":"order-issued"}
{"level":"info","ts":"2026-12-02T10:00:02.500Z","msg":"m","box":"b2","hall":"h","order":"load model m9@newest on s9","why":"no copy","id":8,"event":"order-issued"}
{"level":"info","ts":"2026-12-02T10:00:02.600Z","msg":"m","box":"b2","hall":"h","server":"s1","why":"it refuses connections","event":"server-silent"}
{"level":"info","ts":"2026-12-02T10:00:03.000Z","msg":"m","box":"b1","hall":"h","request":"r1","outcome":"not-resident","last":"not-reached","server":"s1","model":"m1","sends":1,"event":"request-failed"}
{"level":"info","ts":"2026-12-02T10:00:03.100Z","msg":"m","box":"b3","hall":"h","request":"r2","outcome":"caller-gone","model":"m1","sends":0,"event":"request-failed"}
{"level":"info","ts":"2026-12-02T10:00:03.200Z","msg":"m","box":"b3","hall":"h","request":"r4","outcome":"backend-broke","why":"retry-stream","server":"s1","sends":1,"event":"request-retried"}
`

func read(t *testing.T) *story.Log {
	l := &story.Log{}
	if err := l.Read(strings.NewReader(lines)); err != nil {
		t.Fatal(err)
	}
	return l
}

func TestAStoryHoldsWhatDecidedTheRequest(t *testing.T) {
	g := NewWithT(t)
	l := read(t)
	g.Expect(l.Skipped).To(Equal(1))
	s, err := l.Timeline("r1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Outcome).To(Equal("not-resident"))
	var events []string
	for _, line := range s.Lines {
		events = append(events, line.Event)
	}
	g.Expect(events).To(Equal([]string{"leadership-changed", "order-issued", "server-silent", "request-failed"}), "in time, of its model and server only")
	g.Expect(s.Cause).To(ContainSubstring("Its last sending:"))
	var out bytes.Buffer
	s.Print(&out)
	g.Expect(out.String()).To(ContainSubstring("> 10:00:03.000 b1"))
}

func TestACallerThatLeft(t *testing.T) {
	g := NewWithT(t)
	s, err := read(t).Timeline("r2")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Cause).To(ContainSubstring("caller left"))
}

func TestARequestThatWasSentAgainAndAnswered(t *testing.T) {
	g := NewWithT(t)
	s, err := read(t).Timeline("r4")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Cause).To(ContainSubstring("sent again"))
}

func TestAnUnknownRequestNamesTheBoxesThatHadLogs(t *testing.T) {
	_, err := read(t).Timeline("r3")
	NewWithT(t).Expect(err).To(MatchError(And(ContainSubstring("b1 (10:00:03 to 10:00:03)"), ContainSubstring("1 that are none of ours"))))
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(lines))
	f.Add([]byte(`{"event":1,"ts":2}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		l := &story.Log{}
		if l.Read(bytes.NewReader(data)) != nil {
			return // a line longer than the bound
		}
		for _, line := range l.Lines {
			if line.Event == "" || line.Time.IsZero() {
				t.Fatalf("%+v is no log line", line)
			}
		}
	})
}

// A request that is refused since servers ended under it: the ends that decided are minutes old, and other boxes' lines.
func TestAHeldRequestNamesTheEndsThatDecided(t *testing.T) {
	g := NewWithT(t)
	l := &story.Log{}
	g.Expect(l.Read(strings.NewReader(`{"ts":"2026-12-02T10:00:01Z","msg":"m","box":"b1","server":"s1","prints":["aa","bb"],"weak":[],"event":"crash-seen"}
{"ts":"2026-12-02T10:00:02Z","msg":"m","box":"b2","server":"s2","prints":["bb"],"weak":[],"event":"crash-seen"}
{"ts":"2026-12-02T10:00:02Z","msg":"m","box":"b2","server":"s3","prints":[],"weak":["aa"],"event":"crash-seen"}
{"ts":"2026-12-02T10:00:03Z","msg":"m","box":"b3","print":"aa","servers":["s1","s3"],"event":"crasher-held"}
{"ts":"2026-12-02T10:00:03Z","msg":"m","box":"b3","print":"bb","servers":["s1","s2"],"event":"crasher-held"}
{"ts":"2026-12-02T10:09:00Z","msg":"m","box":"b4","request":"r1","outcome":"crashes-servers","print":"aa","sends":0,"event":"request-failed"}
`))).To(Succeed())
	s, err := l.Timeline("r1")
	g.Expect(err).NotTo(HaveOccurred())
	var told []string
	for _, line := range s.Lines {
		told = append(told, line.Box+" "+line.Event)
	}
	g.Expect(told).To(Equal([]string{"b1 crash-seen", "b2 crash-seen", "b3 crasher-held", "b4 request-failed"}))
	g.Expect(s.Cause).To(ContainSubstring("Backend servers ended"))
}
