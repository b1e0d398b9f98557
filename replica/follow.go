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

// Since returns what a box that has applied index lacks: entries, or the whole
// state, packed, when the entries are not kept any more. Both are empty when it lacks
// nothing.
func (r *Replica) Since(index uint64) (entries []*wire.Entry, snapshot []byte, err error) {
	kept := true
	err = r.ask(func() error {
		if index >= r.master.Index {
			return nil
		}
		first := r.master.Index + 1 - uint64(len(r.recent))
		if index+1 < first {
			kept = false
			return nil
		}
		entries = limitBytes(r.recent[index+1-first:])
		return nil
	})
	if err != nil || kept {
		return entries, nil, err
	}
	data, err := proto.Marshal(r.View().Encode())
	if err != nil {
		return nil, nil, Error.Wrap(err)
	}
	return nil, pack.Pack(data, nil), nil
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

// Advance takes over agreed entries or a whole agreed state from a parent. What
// the box has already is passed over.
func (r *Replica) Advance(entries []*wire.Entry, snapshot []byte) error {
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
