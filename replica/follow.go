package replica

import (
	"google.golang.org/protobuf/proto"

	"leverdrum/internal/pack"
	"leverdrum/state"
	"leverdrum/wire"
)

// maxUpdateBytes bounds the entries of one update. Eight boxes that ask the same box
// over its 10 Mbit/s link then receive it within the timeout of a request. The
// remaining entries follow with the next update.
const maxUpdateBytes = 64 << 10

// maxStateBytes bounds an unpacked state.
const maxStateBytes = 64 << 20

// maxPackedLag is how many entries a packed state may lag behind the committed index and
// still be sent. The missing entries, some 40 KB, follow with the next answer.
const maxPackedLag = 256

// packedState is a state as sent to boxes that lag too far behind for entries.
type packedState struct {
	index  uint64
	packed []byte
}

// UpdatesSince returns what a box that has applied index misses: entries, or the packed
// state if the entries are no longer kept. Both are empty if it misses nothing. A packed
// state may lag some entries behind; these are still kept.
func (r *Replica) UpdatesSince(index uint64) (entries []*wire.Entry, snapshot []byte, err error) {
	oldest := uint64(0) // entries after it are kept
	haveEntries := true
	err = r.ask(func() error {
		if index >= r.master.Index {
			return nil
		}
		oldest = r.master.Index - uint64(len(r.recent))
		if haveEntries = index >= oldest; haveEntries {
			entries = limitBytes(r.recent[index-oldest:])
		}
		return nil
	})
	if err != nil || haveEntries {
		return entries, nil, err
	}
	snapshot, err = r.packState(oldest)
	return nil, snapshot, err
}

// packState returns a packed state after which the entries are kept. It is packed once for
// all boxes that ask at about the same time: when 300 boxes start, some 50 ask each box
// that has the state, and packing takes 3 ms of a core and some MB of memory each time.
func (r *Replica) packState(oldest uint64) ([]byte, error) {
	r.packMu.Lock()
	defer r.packMu.Unlock()
	view := r.View()
	if w := r.lastPacked; w.packed != nil && w.index >= oldest && w.index+maxPackedLag >= view.Index {
		return w.packed, nil
	}
	data, err := proto.Marshal(view.Encode())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	r.lastPacked = packedState{view.Index, pack.Pack(data, nil)}
	return r.lastPacked.packed, nil
}

func limitBytes(entries []*wire.Entry) []*wire.Entry {
	size := 0
	for i, e := range entries {
		size += len(e.Data)
		if i > 0 && size > maxUpdateBytes {
			return append([]*wire.Entry(nil), entries[:i]...)
		}
	}
	return append([]*wire.Entry(nil), entries...)
}

// ApplyUpdate applies committed entries or a whole committed state from a parent.
// What the box has applied already is skipped.
func (r *Replica) ApplyUpdate(entries []*wire.Entry, snapshot []byte) error {
	var next *state.State
	if len(snapshot) > 0 {
		st, err := unpackState(snapshot)
		if err != nil {
			return err
		}
		next = st
	}
	return r.ask(func() error {
		if next != nil {
			r.replaceState(next)
		}
		before := r.master.Index
		for _, e := range entries {
			if e.Index == r.master.Index+1 {
				r.applyOne(e)
			}
		}
		if r.master.Index > before {
			r.publish()
		}
		return nil
	})
}

func unpackState(packed []byte) (*state.State, error) {
	data, err := pack.Unpack(packed, nil, maxStateBytes)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return decodeState(data)
}
