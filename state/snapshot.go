package state

import (
	"maps"
	"slices"

	"leverdrum/crasher"
	"leverdrum/fleet"
	"leverdrum/level"
	"leverdrum/wire"
)

// Encode returns the state as a snapshot.
func (s *State) Encode() *wire.State {
	w := s.EncodeFile()
	w.History, w.Moves, w.Most, w.Epochs, w.Roster = s.History, s.Moves, s.MaxCopies, s.Epochs, s.Roster
	w.Suspects, w.Level = s.Crashers.Encode(), uint32(s.Level)
	for _, a := range s.Announcements.All() {
		w.Announced = append(w.Announced, a)
	}
	for _, k := range slices.Sorted(maps.Keys(s.Members)) {
		w.Members = append(w.Members, s.Members[k])
	}
	for _, v := range s.Servers.All() {
		w.Servers = append(w.Servers, v)
	}
	for _, r := range s.Residents.All() {
		w.Residents = append(w.Residents, r)
	}
	for _, o := range s.Orders.All() {
		w.Orders = append(w.Orders, o)
	}
	for _, k := range slices.Sorted(maps.Keys(s.Limits)) {
		w.Limits = append(w.Limits, s.Limits[k])
	}
	for _, k := range slices.Sorted(maps.Keys(s.Evacuations)) {
		w.Evacuations = append(w.Evacuations, s.Evacuations[k])
	}
	s.Versions.encode(w)
	return w
}

// Decode returns the state of a snapshot. It takes ownership of the snapshot, which the caller must not use afterwards.
func Decode(w *wire.State) (*State, error) {
	s := New()
	if s.Level = level.Level(w.GetLevel()); s.Level > level.Newest {
		return nil, Error.New("the snapshot at index %d is of %v; start a build that supports it", w.GetIndex(), s.Level)
	}
	s.Index, s.Version, s.History = w.GetIndex(), w.GetFleet(), w.GetHistory()
	s.Moves, s.Epochs, s.Roster = w.GetMoves(), w.GetEpochs(), w.GetRoster()
	s.Crashers = crasher.Decode(w.GetSuspects())
	s.Versions = decodeVersions(w)
	for _, a := range w.GetAnnounced() {
		s.Announcements.Set(a.Id, s.internAnnouncement(a))
	}
	if s.Version != nil {
		text, err := FileText(w)
		if err != nil {
			return nil, err
		}
		s.setText(text, w.GetFleetFormat())
		f, err := fleet.DecodeAt(s.Level, s.Format, []byte(s.Text))
		if err != nil {
			return nil, Error.New("the fleet file of the snapshot at index %d cannot be decoded: %v", s.Index, err)
		}
		s.setFleet(f)
	}
	maps.Copy(s.MaxCopies, w.GetMost())
	for _, m := range w.GetMembers() {
		s.Members[m.Box] = m
	}
	s.assignMissingIndexes()
	for _, v := range w.GetServers() {
		s.Servers.Set(v.Name, s.internServer(v))
	}
	for _, r := range w.GetResidents() {
		if a := s.Announcements.Get(r.Server); a != nil {
			r.Server = a.Id
		}
		r.Item = s.internItem(r.Item)
		s.Residents.Put(r)
	}
	for _, l := range w.GetLimits() {
		s.Limits[l.Server] = l
	}
	for _, e := range w.GetEvacuations() {
		s.Evacuations[e.Hall] = e
	}
	for _, o := range w.GetOrders() {
		s.Orders.Set(o.Id, o)
	}
	return s, nil
}
