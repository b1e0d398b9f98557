package origin

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"leverdrum/wire"
)

const (
	// keepersPerRecord is the number of boxes that a record is sent to.
	keepersPerRecord = 3
	// maxKeepers bounds the boxes that keep records of others, and with it the sessions between boxes.
	maxKeepers = 8
	// maxOutbox bounds the records that wait for one keeper; maxBatch those in one call.
	maxOutbox = 1 << 13
	maxBatch  = 1 << 10
	// sendTimeout bounds one call with records, retryDelay is the time after one that failed, maxSendAge the age from which a
	// record is not sent again.
	sendTimeout = 500 * time.Millisecond
	retryDelay  = 100 * time.Millisecond
	maxSendAge  = 5 * time.Second
)

// keepersOf returns the boxes that keep records of others (4).
func keepersOf(boxes []Box) (ids []string) {
	list := slices.DeleteFunc(slices.Clone(boxes), func(b Box) bool { return b.Leaving })
	slices.SortFunc(list, func(a, b Box) int {
		switch {
		case a.Disk && !b.Disk:
			return -1
		case b.Disk && !a.Disk:
			return 1
		}
		return cmp.Or(cmp.Compare(xxhash.Sum64String(b.ID), xxhash.Sum64String(a.ID)), cmp.Compare(a.ID, b.ID))
	})
	for _, b := range list[:min(len(list), maxKeepers)] {
		ids = append(ids, b.ID)
	}
	return ids
}

// keepersOf returns the keepers of a record without this box. The caller holds the lock.
func (r *Registry) keepersOf(id string) []string {
	list := slices.Clone(r.keepers)
	hash := func(box string) uint64 { return xxhash.Sum64String(id + "\x00" + box) }
	slices.SortFunc(list, func(a, b string) int { return cmp.Compare(hash(b), hash(a)) })
	return r.others(list[:min(len(list), keepersPerRecord)])
}

// others returns the boxes of a list without this one.
func (r *Registry) others(list []string) []string {
	return slices.DeleteFunc(slices.Clone(list), func(box string) bool { return box == r.opts.Self })
}

// outbox holds the records that are to be sent to one keeper.
type outbox struct {
	waiting []record
	sending bool
}

// send sends a record to its keepers. The caller holds the lock.
func (r *Registry) send(kept record) {
	if !r.topology.Enabled {
		return
	}
	for _, box := range r.keepersOf(kept.id) {
		r.sendTo(box, kept)
	}
}

// sendTo adds a record to the outbox of a keeper. The caller holds the lock.
func (r *Registry) sendTo(box string, kept record) {
	o := r.outboxes[box]
	if o == nil {
		o = &outbox{}
		r.outboxes[box] = o
	}
	if len(o.waiting) >= maxOutbox {
		r.lost(1)
		return
	}
	o.waiting = append(o.waiting, kept)
	if !o.sending {
		o.sending = true
		go r.empty(box, o)
	}
}

func (r *Registry) lost(n int) {
	if n > 0 && r.opts.Lost != nil {
		r.opts.Lost(n)
	}
}

// empty sends what waits for a keeper until nothing does. What cannot be delivered is sent again until it is too old.
func (r *Registry) empty(box string, o *outbox) {
	for {
		batch := r.nextBatch(o)
		if len(batch) == 0 {
			return
		}
		if r.deliver(context.Background(), box, batch) == nil {
			continue
		}
		time.Sleep(retryDelay)
		r.requeue(o, batch)
	}
}

// nextBatch takes records from an outbox. If there is none, nothing is being sent any more.
func (r *Registry) nextBatch(o *outbox) []record {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := min(len(o.waiting), maxBatch)
	batch := o.waiting[:n:n]
	o.waiting = o.waiting[n:]
	o.sending = n > 0
	return batch
}

// requeue puts records that were not delivered back, unless they are too old.
func (r *Registry) requeue(o *outbox, batch []record) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.opts.Now()
	young := slices.DeleteFunc(slices.Clone(batch), func(kept record) bool { return now-kept.at > maxSendAge })
	r.lost(len(batch) - len(young))
	o.waiting = append(young, o.waiting...)
}

func (r *Registry) deliver(ctx context.Context, box string, batch []record) error {
	ctx, cancel := context.WithTimeout(ctx, sendTimeout)
	defer cancel()
	call, now := &wire.OriginCall{}, r.opts.Now()
	for _, kept := range batch {
		call.Records = append(call.Records, kept.wire(now))
	}
	_, err := r.opts.Call(ctx, box, call)
	return Error.Wrap(err)
}

// HandOver sends the records of mixed services that this box has to the other keepers, and returns once they are delivered or
// the context ends (7).
func (r *Registry) HandOver(ctx context.Context) {
	for box, list := range r.handOvers() {
		for chunk := range slices.Chunk(list, maxBatch) {
			if r.deliver(ctx, box, chunk) != nil {
				r.lost(len(chunk))
			}
		}
	}
}

// handOvers returns the records to hand over, by the keeper that gets them.
func (r *Registry) handOvers() map[string][]record {
	r.mu.Lock()
	defer r.mu.Unlock()
	lists, now := map[string][]record{}, r.opts.Now()
	if !r.topology.Enabled {
		return lists
	}
	for _, kept := range r.records.of("", now) {
		if !r.services[kept.origin.Service].mixed(now) {
			continue
		}
		for _, box := range r.keepersOf(kept.id) {
			lists[box] = append(lists[box], kept)
		}
	}
	return lists
}
