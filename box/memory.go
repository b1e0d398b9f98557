package box

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"go.uber.org/zap"

	"leverdrum/event"
	"leverdrum/internal/membudget"
	"leverdrum/meter"
)

// newResponseMemory returns the memory for what backend servers send.
func (b *Box) newResponseMemory() *membudget.Budget {
	return membudget.New(b.settings.ResponseMemory, &memoryObserver{b, b.meters.Gauge(meter.ResponseMemory)})
}

// memoryObserver implements membudget.Observer.
type memoryObserver struct {
	box  *Box
	used prometheus.Gauge
}

// Used sets the gauge.
func (o *memoryObserver) Used(bytes int64) { o.used.Set(float64(bytes)) }

// Refused counts a refusal, and logs it at most once per logInterval and kind.
func (o *memoryObserver) Refused(kind string) {
	o.box.meters.Count(meter.ResponseMemoryFull, kind).Inc()
	if o.box.memoryLog.allow(kind, time.Now()) {
		event.ResponseMemoryFull.Log(o.box.log, zap.String("kind", kind), zap.Int64("limit", o.box.settings.ResponseMemory))
	}
}
