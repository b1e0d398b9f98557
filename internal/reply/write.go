package reply

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// lateWriteTimeout is how long a response may still be written after the context of its request has ended.
const lateWriteTimeout = 3 * time.Second

// SmallBody is the size in bytes up to which a body is written without BoundWrites: the kernel takes it.
const SmallBody = 64 << 10

// WriteBound bounds the time in which a response is written.
type WriteBound struct {
	control *http.ResponseController
	cancel  func() bool

	mu      sync.Mutex
	stopped bool
}

// BoundWrites makes writes fail lateWriteTimeout after the context of a request has ended, unless Stop was called: a caller that
// does not read would hold the response, and its server, for any time.
func BoundWrites(ctx context.Context, control *http.ResponseController) *WriteBound {
	b := &WriteBound{control: control}
	b.cancel = context.AfterFunc(ctx, b.expire)
	return b
}

func (b *WriteBound) expire() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if !b.stopped {
		_ = b.control.SetWriteDeadline(time.Now().Add(lateWriteTimeout)) // only writers of tests do not support it
	}
}

// Stop ends the bound: the connection may carry further responses.
func (b *WriteBound) Stop() {
	if b.cancel() {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopped = true
	_ = b.control.SetWriteDeadline(time.Time{}) // as above
}
