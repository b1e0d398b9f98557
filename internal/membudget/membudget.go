// Package membudget bounds the bytes that a box keeps of what servers send: buffered responses, incomplete events, reports and
// heartbeats.
//
// Rules:
//
//  1. All holds of a Budget together keep at most its limit, except for rule 3.
//  2. A hold grows only as long as it keeps at most a fixed share of what is still free (the dynamic threshold of
//     shared-buffer switches). The largest holds stop growing first, and no single one fills the budget.
//  3. A hold always gets up to MinHold bytes. Servers that fill the budget then never affect small responses, and the number
//     of connections bounds what is kept beyond the limit.
//  4. Bytes are reserved before they are allocated. While a buffer is copied to a larger one, both are reserved.
package membudget

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

const (
	// MinHold is the size in bytes that every hold gets (3).
	MinHold = 16 << 10
	// freeDivisor sets the share of the free bytes that a hold may keep (2).
	freeDivisor = 8
	// firstStep is the size in bytes of the first buffer for data of unknown length.
	firstStep = 512
	// growthDivisor sets the size of further steps: a fraction of the buffer's size.
	growthDivisor = 2
)

// ErrFull is returned where the budget admits no more bytes.
var ErrFull = errors.New("the memory for data of servers is full")

// ErrTooLong is returned where data exceeds its own limit.
var ErrTooLong = errors.New("the data exceeds its limit")

// Budget bounds the bytes of all its holds. A nil Budget has no limit. It is safe for concurrent use.
type Budget struct {
	limit   int64 // 0: none
	observe Observer
	used    atomic.Int64
}

// Observer records the use of a Budget. Its methods must not block.
type Observer interface {
	// Used is called with the bytes in use after each change, from several goroutines at once.
	Used(bytes int64)
	// Refused is called when a hold of a kind was not allowed to grow.
	Refused(kind string)
}

// New returns a Budget of limit bytes; 0: no limit. The observer may be nil.
func New(limit int64, o Observer) *Budget { return &Budget{limit: limit, observe: o} }

// Limit returns the limit in bytes; 0: none.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the bytes that are reserved.
func (b *Budget) Used() int64 { return b.used.Load() }

// Hold returns an empty hold. The kind names what it is for in metrics.
func (b *Budget) Hold(kind string) *Hold {
	if b == nil {
		return nil
	}
	return &Hold{budget: b, kind: kind}
}

func (b *Budget) observeUsed(bytes int64) {
	if b.observe != nil {
		b.observe.Used(bytes)
	}
}

// Hold is the memory reserved for one response or message. A nil Hold has no limit. It is safe for concurrent use.
type Hold struct {
	budget *Budget
	kind   string

	mu       sync.Mutex
	size     int64
	released bool
}

// Grow reserves n more bytes and reports whether the budget admits them. Nothing is admitted after Release.
func (h *Hold) Grow(n int) bool {
	if h == nil {
		return true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released {
		return false
	}
	size, b := h.size+int64(n), h.budget
	for {
		used := b.used.Load()
		if free := b.limit - used - int64(n); b.limit > 0 && size > MinHold && size > free/freeDivisor { // (2)
			if b.observe != nil {
				b.observe.Refused(h.kind)
			}
			return false
		}
		if b.used.CompareAndSwap(used, used+int64(n)) {
			h.size = size
			b.observeUsed(used + int64(n))
			return true
		}
	}
}

// Shrink returns n bytes to the budget.
func (h *Hold) Shrink(n int) {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released {
		return
	}
	h.size -= int64(n)
	h.budget.observeUsed(h.budget.used.Add(-int64(n)))
}

// Release returns all bytes to the budget. The hold admits none afterwards.
func (h *Hold) Release() {
	if h == nil {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.released {
		return
	}
	h.released = true
	h.budget.observeUsed(h.budget.used.Add(-h.size))
}

// Extend returns a buffer with the contents of b and room for at least n more bytes, whose capacity the hold reserves instead of
// that of b. It returns false, and b unchanged, where the budget does not admit it.
func (h *Hold) Extend(b []byte, n int) ([]byte, bool) {
	if cap(b)-len(b) >= n {
		return b, true
	}
	size := max(len(b)+n, cap(b)+cap(b)/growthDivisor)
	if !h.Grow(size) {
		if size = len(b) + n; !h.Grow(size) {
			return b, false
		}
	}
	larger := append(make([]byte, 0, size), b...)
	h.Shrink(cap(b))
	return larger, true
}

// ReadAll reads r to its end, and at most limit bytes. length is the expected number of bytes, -1 where it is not known. The
// error is ErrTooLong if there are more than limit bytes, and ErrFull if the budget does not admit them: r then continues after
// the bytes that are returned.
func (h *Hold) ReadAll(r io.Reader, length int64, limit int) ([]byte, error) {
	first := firstStep
	if length >= 0 {
		first = int(min(length, MinHold-1)) + 1 // one more byte reaches the end in the same read
	}
	b, ok := h.Extend(nil, first)
	if !ok {
		return nil, ErrFull
	}
	for {
		if len(b) > limit {
			return b, ErrTooLong
		}
		if len(b) == cap(b) {
			if b, ok = h.Extend(b, min(max(firstStep, len(b)/growthDivisor), limit+1-len(b))); !ok {
				return b, ErrFull
			}
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case err == io.EOF && len(b) <= limit:
			return b, nil
		case err == io.EOF:
			return b, ErrTooLong
		case err != nil:
			return b, err
		}
	}
}
