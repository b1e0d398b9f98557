package gateway

import (
	"time"

	"go.uber.org/zap"

	"leverdrum/event"
	"leverdrum/meter"
)

// resumedBy is who resumes a stream.
const (
	resumedByBox    = "box"    // inside its response
	resumedByCaller = "caller" // with another request
)

// recordResumed counts and logs a stream that continues at a server. It is called with the first event of an attempt.
func (j *job) recordResumed(s *server) {
	by, version := resumedByBox, "same"
	switch {
	case j.firstServer != nil:
		if j.firstServer.version != s.version {
			version = "other"
		}
	case j.r.Header.Get(j.g.opts.Dialect.LastEvent) != "":
		by, version = resumedByCaller, "unknown"
	default:
		j.firstServer = s
		return
	}
	j.g.opts.Meters.Count(meter.StreamsResumed, by, version).Inc()
	skipped, ok := j.g.resumed.admit(time.Now())
	if !ok {
		return
	}
	fields := []zap.Field{zap.String("request", j.id), zap.String("route", j.route.Name), zap.String("by", by), zap.String("server", s.id), zap.String("version", s.version), zap.Int("skipped", skipped)}
	if j.firstServer != nil {
		fields = append(fields, zap.String("began_at", j.firstServer.id), zap.String("began", j.firstServer.version))
	}
	event.StreamResumed.Log(j.g.opts.Log, fields...)
}
