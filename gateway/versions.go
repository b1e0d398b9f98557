package gateway

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"leverdrum/event"
	"leverdrum/meter"
	"leverdrum/reason"
	"leverdrum/wire"
)

// resumedBy is who resumes a stream.
const (
	resumedByBox    = "box"    // inside its response
	resumedByCaller = "caller" // with another request
)

// recordResumed counts and logs a stream that continues at a server. It is called with the first event of an attempt.
func (j *job) recordResumed(s *server) {
	by, version := resumedByBox, "same"
	switch {
	case j.firstServer != nil:
		if j.firstServer.version != s.version {
			version = "other"
		}
	case j.r.Header.Get(j.g.opts.Dialect.LastEvent) != "":
		by, version = resumedByCaller, "unknown"
	default:
		return
	}
	j.g.opts.Meters.Count(meter.StreamsResumed, by, version).Inc()
	skipped, ok := j.g.resumed.admit(time.Now())
	if !ok {
		return
	}
	fields := []zap.Field{zap.String("request", j.id), zap.String("route", j.route.Name), zap.String("by", by), zap.String("server", s.id), zap.String("version", s.version), zap.Int("skipped", skipped)}
	if j.firstServer != nil {
		fields = append(fields, zap.String("began_at", j.firstServer.id), zap.String("began", j.firstServer.version))
	}
	event.StreamResumed.Log(j.g.opts.Log, fields...)
}

// pinVersion restricts what continues the stream to the software version of the server whose events reach its caller.
func (j *job) pinVersion(s *server) {
	if j.firstServer == nil {
		j.firstServer, j.pinned, j.pinnedVersion = s, true, s.version
	}
}

// atPinnedVersion returns the servers of a list that may continue the stream. The list may be empty only while the model is
// being loaded on a server of the version.
func (j *job) atPinnedVersion(list []*server) ([]*server, *reason.Reason) {
	other := func(s *server) bool { return s.version != j.pinnedVersion }
	if slices.ContainsFunc(list, other) {
		list = slices.DeleteFunc(slices.Clone(list), other)
	}
	if len(list) == 0 && !j.loadingAtPinnedVersion() {
		return nil, reason.VersionGone
	}
	return list, nil
}

// loadingAtPinnedVersion reports whether the item that the request needs is being loaded on a server that may continue the
// stream.
func (j *job) loadingAtPinnedVersion() bool {
	p := j.g.dir.table().pools[j.poolName]
	if p == nil || j.prompt.Model == "" {
		return false
	}
	adapter := ""
	if j.prompt.Adapter != "" {
		adapter = itemOf(j.prompt)
	}
	for location, r := range p.view.Residents.ByItem(j.prompt.Model, adapter) {
		a := p.view.Announcements.Get(location.Server)
		if r.Phase == wire.Phase_PHASE_LOADING && a.GetService() == p.Name && a.GetVersion() == j.pinnedVersion {
			return true
		}
	}
	return false
}
