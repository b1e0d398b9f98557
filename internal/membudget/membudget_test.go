package membudget_test

import (
	"bytes"
	"errors"
	"io"
	"sync"
	"testing"
	"testing/iotest"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"leverdrum/internal/membudget"
)

// Guards against holds that together keep more than the limit, and against large ones that leave nothing for small ones.
func TestHoldsStayWithinTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limit := rapid.Int64Range(1, 1<<20).Draw(t, "limit")
		b := membudget.New(limit, nil)
		holds := make([]*membudget.Hold, rapid.IntRange(1, 20).Draw(t, "holds"))
		sizes := make([]int64, len(holds))
		for i := range holds {
			holds[i] = b.Hold("test")
		}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, len(holds)-1).Draw(t, "hold")
			switch n := rapid.Int64Range(0, 1<<18).Draw(t, "bytes"); {
			case rapid.IntRange(0, 9).Draw(t, "shrink") == 0:
				n = min(n, sizes[i])
				holds[i].Shrink(int(n))
				sizes[i] -= n
			case holds[i].Grow(int(n)):
				sizes[i] += n
			case sizes[i]+n <= membudget.MinHold:
				t.Fatalf("a hold of %d bytes was refused", sizes[i]+n)
			}
			var sum, small int64
			for _, n := range sizes {
				if sum += n; n <= membudget.MinHold {
					small += n
				}
			}
			if sum != b.Used() || sum-small > limit {
				t.Fatalf("%d bytes are held, %d are counted, %d of them in small holds, the limit is %d", sum, b.Used(), small, limit)
			}
		}
		for _, h := range holds {
			h.Release()
			h.Release()
			if h.Grow(1) {
				t.Fatal("a released hold grew")
			}
		}
		if b.Used() != 0 {
			t.Fatalf("%d bytes are left", b.Used())
		}
	})
}

// Guards against holds without end that leave no room for others.
func TestLargeHoldsLeaveRoom(t *testing.T) {
	g := NewWithT(t)
	const limit, step = 16 << 20, 1 << 10
	b := membudget.New(limit, nil)
	grow := func(n int) {
		var wg sync.WaitGroup
		for range n {
			h := b.Hold("test")
			wg.Go(func() {
				for h.Grow(step) {
				}
			})
		}
		wg.Wait()
	}
	grow(10)
	g.Expect(b.Hold("test").Grow(limit/64)).To(BeTrue(), "a large hold beside 10 without end")
	grow(90)
	g.Expect(b.Used()).To(BeNumerically("<=", limit+100*membudget.MinHold))
	g.Expect(b.Hold("test").Grow(membudget.MinHold)).To(BeTrue(), "a small hold beside 100 without end")
}

func TestReadAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := bytes.Repeat([]byte("0123456789"), rapid.IntRange(0, 1<<14).Draw(t, "tens"))
		limit := rapid.IntRange(1, 1<<18).Draw(t, "limit")
		length := rapid.SampledFrom([]int64{-1, 0, int64(len(data))}).Draw(t, "length")
		b := membudget.New(rapid.Int64Range(1, 1<<19).Draw(t, "budget"), nil)
		h := b.Hold("test")
		r := rapid.SampledFrom([]func(io.Reader) io.Reader{func(r io.Reader) io.Reader { return r }, iotest.DataErrReader, iotest.HalfReader}).Draw(t, "reader")(bytes.NewReader(data))
		got, err := h.ReadAll(r, length, limit)
		rest, _ := io.ReadAll(r) // it does not fail
		switch {
		case !bytes.Equal(append(bytes.Clone(got), rest...), data):
			t.Fatal("bytes are missing")
		case err == nil && len(rest) > 0, err == nil && len(got) > limit, errors.Is(err, membudget.ErrTooLong) && len(data) <= limit:
			t.Fatalf("%d of %d bytes, limit %d: %v", len(got), len(data), limit, err)
		case err != nil && !errors.Is(err, membudget.ErrTooLong) && !errors.Is(err, membudget.ErrFull):
			t.Fatal(err)
		case int64(cap(got)) != b.Used():
			t.Fatalf("%d bytes are reserved for a buffer of %d", b.Used(), cap(got))
		}
	})
}

// Guards against an error of the connection that passes for the end of the data.
func TestReadAllReturnsErrors(t *testing.T) {
	g := NewWithT(t)
	got, err := membudget.New(0, nil).Hold("test").ReadAll(io.MultiReader(bytes.NewReader([]byte("part")), iotest.ErrReader(io.ErrUnexpectedEOF)), 9, 100)
	g.Expect(err).To(MatchError(io.ErrUnexpectedEOF))
	g.Expect(string(got)).To(Equal("part"))
}

// Guards against more than one allocation for data of a known, small length.
func TestSmallReadsAllocateOnce(t *testing.T) {
	data, h := make([]byte, 4<<10), membudget.New(1<<20, nil).Hold("test")
	r := bytes.NewReader(data)
	each := testing.AllocsPerRun(100, func() {
		r.Reset(data)
		b, err := h.ReadAll(r, int64(len(data)), 1<<20)
		if err != nil || len(b) != len(data) {
			t.Fatal(len(b), err)
		}
		h.Shrink(cap(b))
	})
	if each > 1 {
		t.Errorf("%.0f allocations", each)
	}
}
