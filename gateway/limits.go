package gateway

import (
	"go.uber.org/zap"

	"leverdrum/event"
	"leverdrum/limit"
)

// noteLimit takes over what a server says of its limit in an answer of its own.
func (j *job) noteLimit(s *server, a *answer) {
	d := &j.g.opts.Dialect
	if d.Limit == "" || a.Header.Get(d.Stamp) == "" {
		return
	}
	rate, said, err := limit.Read(a.Header.Values(d.Limit))
	if !said {
		rate = limit.Rate(s.limit.Load())
	}
	if err != nil && s.limitFaults.Add(1) == 1 {
		event.LimitMalformed.Log(j.g.opts.Log, zap.String("server", s.id), zap.Float64("limit", rate.PerSecond()), event.Cause(err))
	}
	if before := limit.Rate(s.limit.Swap(uint32(rate))); before != rate {
		event.ServerLimited.Log(j.g.opts.Log, zap.String("server", s.id), zap.Float64("limit", rate.PerSecond()), zap.Float64("before", before.PerSecond()))
	}
}
