package story_test

import (
	"bytes"
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"leverdrum/story"
)

// lines are log lines of three boxes; one has the prefix that the users' benchmark adds.
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

func TestTimelineIncludesRelatedLines(t *testing.T) {
	g := NewWithT(t)
	l := read(t)
	g.Expect(l.Skipped).To(Equal(1))
	tl, err := l.Timeline("r1")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(tl.Outcome).To(Equal("not-resident"))
	var events []string
	for _, line := range tl.Lines {
		events = append(events, line.Event)
	}
	g.Expect(events).To(Equal([]string{"leadership-changed", "order-issued", "server-silent", "request-failed"}), "only lines of its model and server, ordered by time")
	g.Expect(tl.Cause).To(ContainSubstring("Last attempt:"))
	var out bytes.Buffer
	tl.Print(&out)
	g.Expect(out.String()).To(ContainSubstring("> 10:00:03.000 b1"))
}

func TestTimelineOfDisconnectedCaller(t *testing.T) {
	g := NewWithT(t)
	s, err := read(t).Timeline("r2")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Cause).To(ContainSubstring("caller disconnected"))
}

func TestTimelineOfRetriedRequest(t *testing.T) {
	g := NewWithT(t)
	s, err := read(t).Timeline("r4")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.Cause).To(ContainSubstring("was retried"))
}

func TestUnknownRequestErrorListsBoxes(t *testing.T) {
	_, err := read(t).Timeline("r3")
	NewWithT(t).Expect(err).To(MatchError(And(ContainSubstring("b1 (10:00:03 to 10:00:03)"), ContainSubstring("skipped 1 that are not log lines"))))
}

func FuzzRead(f *testing.F) {
	f.Add([]byte(lines))
	f.Add([]byte(`{"event":1,"ts":2}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		l := &story.Log{}
		if l.Read(bytes.NewReader(data)) != nil {
			return // a line exceeds the length limit
		}
		for _, line := range l.Lines {
			if line.Event == "" || line.Time.IsZero() {
				t.Fatalf("%+v is not a log line", line)
			}
		}
	})
}

// A request is blocked for a part of its prompt: the lines about the part are those that explain it, the request itself was at no server.
func TestTimelineOfBlockedPartIncludesCrashes(t *testing.T) {
	g := NewWithT(t)
	l := &story.Log{}
	g.Expect(l.Read(strings.NewReader(`{"ts":"2026-12-02T10:00:01Z","msg":"m","box":"b1","server":"s1","prints":["cc"],"parts":["5c1e07a2"],"event":"crash-seen"}
{"ts":"2026-12-02T10:00:02Z","msg":"m","box":"b2","server":"s2","parts":["5c1e07a2","bb"],"refuted":["5c1e07a2 ran 0s, elsewhere 1s"],"event":"crash-exposure"}
{"ts":"2026-12-02T10:00:02Z","msg":"m","box":"b2","server":"s3","prints":["dd"],"parts":["bb"],"event":"crash-seen"}
{"ts":"2026-12-02T10:00:03Z","msg":"m","box":"b3","print":"ee","part":"lm/5c1e07a2","servers":["s1"],"event":"crasher-held"}
{"ts":"2026-12-02T10:00:03Z","msg":"m","box":"b3","print":"ff","part":"other/5c1e07a2","servers":["s1"],"event":"crasher-held"}
{"ts":"2026-12-02T10:09:00Z","msg":"m","box":"b4","request":"r1","outcome":"crash-suspected","print":"aa","parts":["lm/5c1e07a2"],"sends":0,"event":"request-failed"}
`))).To(Succeed())
	tl, err := l.Timeline("r1")
	g.Expect(err).NotTo(HaveOccurred())
	var events []string
	for _, line := range tl.Lines {
		events = append(events, line.Box+" "+line.Event)
	}
	g.Expect(events).To(Equal([]string{"b1 crash-seen", "b2 crash-exposure", "b3 crasher-held", "b4 request-failed"}))
}

// A request is blocked because servers terminated while they processed it. The crash lines that led to this are minutes old
// and come from other boxes.
func TestTimelineOfBlockedRequestIncludesCrashes(t *testing.T) {
	g := NewWithT(t)
	l := &story.Log{}
	g.Expect(l.Read(strings.NewReader(`{"ts":"2026-12-02T10:00:01Z","msg":"m","box":"b1","server":"s1","prints":["aa","bb"],"weak":[],"event":"crash-seen"}
{"ts":"2026-12-02T10:00:02Z","msg":"m","box":"b2","server":"s2","prints":["bb"],"weak":[],"event":"crash-seen"}
{"ts":"2026-12-02T10:00:02Z","msg":"m","box":"b2","server":"s3","prints":[],"weak":["aa"],"event":"crash-seen"}
{"ts":"2026-12-02T10:00:03Z","msg":"m","box":"b3","print":"aa","servers":["s1","s3"],"event":"crasher-held"}
{"ts":"2026-12-02T10:00:03Z","msg":"m","box":"b3","print":"bb","servers":["s1","s2"],"event":"crasher-held"}
{"ts":"2026-12-02T10:09:00Z","msg":"m","box":"b4","request":"r1","outcome":"crashes-servers","print":"aa","sends":0,"event":"request-failed"}
`))).To(Succeed())
	tl, err := l.Timeline("r1")
	g.Expect(err).NotTo(HaveOccurred())
	var events []string
	for _, line := range tl.Lines {
		events = append(events, line.Box+" "+line.Event)
	}
	g.Expect(events).To(Equal([]string{"b1 crash-seen", "b2 crash-seen", "b3 crasher-held", "b4 request-failed"}))
	g.Expect(tl.Cause).To(ContainSubstring("Several backend servers terminated while running this request"))
}
