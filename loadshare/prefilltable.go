package loadshare

import (
	"math"
	"time"

	"leverdrum/speed"
	"leverdrum/wire"
)

const (
	// prefillChange is the relative change of a published time that is published again. minFixedChange applies to the fixed
	// part: it is common to all models, so that each change of it publishes all of them.
	prefillChange  = 0.05
	minFixedChange = time.Millisecond
	// maxModelsInFrame bounds the models in one frame, at most 17 B each.
	maxModelsInFrame = 8
	// prefillExpiryInterval is the time between two removals of models without samples.
	prefillExpiryInterval = 10 * time.Second
)

// modelTime is the time to the first event of a model at an average server.
type modelTime struct{ perToken, fixed time.Duration }

// prefillTable is a hub's estimates of prefill times, and what of them was published.
type prefillTable struct {
	estimator *speed.Prefill
	told      map[uint32]modelTime // by hash of the model
	published *feed
	sampled   map[uint32]struct{} // models with samples since the last step
	fixed     time.Duration       // at the last comparison of all models
	expiredAt time.Duration
}

func newPrefillTable() *prefillTable {
	return &prefillTable{estimator: speed.NewPrefill(), told: map[uint32]modelTime{}, published: newFeed(), sampled: map[uint32]struct{}{}}
}

// add returns false if the sample is implausible.
func (t *prefillTable) add(now time.Duration, x *wire.PrefillSample, slowness float64) bool {
	if !t.estimator.Add(now, x.Model, int(x.Tokens), time.Duration(x.TookUs)*time.Microsecond, slowness) {
		return false
	}
	t.sampled[x.Model] = struct{}{}
	return true
}

// publish publishes the times that have changed enough. A model that was forgotten stays known to the boxes that were told.
func (t *prefillTable) publish(now time.Duration) {
	if len(t.sampled) > 0 && fixedChanged(t.fixed, t.estimator.Fixed()) {
		t.fixed = t.estimator.Fixed()
		t.estimator.Models(t.compare)
	}
	for model := range t.sampled {
		t.compare(model)
	}
	clear(t.sampled)
	if now-t.expiredAt < prefillExpiryInterval {
		return
	}
	t.expiredAt = now
	t.estimator.Expire(now)
	for model := range t.told {
		if !t.estimator.Has(model) {
			delete(t.told, model)
			t.published.remove(model)
		}
	}
}

func fixedChanged(old, next time.Duration) bool {
	return (next - old).Abs() >= max(minFixedChange, time.Duration(prefillChange*float64(old)))
}

func (t *prefillTable) compare(model uint32) {
	perToken, known := t.estimator.PerToken(model)
	if !known {
		return
	}
	next := modelTime{perToken, t.estimator.Fixed()}
	old, told := t.told[model]
	if told && math.Abs(float64(next.perToken)/float64(old.perToken)-1) < prefillChange && !fixedChanged(old.fixed, next.fixed) {
		return
	}
	t.told[model] = next
	t.published.publish(model)
}

// after returns the times published after a number.
func (t *prefillTable) after(number uint64) ([]*wire.ModelSpeed, uint64) {
	keys, number := t.published.after(number, nil, maxModelsInFrame)
	var out []*wire.ModelSpeed
	for _, model := range keys {
		v := t.told[model]
		out = append(out, &wire.ModelSpeed{Model: model, NsPerToken: uint32(v.perToken), OverheadUs: uint32(v.fixed.Microseconds())})
	}
	return out, number
}
