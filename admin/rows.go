package admin

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"leverdrum/crasher"
	"leverdrum/dialect"
	"leverdrum/fleet"
	"leverdrum/level"
	"leverdrum/state"
	"leverdrum/wire"
)

// unresponsiveAfter is the age of a box's last report from which its state is shown as "silent".
const unresponsiveAfter = 5 * time.Second

func phaseName(p wire.Phase) string {
	switch p {
	case wire.Phase_PHASE_READY:
		return "ready"
	case wire.Phase_PHASE_LOADING:
		return "loading"
	case wire.Phase_PHASE_UNLOADING:
		return "unloading"
	}
	return "unknown"
}

func boxRows(st *state.State, result *wire.ReadResult) []BoxRow {
	holdings := map[string]*wire.Holding{}
	for _, h := range result.Holdings {
		holdings[h.Member] = h
	}
	var rows []BoxRow
	for _, name := range slices.Sorted(maps.Keys(st.Members)) {
		m := st.Members[name]
		id := state.MemberID(m)
		row := BoxRow{
			Box: name, Member: id, Hall: m.Hall, Disk: m.Disk, Leaving: m.Leaving, Build: m.Build, Level: level.Level(m.Level),
			Voter: slices.Contains(result.Voters, id), Leader: id == result.Leader, State: "silent",
		}
		if h := holdings[id]; h != nil && h.AgeMs < uint32(unresponsiveAfter.Milliseconds()) {
			row.Index, row.AgeMs, row.State = h.Index, h.AgeMs, "behind"
			if h.Index >= st.Version.GetIndex() {
				row.State = "in-force"
			}
		}
		rows = append(rows, row)
	}
	return rows
}

func modelRows(st *state.State) []ModelRow {
	if st.Fleet == nil {
		return nil
	}
	rows := map[string]*ModelRow{}
	for name, m := range st.Fleet.Models {
		rows[name] = &ModelRow{Name: name, Version: m.Version, Ready: []string{}}
	}
	for name, ad := range st.Fleet.Adapters {
		rows[name] = &ModelRow{Name: name, Version: ad.Version, Ready: []string{}}
	}
	for _, r := range st.Encode().Residents {
		row := rows[cmp.Or(r.Item.Adapter, r.Item.Model)]
		if row == nil || !onServingServer(st.Fleet, r) {
			continue
		}
		if r.Phase == wire.Phase_PHASE_READY {
			row.Ready = append(row.Ready, r.Server)
		} else if r.Phase == wire.Phase_PHASE_LOADING {
			row.Loading = append(row.Loading, r.Server)
		}
	}
	var list []ModelRow
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		list = append(list, *rows[name])
	}
	return list
}

// onServingServer reports whether a resident item is on a server that is in the fleet and not draining.
func onServingServer(f *fleet.Fleet, r *wire.Resident) bool {
	s := f.Servers[r.Server]
	return s != nil && !s.Draining
}

func blockedRows(st *state.State) (rows []BlockedRow) {
	for _, s := range st.Crashers.Encode() {
		if !s.Held {
			continue
		}
		p, _ := crasher.ParseFingerprint(s.Print) // the replicated registry only admits valid fingerprints
		rows = append(rows, BlockedRow{Fingerprint: p.String(), Service: s.Service, Part: partID(s), Version: s.Version, Servers: s.Servers, BlockCount: s.Holds, Since: time.UnixMilli(s.UnixMs).UTC()})
	}
	return rows
}

// partID returns the ID of the prompt part that a suspect is in hexadecimal, "" if it is a whole request.
func partID(s *wire.Suspect) string {
	if s.Service == "" {
		return ""
	}
	return strconv.FormatUint(s.Part, 16)
}

func limitRows(st *state.State) (rows []LimitRow) {
	for _, l := range st.Encode().Limits {
		rows = append(rows, LimitRow{Server: l.Server, PerSecond: dialect.Limit(l.Milli).PerSecond(), Since: time.UnixMilli(l.UnixMs).UTC()})
	}
	return rows
}

// levelBlocker returns what delays the next level, or "" if the newest is active.
func levelBlocker(st *state.State) string {
	if st.Level >= level.Newest {
		return ""
	}
	var behind []string
	for _, name := range slices.Sorted(maps.Keys(st.Members)) {
		if level.Level(st.Members[name].Level) <= st.Level {
			behind = append(behind, name)
		}
	}
	if len(behind) == 0 {
		return "the end of the rollback period ([upgrade] settles)"
	}
	return "builds that support it on " + strings.Join(behind, " ")
}
