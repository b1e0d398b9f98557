package loadshare

import "slices"

// feed orders keys by when they were last published, so that a receiver needs only the number of the last publication
// that it was sent. A key has one place: a receiver that is behind gets its newest value only.
type feed struct {
	last    uint64
	entries []feedEntry // ascending by number; superseded ones are removed by compact
	number  map[uint32]uint64
}

type feedEntry struct {
	number uint64
	key    uint32
}

func newFeed() *feed { return &feed{number: map[uint32]uint64{}} }

func (f *feed) publish(key uint32) {
	f.last++
	f.number[key] = f.last
	f.entries = append(f.entries, feedEntry{f.last, key})
	if len(f.entries) > 2*len(f.number)+maxRows {
		f.compact()
	}
}

// compact removes superseded entries.
func (f *feed) compact() {
	f.entries = slices.DeleteFunc(f.entries, func(e feedEntry) bool { return f.number[e.key] != e.number })
}

// remove forgets a key.
func (f *feed) remove(key uint32) { delete(f.number, key) }

// after appends the keys published after a number, oldest first, until the list has limit items. It returns the number
// up to which the receiver then knows all.
func (f *feed) after(number uint64, list []uint32, limit int) ([]uint32, uint64) {
	if number >= f.last {
		return list, f.last
	}
	first, _ := slices.BinarySearchFunc(f.entries, number+1, func(e feedEntry, n uint64) int {
		return int(int64(e.number) - int64(n))
	})
	for _, e := range f.entries[first:] {
		if f.number[e.key] != e.number {
			continue
		}
		if len(list) == limit {
			return list, number
		}
		list = append(list, e.key)
		number = e.number
	}
	return list, f.last
}
