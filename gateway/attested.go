package gateway

import (
	"net/http"
	"time"

	"go.uber.org/zap"

	"leverdrum/event"
	"leverdrum/internal/attest"
	"leverdrum/meter"
)

// recordRuling counts a response by what it proves, and logs one that proves nothing.
func (g *Gateway) recordRuling(s *server, request string, resp *http.Response, ruling attest.Ruling) {
	g.opts.Meters.Count(meter.Responses, ruling.Owner.String(), ruling.Proof.String()).Inc()
	if ruling.Proof != attest.Nothing {
		return
	}
	if skipped, ok := g.unproven.admit(time.Now()); ok {
		event.ResponseUnproven.Log(g.opts.Log, zap.String("request", request), zap.String("server", s.id), zap.Int("status", resp.StatusCode),
			zap.Stringer("owner", ruling.Owner), zap.String("answers", resp.Header.Get(g.headers.RequestID)), zap.Bool("promised", resp.Header.Get(g.headers.NotRun) != ""),
			zap.Int("skipped", skipped))
	}
}
