package origin

import (
	"time"

	"leverdrum/wire"
)

// record is where a stream began.
type record struct {
	id     string
	origin Origin
	at     time.Duration // when it began
}

func (r record) wire(now time.Duration) *wire.OriginRecord {
	return &wire.OriginRecord{Id: r.id, Service: r.origin.Service, Version: r.origin.Version, AgeMs: uint32((now - r.at).Milliseconds())}
}

// records holds the records of a box.
type records struct {
	byID  map[string]record
	queue []record // in the order in which they were added; the ones before next were removed
	next  int
}

func newRecords() records { return records{byID: map[string]record{}} }

// add adds a record, and removes those that have expired and those beyond maxRecords.
func (r *records) add(kept record, now time.Duration) {
	r.byID[kept.id] = kept
	r.queue = append(r.queue, kept)
	for r.next < len(r.queue) && (now-r.queue[r.next].at > recordTTL || len(r.queue)-r.next > maxRecords) {
		oldest := r.queue[r.next]
		if r.byID[oldest.id] == oldest {
			delete(r.byID, oldest.id)
		}
		r.queue[r.next] = record{}
		r.next++
	}
	if r.next > len(r.queue)/2 {
		r.queue = append(r.queue[:0:0], r.queue[r.next:]...)
		r.next = 0
	}
}

// get returns a record that has not expired.
func (r *records) get(id string, now time.Duration) (record, bool) {
	kept, ok := r.byID[id]
	return kept, ok && now-kept.at <= recordTTL
}

// of returns the records of a service; of all services if name is "".
func (r *records) of(name string, now time.Duration) (list []record) {
	for _, kept := range r.byID {
		if (name == "" || kept.origin.Service == name) && now-kept.at <= recordTTL {
			list = append(list, kept)
		}
	}
	return list
}
