package state

import (
	"cmp"
	"iter"
	"maps"
	"slices"
	"strings"

	"leverdrum/level"
	"leverdrum/wire"
)

// Rules for the history of software versions (package origin uses it):
//
//  1. A version is in service while an announced server has it. Streams begin only at announced servers.
//  2. A version departs with the entry that removes its last server. It is recorded until the leader has seen it departed for
//     origin.HistoryTTL of its own running time, so that the loss of all boxes makes the record last longer, never shorter.
//  3. The history is complete if it includes all versions at which streams began that callers may still resume: from the start
//     if no fleet file was ever accepted and all voters have a disk, otherwise once the leader has seen it for that time.
//  4. At most maxDepartedVersions are recorded. If there are more, the history begins anew and is not complete.

// maxDepartedVersions bounds the recorded departed versions, since callers of the heartbeat may invent them.
const maxDepartedVersions = 1024

// ServiceVersion is a software version of the servers of a service.
type ServiceVersion struct{ Service, Version string }

func compareVersions(a, b ServiceVersion) int {
	return cmp.Or(strings.Compare(a.Service, b.Service), strings.Compare(a.Version, b.Version))
}

// VersionHistory is which software versions have departed.
type VersionHistory struct {
	// Departed are the indexes of the entries that removed the last server of a version.
	Departed map[ServiceVersion]uint64
	// Since is the index of the entry from which departed versions are recorded, 0 if they are not.
	Since uint64
	// Complete is set if all versions are included at which streams began that callers may still resume (3). It is never set
	// below level.VersionHistory.
	Complete bool
}

func (h VersionHistory) clone() VersionHistory {
	h.Departed = maps.Clone(h.Departed)
	return h
}

func (h *VersionHistory) encode(w *wire.State) {
	w.VersionsSince, w.VersionsComplete = h.Since, h.Complete
	for _, v := range slices.SortedFunc(maps.Keys(h.Departed), compareVersions) {
		w.DepartedVersions = append(w.DepartedVersions, &wire.DepartedVersion{Service: v.Service, Version: v.Version, Index: h.Departed[v]})
	}
}

func decodeVersions(w *wire.State) VersionHistory {
	h := VersionHistory{Departed: map[ServiceVersion]uint64{}, Since: w.GetVersionsSince(), Complete: w.GetVersionsComplete()}
	for _, v := range w.GetDepartedVersions() {
		h.Departed[ServiceVersion{v.Service, v.Version}] = v.Index
	}
	return h
}

// beginVersionHistory begins the history once its level is active. durable is set if all voters have a disk (3).
func (s *State) beginVersionHistory(durable bool) {
	if s.Level < level.VersionHistory || s.Versions.Since != 0 {
		return
	}
	s.Versions = VersionHistory{Departed: map[ServiceVersion]uint64{}, Since: s.Index, Complete: durable && s.Version == nil}
}

// recordDepartures records the versions whose last server was removed by the current entry (2).
func (s *State) recordDepartures() {
	for _, v := range s.Announcements.takeRemoved() {
		if s.Versions.Since == 0 || s.Announcements.byVersion.Get(v) > 0 {
			continue
		}
		if len(s.Versions.Departed) >= maxDepartedVersions { // (4)
			s.Versions = VersionHistory{Departed: map[ServiceVersion]uint64{}, Since: s.Index}
		}
		s.Versions.Departed[v] = s.Index
	}
}

// retireVersions ends the record of versions that have not changed since the leader saw them (2, 3).
func (s *State) retireVersions(r *wire.RetireVersions) {
	if s.Versions.Since == 0 {
		return
	}
	for _, v := range r.Versions {
		if key := (ServiceVersion{v.Service, v.Version}); s.Versions.Departed[key] == v.Index {
			delete(s.Versions.Departed, key)
		}
	}
	if r.Since == s.Versions.Since {
		s.Versions.Complete = true
	}
}

// Versions iterates over the software versions of the announced servers of each service.
func (a *Announcements) Versions() iter.Seq[ServiceVersion] {
	return func(yield func(ServiceVersion) bool) {
		for v := range a.byVersion.All() {
			if !yield(v) {
				return
			}
		}
	}
}

// updateVersionCounts replaces the version of a server's old announcement by that of the next.
func (a *Announcements) updateVersionCounts(old, next *wire.Announcement) {
	if old != nil && next != nil && versionOf(old) == versionOf(next) {
		return
	}
	if next != nil {
		v := versionOf(next)
		a.byVersion.Set(v, a.byVersion.Get(v)+1)
	}
	if old == nil {
		return
	}
	v := versionOf(old)
	if n := a.byVersion.Get(v); n > 1 {
		a.byVersion.Set(v, n-1)
		return
	}
	a.byVersion.Delete(v)
	a.removed = append(a.removed, v)
}

func versionOf(a *wire.Announcement) ServiceVersion { return ServiceVersion{a.Service, a.Version} }

// takeRemoved returns the versions that lost their last server, in the order in which they did, and forgets them.
func (a *Announcements) takeRemoved() []ServiceVersion {
	removed := a.removed
	a.removed = nil
	return removed
}
