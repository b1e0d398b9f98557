package gateway

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"leverdrum/event"
	"leverdrum/fleet"
	"leverdrum/meter"
	"leverdrum/origin"
	"leverdrum/reason"
)

// Values of the label and log field "by": who resumes a stream.
const (
	resumedByBox    = "box"    // inside its response
	resumedByCaller = "caller" // with another request
)

// recordResumed counts and logs a stream that continues at a server. It is called with the first event of an attempt.
func (j *job) recordResumed(s *server) {
	if !j.pinned {
		return
	}
	by, version := resumedByBox, "same"
	if j.firstServer == nil {
		by = resumedByCaller
	}
	if j.pinnedVersion != s.version {
		version = "other"
	}
	j.g.opts.Meters.Count(meter.StreamsResumed, by, version).Inc()
	skipped, ok := j.g.resumed.admit(time.Now())
	if !ok {
		return
	}
	fields := []zap.Field{zap.String("request", j.id), zap.String("route", j.route.Name), zap.String("by", by), zap.String("server", s.id), zap.String("version", s.version), zap.String("began", j.pinnedVersion), zap.String("resumes", j.resumes), zap.String("known_by", string(j.originSource)), zap.Int("skipped", skipped)}
	if j.firstServer != nil {
		fields = append(fields, zap.String("began_at", j.firstServer.id))
	}
	event.StreamResumed.Log(j.g.opts.Log, fields...)
}

// pinVersion restricts what continues the stream to the software version of the server whose events reach its caller.
func (j *job) pinVersion(s *server) {
	if j.firstServer != nil {
		return
	}
	j.firstServer = s
	if j.pinned {
		return
	}
	j.pinned, j.pinnedVersion = true, s.version
	if j.g.opts.Origins != nil && j.route.Resumable {
		j.g.opts.Origins.Begin(j.id, origin.Origin{Service: j.poolName, Version: s.version})
	}
}

// resumeWindow is how long ago a stream that a caller resumes can have begun, in timeouts of its route: it broke off within one,
// and the request that resumes it has another.
const resumeWindow = 2

// versionWaitDivisor bounds the time that a stream waits for servers of its version that the box does not know yet, by a fraction
// of what its caller has left.
const versionWaitDivisor = 2

// Origins knows at which software version streams began. *origin.Registry implements it.
type Origins interface {
	// Begin records that the request with an ID began a stream. It must not block.
	Begin(id string, o origin.Origin)
	// Lookup returns where the stream of a request began, within maxAge. The ID is empty if the request is not known. service is
	// where it began unless a record says otherwise. ok is false if its version is unknown.
	Lookup(ctx context.Context, id, service string, maxAge time.Duration) (o origin.Origin, ok bool)
	// Departed reports whether a service has no server of a version any more, by a state that a leader has confirmed since the
	// call began.
	Departed(ctx context.Context, service, version string) bool
}

// pinResumedStream restricts a request that resumes a stream to the software version that began it. It returns a refusal if
// the version is unknown.
func (j *job) pinResumedStream(ctx context.Context) *reason.Reason {
	d := &j.g.opts.Dialect
	if !j.route.Resumable || j.r.Header.Get(d.LastEvent) == "" {
		return nil
	}
	j.resumes = j.r.Header.Get(d.Resumes)
	o, ok := j.originOf(ctx, j.resumes)
	if !ok {
		o.Source = origin.SourceUnknown
	}
	j.g.opts.Meters.Count(meter.StreamOrigins, string(o.Source)).Inc()
	if !ok {
		return reason.VersionUnknown
	}
	j.pinned, j.pinnedVersion, j.originSource = true, o.Version, o.Source
	if slices.ContainsFunc(j.route.Split, func(s fleet.Share) bool { return s.Pool == o.Service }) {
		j.poolName = o.Service
	}
	return nil
}

// originOf returns where the stream of a request began. Without boxes that remember it, it is known only where the service has a
// single version.
func (j *job) originOf(ctx context.Context, id string) (o origin.Origin, ok bool) {
	if origins := j.g.opts.Origins; origins != nil {
		return origins.Lookup(ctx, id, j.poolName, resumeWindow*j.route.Timeout)
	}
	o = origin.Origin{Service: j.poolName, Source: origin.SourceSingle}
	o.Version, ok = j.onlyVersion()
	return o, ok
}

// onlyVersion returns the software version of the servers of the pool if they have a single one.
func (j *job) onlyVersion() (version string, ok bool) {
	p := j.g.dir.table().pools[j.poolName]
	if p == nil {
		return "", false
	}
	for i, s := range p.servers() {
		if i > 0 && s.version != version {
			return "", false
		}
		version, ok = s.version, true
	}
	return version, ok
}

// atPinnedVersion returns the servers of a list that may continue the stream. The list may be empty while a server of the version
// may get the model.
func (j *job) atPinnedVersion(list []*server) ([]*server, *reason.Reason) {
	other := func(s *server) bool { return s.version != j.pinnedVersion }
	if slices.ContainsFunc(list, other) {
		list = slices.DeleteFunc(slices.Clone(list), other)
	}
	if len(list) == 0 && !j.mayGetModel() {
		return nil, reason.VersionGone
	}
	return list, nil
}

// awaitPinnedVersion is called where this box knows no server that may continue the stream. It returns nil if it is to look again:
// a box that was cut off or stood still does not know the servers that joined meanwhile.
func (j *job) awaitPinnedVersion(ctx context.Context, update <-chan struct{}) *reason.Reason {
	if j.g.opts.Origins == nil || j.originSource == "" || j.knowsPinnedVersion() {
		return reason.VersionGone
	}
	if j.versionAwaitedUntil.IsZero() {
		j.versionAwaitedUntil = time.Now().Add(j.remaining() / versionWaitDivisor)
		if j.g.opts.Origins.Departed(ctx, j.poolName, j.pinnedVersion) {
			return reason.VersionGone
		}
	}
	timer := time.NewTimer(time.Until(j.versionAwaitedUntil))
	defer timer.Stop()
	select {
	case <-update:
		return nil
	case <-timer.C:
		return reason.VersionGone
	case <-ctx.Done():
		return reason.VersionGone
	case <-j.g.stopping:
		return reason.Stopping
	}
}

// knowsPinnedVersion reports whether this box knows a server of the version that began the stream.
func (j *job) knowsPinnedVersion() bool {
	p := j.g.dir.table().pools[j.poolName]
	return p != nil && slices.ContainsFunc(p.servers(), func(s *server) bool { return s.version == j.pinnedVersion })
}

// mayGetModel reports whether a server that may continue the stream is loading the item that the request needs, or may get it: one
// that stays.
func (j *job) mayGetModel() bool {
	p := j.g.dir.table().pools[j.poolName]
	if p == nil || p.Kind == nil || j.prompt.Model == "" {
		return false
	}
	for _, a := range p.view.Announcements.ByService(p.Name) {
		if a.GetVersion() == j.pinnedVersion && !a.GetLeaving() {
			return true
		}
	}
	return false
}
