package loadshare

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Member is a box that may be a hub.
type Member struct {
	ID   string // member ID
	Hall string
	Disk bool
	// Leaving members are never hubs.
	Leaving bool
}

// candidates returns the members of each hall that may be its hub, the first choice first: by rendezvous hash of hall
// and ID, members with a disk before others. All boxes derive the same order from the same member list.
func candidates(members []Member) map[string][]string {
	type ranked struct {
		Member
		hash uint64
	}
	byHall := map[string][]ranked{}
	for _, m := range members {
		if !m.Leaving {
			byHall[m.Hall] = append(byHall[m.Hall], ranked{m, xxhash.Sum64String(m.Hall + "\x00" + m.ID)})
		}
	}
	out := map[string][]string{}
	for hall, list := range byHall {
		slices.SortFunc(list, func(a, b ranked) int {
			if a.Disk != b.Disk {
				if a.Disk {
					return -1
				}
				return 1
			}
			return cmp.Or(cmp.Compare(b.hash, a.hash), cmp.Compare(a.ID, b.ID))
		})
		for _, m := range list {
			out[hall] = append(out[hall], m.ID)
		}
	}
	return out
}
