package gateway

import (
	"io"
	"sync"
	"time"

	"leverdrum/internal/framing"
)

// connFault is the first error of a connection. The kernel reports that a connection was reset only once, to the call that
// comes first: a write, or a look for unread bytes. Reads after it see the end of the connection.
type connFault struct {
	mu  sync.Mutex
	err error
}

func (f *connFault) record(err error) {
	if err == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recordLocked(err)
}

func (f *connFault) recordLocked(err error) {
	if f.err == nil {
		f.err = err
	}
}

// endOr returns the error that another call has received, end if there is none.
func (f *connFault) endOr(end error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.err != nil {
		return Error.Wrap(f.err)
	}
	return end
}

// Write records errors for the reader.
func (x *conn) Write(b []byte) (int, error) {
	n, err := x.Conn.Write(b)
	x.fault.record(err)
	return n, err
}

// errUploadUnfinished is returned where a response that is not delimited ends before the server has received the request: the
// server broke off both.
var errUploadUnfinished = Error.New("the connection ended before the server had received the request")

// uploadedBody is the body of a response that ends with its connection. It has ended only if the server has received the whole
// request; else its end is an error.
type uploadedBody struct {
	io.ReadCloser
	response *response
}

// Read returns io.EOF only after the whole request was written without an error and received by the server.
func (b *uploadedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		err = b.response.endOfUpload()
	}
	return n, err
}

// endOfUpload ends the writing of the request. It returns io.EOF if the server has received all of it.
func (a *response) endOfUpload() error {
	if a.written != nil {
		_ = a.conn.SetWriteDeadline(time.Unix(1, 0)) // fails only on a closed connection
		err := <-a.written
		a.written = nil
		if err != nil {
			return errUploadUnfinished
		}
	}
	if framing.Unacknowledged(a.conn.Conn) > 0 {
		return errUploadUnfinished
	}
	return a.conn.fault.endOr(io.EOF)
}
