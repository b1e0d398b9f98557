package loadshare

import (
	"math"
	"time"

	"leverdrum/wire"
)

const (
	// keptTimes is how long prefill times are used after the stream to the hub that sent them ended, or without a frame.
	keptTimes = time.Minute
	// maxKnownModels bounds the models of which a box knows the times.
	maxKnownModels = 4096
	// maxNsPerToken and maxOverheadUs are the highest valid times of a model.
	maxNsPerToken = 1_000_000
	maxOverheadUs = 200_000
)

// SamplePrefill records a clean attempt: took is the time to its first event at a server that had to prefill tokens for it,
// and no other request waited for its first event there meanwhile.
func (s *Sharer) SamplePrefill(server, model string, tokens int, took time.Duration) {
	if s == nil || !s.Sharing() {
		return
	}
	hash, known := s.servers.Load().resolve(server)
	if !known {
		s.options.Ignored(IgnoredServer)
		return
	}
	if tokens <= 0 || tokens > maxUseTokens || took < time.Microsecond || took > maxGap {
		s.options.Ignored(IgnoredRange)
		return
	}
	sample := &wire.PrefillSample{Server: hash, Model: hashOf(model), Tokens: uint32(tokens), TookUs: uint32(took.Microseconds())}
	enqueue(s, &s.prefills, sample)
}

// PrefillTime returns the prefill time of one token of a model, and the part of the time to the first event that does not
// depend on the prompt, both at an average server; false if they are not known.
func (s *Sharer) PrefillTime(model string) (perToken, overhead time.Duration, ok bool) {
	if s == nil || !s.Sharing() {
		return 0, 0, false
	}
	now := s.options.Now()
	s.viewMu.RLock()
	defer s.viewMu.RUnlock()
	t, ok := s.view.time(hashOf(model), now)
	return t.perToken, t.fixed, ok
}

// heldTime is a time, and when it expires; 0: while its stream lasts.
type heldTime struct {
	modelTime
	receivedAt, expiresAt time.Duration
}

// setTime replaces the time of a model. If there are too many models, the one whose time was received first is dropped.
func (v *view) setTime(model uint32, t modelTime, now time.Duration) {
	if _, known := v.times[model]; !known && len(v.times) >= maxKnownModels {
		oldest, at := uint32(0), time.Duration(math.MaxInt64)
		for m, held := range v.times {
			if held.receivedAt < at {
				oldest, at = m, held.receivedAt
			}
		}
		delete(v.times, oldest)
	}
	v.times[model] = heldTime{modelTime: t, receivedAt: now}
}

// time returns the time of a model; false if it is not known.
func (v *view) time(model uint32, now time.Duration) (modelTime, bool) {
	held, known := v.times[model]
	if !known || held.expiresAt != 0 && now > held.expiresAt || now-v.heardAt > keptTimes {
		return modelTime{}, false
	}
	return held.modelTime, true
}

// keepTimes makes the times of the stream that ended expire.
func (v *view) keepTimes(now time.Duration) {
	for model, held := range v.times {
		switch {
		case held.expiresAt == 0:
			held.expiresAt = now + keptTimes
			v.times[model] = held
		case now > held.expiresAt:
			delete(v.times, model)
		}
	}
}

// receiveTimes applies the prefill times of a frame.
func (s *Sharer) receiveTimes(v *view, u *wire.LoadUpdate, now time.Duration) {
	for _, m := range limited(s, u.Models, maxModelsInFrame) {
		if m.NsPerToken == 0 || m.NsPerToken > maxNsPerToken || m.OverheadUs > maxOverheadUs {
			s.options.Ignored(IgnoredRange)
			continue
		}
		v.setTime(m.Model, modelTime{time.Duration(m.NsPerToken), time.Duration(m.OverheadUs) * time.Microsecond}, now)
	}
}

// receivePrefills applies the samples of a frame to a hub.
func (h *hub) receivePrefills(l *link, u *wire.LoadUpdate, servers *catalog, now time.Duration) {
	for _, x := range limited(h.sharer, u.Prefills, maxSamplesInFrame) {
		switch {
		case !servers.has(x.Server):
			h.sharer.options.Ignored(IgnoredServer)
		case !h.prefill.add(now, x, h.speeds.estimator.Slowness(x.Server)):
			h.sharer.options.Ignored(IgnoredRange)
		case !l.hub && !h.prefills.add(now, x):
			h.sharer.options.Ignored(IgnoredSamples)
		}
	}
}
