package gateway

import (
	"context"
	"slices"
	"time"

	"leverdrum/fleet"
	"leverdrum/reason"
)

const (
	// minRemainingForModel is the least remaining time with which a request still waits for a
	// model.
	minRemainingForModel = 150 * time.Millisecond
	// retryPause is the wait before servers that were all tried are tried again.
	retryPause = 40 * time.Millisecond
	// waitPoll is the interval at which a waiting request looks for a server.
	waitPoll = 250 * time.Millisecond
)

// findServer returns a server for the next attempt. It waits while the model is being loaded, and while
// capacity is short.
func (j *job) findServer(ctx context.Context) (choice, *reason.Reason) {
	defer j.leaveQueue()
	for {
		update := j.g.dir.nextUpdate()
		list, refusal := j.candidates()
		if refusal == nil && j.blockedEverywhere() {
			refusal = j.blockReason()
		}
		if refusal == reason.VersionGone {
			if refusal = j.awaitPinnedVersion(ctx, update); refusal == nil {
				continue
			}
		}
		if refusal != nil {
			return choice{}, refusal
		}
		list = j.filterBlocked(list)
		if len(list) > 0 {
			j.recordOffered()
		}
		if c := j.g.dir.choose(list, j.criteria()); c.server != nil {
			j.reportCrowdedAdapter(list)
			send, refusal := j.admit(ctx, c)
			if refusal != nil {
				return choice{}, refusal
			}
			if !send {
				continue
			}
			if j.acquirePermit(ctx, c.server) {
				return c, nil
			}
			if ctx.Err() != nil {
				return choice{}, reason.ServersLimited
			}
			continue
		}
		if first, all := j.allBlocked(list); all && !j.readyWithin(first.RetryAfter) {
			if refusal := j.waitForServer(ctx, first); refusal != nil {
				return choice{}, refusal
			}
			continue
		}
		if refusal := j.waitForUpdate(ctx, update, j.g.dir.anyUp(list)); refusal != nil {
			return choice{}, refusal
		}
	}
}

func (j *job) criteria() criteria {
	w := criteria{id: j.id, prompt: j.prompt, keys: j.keys, tried: j.tried, rank: j.rank()}
	if p := j.g.dir.table().pools[j.poolName]; p != nil && p.Kind != nil && j.g.opts.Dialect.Fetch != "" {
		w.fetchRate = milliseconds(p.Kind.FetchPerToken)
	}
	if w.load = j.loadSource(); w.load != nil {
		w.targets, w.repeatable = j.targets(), j.route.Repeatable()
	}
	w.prefillRate, w.overhead = j.prefillTime(w.load)
	return w
}

const (
	// maxAims and maxRemainingShare bound the estimated time to the first event, as a multiple of
	// the route's target and as a share of the remaining time. A request beyond these would only
	// take capacity from others.
	maxAims           = 2.0
	maxRemainingShare = 0.5
)

// tooLate reports whether a stream that has not started would likely miss its target even at the
// server with the lowest cost.
func (j *job) tooLate(c choice) bool {
	if j.prompt.Model == "" || j.headSent || j.attempts > 0 || j.route.Kind != fleet.Streaming {
		return false
	}
	limit := maxRemainingShare * milliseconds(j.remaining())
	if j.route.LatencyTarget > 0 {
		limit = min(limit, maxAims*milliseconds(j.route.LatencyTarget))
	}
	return c.queueDelay+c.duration() > limit
}

// candidates lists the servers that could run the request, or continue its stream.
func (j *job) candidates() ([]*server, *reason.Reason) {
	list, refusal := j.servers()
	if refusal != nil || !j.pinned {
		return list, refusal
	}
	return j.atPinnedVersion(list)
}

// servers lists the servers, of any software version, that could run the request.
func (j *job) servers() ([]*server, *reason.Reason) {
	t := j.g.dir.table()
	p := t.pools[j.poolName]
	if p == nil {
		return nil, reason.NoServer
	}
	if j.regions.restricted() && !slices.ContainsFunc(p.servers(), j.regions.allow) {
		return nil, reason.NoRegion
	}
	if j.prompt.Model == "" || p.Kind == nil {
		list := j.eligible(t, p.servers())
		if len(list) == 0 {
			return nil, reason.NoServer
		}
		return list, nil
	}
	if t.fleet.Models[j.prompt.Model] == nil {
		return nil, reason.UnknownModel
	}
	return j.eligible(t, p.readyServers(itemOf(j.prompt))), nil
}

// eligible returns the servers of a list to which the request may be sent: none in an evacuated
// data hall, and none outside of the regions in which it may be served (12).
func (j *job) eligible(t *table, list []*server) []*server {
	if !t.hasEvacuations && !j.regions.restricted() {
		return list
	}
	var out []*server
	for _, s := range list {
		if !s.evacuated.Load() && j.regions.allow(s) {
			out = append(out, s)
		}
	}
	return out
}

// waitForUpdate waits for the next table, or for a short pause where servers exist that were all
// tried.
func (j *job) waitForUpdate(ctx context.Context, update <-chan struct{}, triedAll bool) *reason.Reason {
	if j.prompt.Model == "" && !triedAll {
		return reason.NoServer
	}
	notResident := reason.NotResident
	if j.pinned {
		notResident = reason.VersionNotResident
	}
	if j.remaining() < minRemainingForModel {
		return notResident
	}
	pause, giveUp := j.shouldGiveUp(time.Now())
	switch {
	case triedAll:
		pause = retryPause
		j.tried = nil
	case j.pinned && time.Since(j.arrived) < j.patience()-minRemainingForModel:
		pause = waitPoll
		j.g.notices.send(Notice{AwaitedItem: itemOf(j.prompt), AwaitedVersion: j.pinnedVersion})
	case giveUp:
		return notResident
	default:
		j.g.notices.send(Notice{AwaitedItem: itemOf(j.prompt)})
	}
	timer := time.NewTimer(min(pause, j.remaining()))
	defer timer.Stop()
	select {
	case <-update:
	case <-timer.C:
	case <-ctx.Done():
	case <-j.g.stopping:
		return reason.Stopping
	}
	if ctx.Err() != nil {
		return notResident
	}
	return nil
}
