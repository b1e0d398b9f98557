package loadshare

import (
	"cmp"
	"slices"
)

// sums are a hub's tables: the rows of each sender, and their totals. A row replaces the sender's last one, so nothing
// is counted twice. A receiver is due the total without its own rows.
type sums struct {
	senders map[string]*sender // by member ID
	all     *totals            // of all boxes, for boxes
	hall    *totals            // of the boxes at this hub, for other hubs
}

// sender is a box or another hub.
type sender struct {
	rows map[uint32]gauge
	hub  bool
}

func newSums() *sums {
	return &sums{senders: map[string]*sender{}, all: newTotals(), hall: newTotals()}
}

// open begins a stream of a sender. Rows of its previous stream are dropped.
func (s *sums) open(id string, hub bool) {
	s.drop(id)
	s.senders[id] = &sender{rows: map[uint32]gauge{}, hub: hub}
}

// drop removes all rows of a sender.
func (s *sums) drop(id string) {
	from := s.senders[id]
	if from == nil {
		return
	}
	for server := range from.rows {
		s.set(id, server, gauge{})
	}
	delete(s.senders, id)
}

// set replaces a row of a sender.
func (s *sums) set(id string, server uint32, g gauge) {
	from := s.senders[id]
	if from == nil {
		return
	}
	change := g.minus(from.rows[server])
	if change == (gauge{}) {
		return
	}
	if g == (gauge{}) {
		delete(from.rows, server)
	} else {
		from.rows[server] = g
	}
	s.all.add(server, change)
	if !from.hub {
		s.hall.add(server, change)
	}
}

// due returns what all but one sender have outstanding at a server.
func (s *sums) due(receiver string, server uint32) gauge {
	total := s.all.of[server]
	if from := s.senders[receiver]; from != nil {
		total = total.minus(from.rows[server])
	}
	return total.clamped()
}

// totals are sums by server, and the order in which their changes are published.
type totals struct {
	of        map[uint32]gauge
	moved     map[uint32]int64 // sizes of the changes since a row was last published
	published *feed
	scratch   []movedRow
}

// movedRow is a row, and the sizes of its changes since it was last published.
type movedRow struct {
	server uint32
	size   int64
}

func newTotals() *totals {
	return &totals{of: map[uint32]gauge{}, moved: map[uint32]int64{}, published: newFeed()}
}

func (t *totals) add(server uint32, change gauge) {
	if total := t.of[server].plus(change); total == (gauge{}) {
		delete(t.of, server)
	} else {
		t.of[server] = total
	}
	// Sizes are added even where changes of two senders cancel out: what each of them is due has changed.
	t.moved[server] += change.size()
}

// publish publishes at most limit changed rows, those that changed most first, and returns their number. A row that must
// wait becomes more urgent with each change.
func (t *totals) publish(limit int) int {
	if len(t.moved) == 0 {
		return 0
	}
	t.scratch = t.scratch[:0]
	for server, size := range t.moved {
		t.scratch = append(t.scratch, movedRow{server, size})
	}
	slices.SortFunc(t.scratch, func(a, b movedRow) int {
		return cmp.Or(cmp.Compare(b.size, a.size), cmp.Compare(a.server, b.server))
	})
	t.scratch = t.scratch[:min(len(t.scratch), limit)]
	for _, r := range t.scratch {
		t.published.publish(r.server)
		delete(t.moved, r.server)
	}
	return len(t.scratch)
}

// forgetZeros removes rows that are zero and that all receivers have been sent, up to a number.
func (t *totals) forgetZeros(upTo uint64) {
	for server, number := range t.published.number {
		if _, used := t.of[server]; !used && number <= upTo {
			t.published.remove(server)
		}
	}
	t.published.compact()
}
