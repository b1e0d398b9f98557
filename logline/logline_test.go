package logline_test

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"sync"
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

// gate is an output that writes nothing while it is shut.
type gate struct {
	shut sync.Mutex

	mu   sync.Mutex
	text bytes.Buffer
}

func (g *gate) Write(b []byte) (int, error) {
	g.shut.Lock()
	defer g.shut.Unlock()
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
	out := &gate{}
	log := logger(logline.New(out)).With(zap.String("box", "b1"))
	log.Info("one", zap.Int("n", 7))
	g := NewWithT(t)
	g.Expect(log.Sync()).To(Succeed())
	g.Eventually(out.String, 5*time.Second).Should(And(ContainSubstring(`"box":"b1"`), ContainSubstring(`"n":7`)))
}

func TestWhatIsDroppedIsSaid(t *testing.T) {
	g := NewWithT(t)
	out := &gate{}
	out.shut.Lock()
	w := logline.New(out)
	log := logger(w)
	const lines = 5000
	for i := range lines {
		log.Debug("calm", zap.Int("n", i))
	}
	log.Warn("grave")
	g.Expect(w.Dropped()).To(BeNumerically(">", 2000))
	out.shut.Unlock()
	g.Eventually(out.String, 5*time.Second).Should(ContainSubstring(fmt.Sprintf(`"event":"lines-dropped","msg":"Log lines were dropped: their reader was too slow.","count":%d}`, w.Dropped())))
	g.Expect(out.String()).To(ContainSubstring(`"msg":"grave"`), "calm lines do not crowd out grave ones")
	g.Eventually(func() int64 { return int64(strings.Count(out.String(), "\n")) }, 5*time.Second).Should(Equal(lines + 2 - w.Dropped()))
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
