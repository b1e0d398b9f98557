package replica

import (
	"google.golang.org/protobuf/proto"

	"leverdrum/internal/pack"
	"leverdrum/state"
	"leverdrum/wire"
)

// maxUpdateBytes bounds the entries of one update, in bytes: eight boxes that ask one
// whose link takes 10 Mbit/s have it within the time of a question. What is left comes
// with the next.
const maxUpdateBytes = 64 << 10

// maxState bounds a whole state, in bytes.
const maxState = 64 << 20

// wholeBehind is how many entries a packed state may be behind what is agreed and still be
// handed out. They come with the next answer, some 40 KB of them.
const wholeBehind = 256

// wholeState is a state as it goes to boxes that lack too much for entries.
type wholeState struct {
	index  uint64
	packed []byte
}

// UpdatesSince returns what a box that has applied index lacks: entries, or the whole
// state, packed, when the entries are not kept any more. Both are empty when it lacks
// nothing. A whole state may be some entries behind; these are kept.
func (r *Replica) UpdatesSince(index uint64) (entries []*wire.Entry, snapshot []byte, err error) {
	oldest := uint64(0) // entries behind it are kept
	kept := true
	err = r.ask(func() error {
		if index >= r.master.Index {
			return nil
		}
		oldest = r.master.Index - uint64(len(r.recent))
		if kept = index >= oldest; kept {
			entries = limitBytes(r.recent[index-oldest:])
		}
		return nil
	})
	if err != nil || kept {
		return entries, nil, err
	}
	snapshot, err = r.whole(oldest)
	return nil, snapshot, err
}

// whole returns a packed state behind which the entries are kept. It is packed once for all
// that ask at about the same time: after a start of 300 boxes some 50 ask each of those
// that have it, and packing takes 3 ms of a whole core and some MB of memory each time.
func (r *Replica) whole(oldest uint64) ([]byte, error) {
	r.wholeMu.Lock()
	defer r.wholeMu.Unlock()
	view := r.View()
	if w := r.wholeLast; w.packed != nil && w.index >= oldest && w.index+wholeBehind >= view.Index {
		return w.packed, nil
	}
	data, err := proto.Marshal(view.Encode())
	if err != nil {
		return nil, Error.Wrap(err)
	}
	r.wholeLast = wholeState{view.Index, pack.Pack(data, nil)}
	return r.wholeLast.packed, nil
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

// ApplyUpdate takes over agreed entries or a whole agreed state from a parent. What
// the box has already is passed over.
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
			r.jumpTo(next)
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
	data, err := pack.Unpack(packed, nil, maxState)
	if err != nil {
		return nil, Error.Wrap(err)
	}
	return decodeState(data)
}
