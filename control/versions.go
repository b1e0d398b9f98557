package control

import (
	"context"
	"time"

	"go.uber.org/zap"

	"leverdrum/event"
	"leverdrum/origin"
	"leverdrum/state"
	"leverdrum/wire"
)

// versionCheckInterval is the time between two checks for versions to retire.
const versionCheckInterval = 5 * time.Second

// trackedVersions records when this leader first saw each departed software version, and the history's start.
type trackedVersions struct {
	checkedAt time.Time
	departed  map[departure]time.Time
	history   uint64 // index at which the history starts
	since     time.Time
}

type departure struct {
	state.ServiceVersion
	index uint64
}

// retireVersions commits which departed versions callers can no longer resume streams of. The time counts from when this leader
// first saw them: how long no box ran is unknown.
func (c *Controller) retireVersions(ctx context.Context, view *state.State, now time.Time) {
	if now.Sub(c.versions.checkedAt) < versionCheckInterval || view.Versions.Since == 0 {
		return
	}
	c.versions.checkedAt = now
	retire := c.versions.expired(view, now)
	if len(retire.Versions) == 0 && retire.Since == 0 {
		return
	}
	if _, err := c.propose(ctx, &wire.Command{Kind: &wire.Command_Retire{Retire: retire}}); err != nil {
		return // retried at the next check
	}
	event.VersionsRetired.Log(c.opts.Log, zap.Int("versions", len(retire.Versions)), zap.Bool("complete", view.Versions.Complete || retire.Since != 0))
}

// expired returns the departed versions that this leader has seen for as long as streams can be resumed, and the start of the
// history if it is complete since then.
func (t *trackedVersions) expired(view *state.State, now time.Time) *wire.RetireVersions {
	retire, seen := &wire.RetireVersions{}, map[departure]time.Time{}
	for v, index := range view.Versions.Departed {
		d := departure{v, index}
		since, ok := t.departed[d]
		if !ok {
			since = now
		}
		seen[d] = since
		if now.Sub(since) >= origin.HistoryTTL {
			retire.Versions = append(retire.Versions, &wire.DepartedVersion{Service: v.Service, Version: v.Version, Index: index})
		}
	}
	t.departed = seen
	if t.history != view.Versions.Since {
		t.history, t.since = view.Versions.Since, now
	}
	if !view.Versions.Complete && now.Sub(t.since) >= origin.HistoryTTL {
		retire.Since = t.history
	}
	return retire
}
