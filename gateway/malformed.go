package gateway

import (
	"errors"
	"time"

	"go.uber.org/zap"

	"leverdrum/event"
	"leverdrum/internal/responsehead"
	"leverdrum/meter"
)

// recordMalformed counts and logs an attempt whose response was malformed.
func (g *Gateway) recordMalformed(s *server, request string, f *failure) {
	var malformed *responsehead.Error
	if !errors.As(f.cause, &malformed) {
		return
	}
	g.opts.Meters.Count(meter.MalformedResponses, string(malformed.Kind)).Inc()
	if skipped, ok := g.malformed.admit(time.Now()); ok {
		event.ResponseMalformed.Log(g.opts.Log, zap.String("request", request), zap.String("server", s.id), zap.String("kind", string(malformed.Kind)), zap.Int("skipped", skipped))
	}
}
