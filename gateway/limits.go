package gateway

import (
	"go.uber.org/zap"

	"leverdrum/dialect"
	"leverdrum/event"
)

// noteLimit takes over what a server says of its limit in an answer of its own.
func (j *job) noteLimit(s *server, a *answer) {
	d := &j.g.opts.Dialect
	if d.Limit == "" || a.Header.Get(d.Stamp) == "" {
		return
	}
	limit, said, err := dialect.ReadLimit(a.Header.Values(d.Limit))
	if !said {
		limit = dialect.Limit(s.limit.Load())
	}
	if err != nil && s.limitFaults.Add(1) == 1 {
		event.LimitMalformed.Log(j.g.opts.Log, zap.String("server", s.id), zap.Float64("limit", limit.PerSecond()), event.Cause(err))
	}
	if before := dialect.Limit(s.limit.Swap(uint32(limit))); before != limit {
		event.ServerLimited.Log(j.g.opts.Log, zap.String("server", s.id), zap.Float64("limit", limit.PerSecond()), zap.Float64("before", before.PerSecond()))
	}
}
