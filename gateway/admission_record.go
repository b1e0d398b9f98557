package gateway

import (
	"time"

	"go.uber.org/zap"

	"leverdrum/fleet"
	"leverdrum/loadshare"
)

// targetOf returns the smallest target of the streaming routes to the request's pool with a rank. For a
// rank that no route has, which comes from a workspace's urgency, it returns the smallest of all.
func (j *job) targetOf(rank int) time.Duration {
	f := j.g.dir.table().fleet
	if f == nil {
		return 0
	}
	var ofRank, ofAny time.Duration
	for _, r := range f.Routes {
		if r.Kind != fleet.Streaming || r.LatencyTarget <= 0 || !sendsTo(r, j.poolName) {
			continue
		}
		ofAny = smaller(ofAny, r.LatencyTarget)
		if r.Rank == rank {
			ofRank = smaller(ofRank, r.LatencyTarget)
		}
	}
	if ofRank == 0 {
		return ofAny
	}
	return ofRank
}

func sendsTo(r *fleet.Route, pool string) bool {
	for _, s := range r.Split {
		if s.Pool == pool && s.Weight > 0 {
			return true
		}
	}
	return false
}

// smaller returns the smaller of two durations, of which 0 means none.
func smaller(a, b time.Duration) time.Duration {
	if a == 0 {
		return b
	}
	return min(a, b)
}

func (j *job) workspaceName() string {
	if j.owner == nil {
		return ""
	}
	return j.owner.Name
}

// recordOffered records the demand of a request for a model, once, where the pool's load is shared. It is
// called when a server has the model: what waits for a model to be loaded, or names an unknown one, does not
// show that capacity is short.
func (j *job) recordOffered() {
	if j.admission.offered > 0 || j.prompt.Model == "" || !j.g.opts.Load.Active(j.poolName) {
		return
	}
	j.admission.offered = max(1, j.admission.prefill)
	j.recordPoolDemand(loadshare.Demand{Offered: j.admission.offered})
}

// recordAdmitted records the first attempt of a request.
func (j *job) recordAdmitted() {
	if j.admission.offered > 0 && !j.admission.admitted {
		j.admission.admitted = true
		j.recordPoolDemand(loadshare.Demand{Admitted: j.admission.offered})
	}
}

// recordWaiting records how much prefill of the request waits in the box for capacity from now on.
func (j *job) recordWaiting(prefill time.Duration) {
	if change := prefill - j.admission.waiting; change != 0 {
		j.admission.waiting = prefill
		j.recordPoolDemand(loadshare.Demand{Waiting: change})
	}
}

// recordOutcome records that a request was refused for lack of capacity, or answered after its target.
func (j *job) recordOutcome() {
	switch {
	case j.admission.offered == 0:
	case j.admission.refused && j.r.Context().Err() == nil:
		j.recordPoolDemand(loadshare.Demand{Refused: 1})
	case j.firstEventAfter > j.route.LatencyTarget && j.route.LatencyTarget > 0:
		j.recordPoolDemand(loadshare.Demand{Late: 1})
	}
}

func (j *job) recordPoolDemand(d loadshare.Demand) {
	j.g.opts.Load.RecordDemand(j.poolName, j.rank(), j.workspaceName(), d)
}

// admissionFields returns the figures of the decision by which the request was refused.
func (j *job) admissionFields() []zap.Field {
	in, d := j.admission.input, j.admission.decision
	if !j.admission.refused || in.Pace == 0 {
		return nil
	}
	return []zap.Field{
		zap.Duration("queue", in.Queue), zap.Duration("queue-limit", d.Limit), zap.Duration("prefill", in.Work),
		zap.Bool("over-share", in.OverShare), zap.Bool("behind-others", in.Behind), zap.Int("urgent-ranks", in.UrgentRanks),
		zap.Float64("pace", in.Pace), zap.Int("waiting", j.g.admission.queue.Len()), zap.Duration("retry-after", d.RetryAfter),
	}
}
