package peer

import (
	"bufio"
	"io"
	"sync"

	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// Rules for frames:
//
//  1. The length prefix and the message are written in a single call. A separate write of the
//     length would cost its own yamux frame, system call and wake-up of the receiving box.
//  2. Buffers are pooled. Without pooling, the 4 KB reader of each stream made up a quarter of
//     the allocations of a leader of 300 boxes, and the write buffers an eighth.

// maxPooledBuffer is the largest buffer returned to the pool, in bytes. Most frames are a
// few hundred bytes; a frame carrying the whole state gets its own buffer (2).
const maxPooledBuffer = 64 << 10

var (
	readerPool = sync.Pool{New: func() any { return bufio.NewReader(nil) }}
	bufferPool = sync.Pool{New: func() any { return new([]byte) }}
)

// acquireReader returns a pooled buffered reader. releaseReader takes it back (2).
func acquireReader(r io.Reader) *bufio.Reader {
	b := readerPool.Get().(*bufio.Reader)
	b.Reset(r)
	return b
}

func releaseReader(b *bufio.Reader) {
	b.Reset(nil)
	readerPool.Put(b)
}

// writeFrame writes a message prefixed with its length in one call (1).
func writeFrame(w io.Writer, m proto.Message) error {
	b := bufferPool.Get().(*[]byte)
	defer func() {
		if cap(*b) <= maxPooledBuffer {
			bufferPool.Put(b)
		}
	}()
	frame := protowire.AppendVarint((*b)[:0], uint64(proto.Size(m)))
	frame, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(frame, m)
	if err != nil {
		return Error.Wrap(err)
	}
	*b = frame
	_, err = w.Write(frame)
	return Error.Wrap(err)
}

func readFrame(r *bufio.Reader, limit int64, m proto.Message) error {
	return Error.Wrap(protodelim.UnmarshalOptions{MaxSize: limit}.UnmarshalFrom(r, m))
}

// readSingleFrame reads the only frame expected on a stream.
func readSingleFrame(s io.Reader, limit int64, m proto.Message) error {
	r := acquireReader(s)
	defer releaseReader(r)
	return readFrame(r, limit, m)
}
