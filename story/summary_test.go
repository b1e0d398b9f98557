package story

import (
	"bytes"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const sampleLog = `b1 {"ts":"2026-12-02T10:00:00.500Z","box":"b1","event":"request-done","request":"1","route":"r","model":"m","server":"s1","status":200,"aim":0.4,"pause":0.25,"first":0.05,"longest":0.1,"after":0.4,"sends":1}
b1 {"ts":"2026-12-02T10:00:00.900Z","box":"b1","event":"request-done","request":"2","route":"r","model":"m","server":"s1","status":200,"aim":0.4,"pause":0.25,"first":0.05,"longest":0.3,"after":0.8,"sends":1}
b1 {"ts":"2026-12-02T10:00:01.200Z","box":"b1","event":"request-done","request":"3","route":"r","model":"m","server":"s2","status":200,"aim":0.4,"first":0.6,"after":0.9,"sends":2}
b1 {"ts":"2026-12-02T10:00:03.000Z","box":"b1","event":"request-done","request":"4","route":"r","server":"s2","status":200,"aim":0.4,"first":0.6,"waited":0.5,"after":0.7,"sends":1}
b1 {"ts":"2026-12-02T10:00:03.000Z","box":"b1","event":"request-done","request":"5","route":"r","server":"s2","status":200,"aim":0.4,"first":0.6,"behind":90,"reckoned":20,"after":0.7,"sends":1}
b1 {"ts":"2026-12-02T10:00:03.000Z","box":"b1","event":"request-done","request":"6","route":"r","server":"s2","status":200,"aim":0.4,"first":0.6,"behind":9,"reckoned":20,"after":0.7,"sends":1}
b1 {"ts":"2026-12-02T10:00:03.000Z","box":"b1","event":"request-done","request":"7","route":"q","server":"s3","status":500,"aim":0.4,"first":0.01,"after":0.1,"sends":1}
b2 {"ts":"2026-12-02T10:00:03.100Z","box":"b2","event":"request-failed","request":"8","route":"r","model":"m","outcome":"overloaded","after":0.1}
b2 {"ts":"2026-12-02T10:00:03.100Z","box":"b2","event":"request-refused","request":"9","outcome":"not-current"}
b2 {"ts":"2026-12-02T10:00:03.100Z","box":"b2","event":"request-retried","request":"8","outcome":"x"}
no line of ours
`

func TestSummaryAssignsOneCauseToEachRequest(t *testing.T) {
	g := NewWithT(t)
	log := &Log{}
	g.Expect(log.Read(strings.NewReader(sampleLog))).To(Succeed())
	summary := log.Summarize(2 * time.Second)
	g.Expect([]int{summary.Requests, summary.InTime}).To(Equal([]int{9, 1}))
	sum := 0
	byName := map[string]int{}
	for _, c := range summary.Causes {
		sum += c.Requests
		name, _, _ := strings.Cut(c.Name, ": ")
		if name == "late" {
			name = c.Name
		}
		byName[name] += c.Requests
	}
	g.Expect(sum).To(Equal(summary.Requests-summary.InTime), "every request not in time has exactly one cause")
	g.Expect(byName).To(Equal(map[string]int{
		"late: a gap between two events": 1, "late: an earlier attempt failed": 1, "late: no server had the model ready": 1, "late: queued behind other requests at the server": 1,
		"late: the server took longer than estimated": 1, "the server returned an error": 1, "overloaded": 1, "not-current": 1,
	}))
	g.Expect(summary.Windows).To(HaveLen(2))
	g.Expect(summary.Windows[0].InTime).To(Equal(0), "the worst window first")
	g.Expect(summary.Windows[0].From.Second()).To(Equal(2), "by arrival time of the requests")
	g.Expect(summary.Servers[0]).To(Equal(Count{"s2", 4}))
	var out bytes.Buffer
	summary.Print(&out)
	g.Expect(out.String()).To(HavePrefix("9 requests, 1 in time (0.111)\n"))
}
