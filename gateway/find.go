package gateway

import (
	"context"
	"slices"
	"time"

	"leverdrum/fleet"
	"leverdrum/reason"
)

const (
	// minLeftForModel is the time that a request for a model needs at least: with
	// less left it is not waited for any longer.
	minLeftForModel = 150 * time.Millisecond
	// againPause is the wait before a server is asked again that was full.
	againPause = 40 * time.Millisecond
	// waitLook is the time between two looks for a server while none came.
	waitLook = 250 * time.Millisecond
)

// find returns a server, and waits for one while a model is on its way.
func (j *job) find(ctx context.Context) (choice, *reason.Reason) {
	for {
		news := j.g.dir.news()
		list, why := j.candidates()
		if why == nil && j.heldEverywhere() {
			why = reason.CrashesServers
		}
		if why != nil {
			return choice{}, why
		}
		list = j.spared(list)
		if c := j.g.dir.choose(list, j.wish()); c.server != nil {
			if j.tooLate(c) {
				j.behind = c.waits
				return choice{}, reason.Overloaded
			}
			if j.permitted(ctx, c.server) {
				return c, nil
			}
			if ctx.Err() != nil {
				return choice{}, reason.ServersLimited
			}
			continue
		}
		if first, all := j.allBlocked(list); all && !j.comesWithin(first.RetryAfter) {
			if why := j.waitForServer(ctx, first); why != nil {
				return choice{}, why
			}
			continue
		}
		if why := j.wait(ctx, news, j.g.dir.anyUp(list)); why != nil {
			return choice{}, why
		}
	}
}

// wish is what the choice of a server depends on.
func (j *job) wish() wish {
	w := wish{prompt: j.prompt, keys: j.keys, tried: j.tried, rank: j.rank(), read: j.g.reading.perToken(j.prompt.Model)}
	if p := j.g.dir.table().pools[j.poolName]; p != nil && p.Kind != nil && j.g.opts.Dialect.Fetch != "" {
		w.fetch = milliseconds(p.Kind.FetchPerToken)
	}
	return w
}

const (
	// lateAims and lateLeft bound the reckoned time to the first event, in aims and as
	// a share of the time left: what would take longer only takes time from others.
	lateAims = 2.0
	lateLeft = 0.5
)

// tooLate reports whether a stream that has not begun would hardly be answered in
// time even at the server that is reckoned best.
func (j *job) tooLate(c choice) bool {
	if j.prompt.Model == "" || j.headed || j.sends > 0 || j.route.Kind != fleet.Streaming {
		return false
	}
	limit := min(lateAims*milliseconds(j.route.Aim), lateLeft*milliseconds(j.left()))
	return c.waits+c.work > limit
}

// candidates lists the servers that could run the request.
func (j *job) candidates() ([]*server, *reason.Reason) {
	t := j.g.dir.table()
	p := t.pools[j.poolName]
	if p == nil {
		return nil, reason.NoServer
	}
	if j.regions.bounded() && !slices.ContainsFunc(p.servers(), j.regions.allow) {
		return nil, reason.NoRegion
	}
	if j.prompt.Model == "" || p.Kind == nil {
		list := j.admissible(t, p.servers())
		if len(list) == 0 {
			return nil, reason.NoServer
		}
		return list, nil
	}
	if t.fleet.Models[j.prompt.Model] == nil {
		return nil, reason.UnknownModel
	}
	return j.admissible(t, p.holding(wantedOf(j.prompt))), nil
}

// admissible returns the servers of a list that the request may be sent to: none in an evacuated data hall, nor outside of
// the regions in which it may be served (12).
func (j *job) admissible(t *table, list []*server) []*server {
	if !t.evacuates && !j.regions.bounded() {
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

// wait waits for news, or a moment where servers are there that were all tried.
func (j *job) wait(ctx context.Context, news <-chan struct{}, triedAll bool) *reason.Reason {
	if j.prompt.Model == "" && !triedAll {
		return reason.NoServer
	}
	if j.left() < minLeftForModel {
		return reason.NotResident
	}
	pause, hopeless := j.hopeless(time.Now())
	switch {
	case triedAll:
		pause = againPause
		j.tried = nil
	case hopeless:
		return reason.NotResident
	default:
		j.g.notices.note(Notice{AwaitedItem: wantedOf(j.prompt)})
	}
	timer := time.NewTimer(min(pause, j.left()))
	defer timer.Stop()
	select {
	case <-news:
	case <-timer.C:
	case <-ctx.Done():
	case <-j.g.stopping:
		return reason.Stopping
	}
	if ctx.Err() != nil {
		return reason.NotResident
	}
	return nil
}
