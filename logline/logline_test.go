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

// toldOf matches a line that tells of dropped lines.
var toldOf = regexp.MustCompile(`"event":"lines-dropped","msg":"Log lines were dropped: their reader was too slow.","count":(\d+)}`)

// gate is an output whose writes wait until they are let through.
type gate struct {
	entered atomic.Int64  // writes begun
	through chan struct{} // one write for each message, all once it is closed

	mu   sync.Mutex
	text bytes.Buffer
}

func newGate() *gate { return &gate{through: make(chan struct{})} }

func (g *gate) open() { close(g.through) }

func (g *gate) Write(b []byte) (int, error) {
	g.entered.Add(1)
	<-g.through
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(b)
}

func (g *gate) String() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.String()
}

func TestLinesComeWithTheirFields(t *testing.T) {
	out := newGate()
	out.open()
	log := logger(logline.New(out)).With(zap.String("box", "b1"))
	log.Info("one", zap.Int("n", 7))
	g := NewWithT(t)
	g.Expect(log.Sync()).To(Succeed())
	g.Eventually(out.String, 5*time.Second).Should(And(ContainSubstring(`"box":"b1"`), ContainSubstring(`"n":7`)))
}

// said returns how many dropped lines the output tells of, in how many lines of its own.
func said(text string) (dropped, told int64) {
	for _, found := range toldOf.FindAllStringSubmatch(text, -1) {
		n, err := strconv.ParseInt(found[1], 10, 64)
		if err != nil {
			panic(err) // only digits match
		}
		dropped += n
		told++
	}
	return dropped, told
}

// floods logs more lines than a queue holds while the output is shut, opens it and says
// that each line either came or was told of.
func floods(t *testing.T, out *gate, w *logline.Writer, logged int64) {
	g := NewWithT(t)
	log := logger(w)
	const lines = 5000
	for i := range lines {
		log.Debug("calm", zap.Int("n", i))
	}
	log.Warn("grave")
	g.Expect(w.Dropped()).To(BeNumerically(">", 2000))
	out.open()
	g.Eventually(func() int64 { dropped, _ := said(out.String()); return dropped }, 5*time.Second).Should(Equal(w.Dropped()))
	g.Expect(out.String()).To(ContainSubstring(`"msg":"grave"`), "calm lines do not crowd out grave ones")
	g.Eventually(func() int64 {
		text := out.String()
		_, told := said(text)
		return int64(strings.Count(text, "\n")) - told
	}, 5*time.Second).Should(Equal(logged + lines + 1 - w.Dropped()))
}

// The writer is held up in a line before the flood: all that is dropped is told at once.
func TestWhatIsDroppedIsSaid(t *testing.T) {
	g := NewWithT(t)
	out := newGate()
	w := logline.New(out)
	logger(w).Debug("holds the writer up")
	g.Eventually(out.entered.Load, 5*time.Second).Should(BeNumerically("==", 1))
	floods(t, out, w, 1)
	_, told := said(out.String())
	g.Expect(told).To(BeNumerically("==", 1))
}

// The writer is held up while it tells of dropped lines, and more are dropped: in CI it
// ran for the first time in the middle of the flood, and told of 257 and 2,694 lines.
func TestWhatIsDroppedMeanwhileIsSaidToo(t *testing.T) {
	g := NewWithT(t)
	out := newGate()
	w := logline.New(out)
	log := logger(w)
	log.Debug("holds the writer up")
	g.Eventually(out.entered.Load, 5*time.Second).Should(BeNumerically("==", 1))
	var logged int64 = 1
	for ; w.Dropped() == 0; logged++ {
		log.Debug("calm")
	}
	out.through <- struct{}{}
	g.Eventually(out.entered.Load, 5*time.Second).Should(BeNumerically(">", 1))
	floods(t, out, w, logged)
	_, told := said(out.String())
	g.Expect(told).To(BeNumerically(">=", 2))
}

func TestAFullPipeHoldsUpNobody(t *testing.T) {
	g := NewWithT(t)
	r, out, err := os.Pipe() // nobody reads
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
