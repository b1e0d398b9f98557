package logline_test

import (
	"bytes"
	"os"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"leverdrum/logline"
)

func logger(w *logline.Writer) *zap.Logger {
	enc := zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig())
	return zap.New(logline.Core(enc, w, zapcore.DebugLevel))
}

// dropReport matches a line that reports dropped lines.
var dropReport = regexp.MustCompile(`"event":"lines-dropped","msg":"Log lines were dropped: their reader was too slow.","count":(\d+)}`)

// gatedOutput is an output whose writes block until they are released.
type gatedOutput struct {
	entered atomic.Int64  // writes started
	release chan struct{} // each message releases one write; closing it releases all

	mu   sync.Mutex
	text bytes.Buffer
}

func newGatedOutput() *gatedOutput { return &gatedOutput{release: make(chan struct{})} }

func (g *gatedOutput) open() { close(g.release) }

func (g *gatedOutput) Write(b []byte) (int, error) {
	g.entered.Add(1)
	<-g.release
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(b)
}

func (g *gatedOutput) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.String()
}

func TestLinesHaveTheirFields(t *testing.T) {
	out := newGatedOutput()
	out.open()
	log := logger(logline.New(out)).With(zap.String("box", "b1"))
	log.Info("one", zap.Int("n", 7))
	g := NewWithT(t)
	g.Expect(log.Sync()).To(Succeed())
	g.Eventually(out.String, 5*time.Second).Should(And(ContainSubstring(`"box":"b1"`), ContainSubstring(`"n":7`)))
}

// reportedDrops returns the number of dropped lines that the output reports, and the number of such reports.
func reportedDrops(text string) (dropped, reports int64) {
	for _, found := range dropReport.FindAllStringSubmatch(text, -1) {
		n, err := strconv.ParseInt(found[1], 10, 64)
		if err != nil {
			panic(err) // only digits match
		}
		dropped += n
		reports++
	}
	return dropped, reports
}

// testFlood logs more lines than a queue holds while the output is blocked, opens the output and
// checks that each line was either written or reported as dropped.
func testFlood(t *testing.T, out *gatedOutput, w *logline.Writer, logged int64) {
	g := NewWithT(t)
	log := logger(w)
	const lines = 5000
	for i := range lines {
		log.Debug("debug line", zap.Int("n", i))
	}
	log.Warn("warning")
	g.Expect(w.Dropped()).To(BeNumerically(">", 2000))
	out.open()
	g.Eventually(func() int64 { dropped, _ := reportedDrops(out.String()); return dropped }, 5*time.Second).Should(Equal(w.Dropped()))
	g.Expect(out.String()).To(ContainSubstring(`"msg":"warning"`), "debug lines do not crowd out those of higher levels")
	g.Eventually(func() int64 {
		text := out.String()
		_, reports := reportedDrops(text)
		return int64(strings.Count(text, "\n")) - reports
	}, 5*time.Second).Should(Equal(logged + lines + 1 - w.Dropped()))
}

// The writer is blocked in a line before the flood, so a single line reports all dropped lines.
func TestDroppedLinesAreReported(t *testing.T) {
	g := NewWithT(t)
	out := newGatedOutput()
	w := logline.New(out)
	logger(w).Debug("blocks the writer")
	g.Eventually(out.entered.Load, 5*time.Second).Should(BeNumerically("==", 1))
	testFlood(t, out, w, 1)
	_, reports := reportedDrops(out.String())
	g.Expect(reports).To(BeNumerically("==", 1))
}

// Lines that are dropped while the writer is blocked in a report are reported too. In CI the
// writer first ran in the middle of the flood and reported 257 and 2,694 lines.
func TestLinesDroppedDuringReportAreReported(t *testing.T) {
	g := NewWithT(t)
	out := newGatedOutput()
	w := logline.New(out)
	log := logger(w)
	log.Debug("blocks the writer")
	g.Eventually(out.entered.Load, 5*time.Second).Should(BeNumerically("==", 1))
	var logged int64 = 1
	for ; w.Dropped() == 0; logged++ {
		log.Debug("debug line")
	}
	out.release <- struct{}{}
	g.Eventually(out.entered.Load, 5*time.Second).Should(BeNumerically(">", 1))
	testFlood(t, out, w, logged)
	_, reports := reportedDrops(out.String())
	g.Expect(reports).To(BeNumerically(">=", 2))
}

func TestFullPipeDoesNotBlock(t *testing.T) {
	g := NewWithT(t)
	r, out, err := os.Pipe() // never read
	g.Expect(err).NotTo(HaveOccurred())
	defer r.Close()
	defer out.Close()
	log := logger(logline.New(out))
	done := make(chan struct{})
	go func() {
		for range 20_000 {
			log.Info("a line that is far longer than its share of what a pipe takes before it is full")
		}
		_ = log.Sync()
		close(done)
	}()
	g.Eventually(done, 20*time.Second).Should(BeClosed())
}
