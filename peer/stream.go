package peer

import (
	"bufio"
	"context"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// streamReadBuffer is the size of the read buffer of a stream in bytes: one frame of typical size.
const streamReadBuffer = 1 << 10

// frameStream carries frames in both directions. One goroutine may send while another receives.
type frameStream struct {
	stream *yamux.Stream
	reader *bufio.Reader
	close  *sync.Once
}

// openFrameStream opens a stream to a box. The context bounds only the opening.
func (p *Pool) openFrameStream(ctx context.Context, box string) (*frameStream, error) {
	l := p.link(box)
	s, err := p.session(ctx, box, l)
	if err != nil {
		return nil, err
	}
	stream, err := s.OpenStream()
	if err != nil {
		l.drop(s)
		return nil, Error.Wrap(err)
	}
	return newFrameStream(stream, bufio.NewReaderSize(s.reads.reader(stream), streamReadBuffer)), nil
}

func newFrameStream(s *yamux.Stream, r *bufio.Reader) *frameStream {
	return &frameStream{stream: s, reader: r, close: &sync.Once{}}
}

// send writes a frame. It returns an error if the peer accepts nothing for writeTimeout.
func (f *frameStream) send(m proto.Message) error {
	if err := f.stream.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return Error.Wrap(err)
	}
	return writeFrame(f.stream, m)
}

// errNotSupported is the error of a box that does not support the kind of stream.
var errNotSupported = Error.New("the box does not support the stream")

// receive reads the next frame of at most limit bytes. A box that does not support the kind of stream answers with a Response
// whose refusal has a number that the frames reserve; as an empty frame it would show that the box takes part.
func (f *frameStream) receive(limit int64, m proto.Message) error {
	if err := readFrame(f.reader, limit, m); err != nil {
		return err
	}
	if m.ProtoReflect().Descriptor().ReservedRanges().Has(firstUnknown(m)) {
		return errNotSupported
	}
	return nil
}

// firstUnknown returns the number of the first field that a frame has and its message does not; 0 if there is none.
func firstUnknown(m proto.Message) protowire.Number {
	unknown := m.ProtoReflect().GetUnknown()
	if len(unknown) == 0 {
		return 0
	}
	number, _, _ := protowire.ConsumeTag(unknown)
	return number
}

// Close ends the stream, and with it reads and writes in progress.
func (f *frameStream) Close() error {
	var err error
	f.close.Do(func() {
		// Setting the deadline of an open stream does not fail. A read would otherwise last until the peer closes, too.
		_ = f.stream.SetReadDeadline(time.Unix(1, 0))
		err = f.stream.Close()
	})
	return Error.Wrap(err)
}
