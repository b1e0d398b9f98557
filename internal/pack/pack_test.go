package pack_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"leverdrum/internal/pack"
)

const maxSize = 64 << 20

// routes returns a text similar to a fleet file, with about 240 bytes per route.
func routes(count, timeout int) []byte {
	names := rand.New(rand.NewPCG(1, 1))
	var b bytes.Buffer
	for range count {
		fmt.Fprintf(&b, `{"name":"r-%08x","hostname":"%06x.example","path_prefix":"/%08x/","route_type":"streaming","timeout_ms":%d,"target_latency_ms":800,"priority":1,"backend":"huvo11a","max_attempts":2,"session_affinity":true,"resumable":true}`+"\n",
			names.Uint32(), names.Uint32N(1<<24), names.Uint32(), timeout)
	}
	return b.Bytes()
}

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		g := NewWithT(t)
		base := rapid.SliceOfN(rapid.Byte(), 0, 2000).Draw(t, "base")
		text := rapid.SliceOfN(rapid.Byte(), 0, 2000).Draw(t, "text")
		if rapid.Bool().Draw(t, "alike") {
			text = append(bytes.Clone(base), text...)
		}
		packed := pack.Pack(text, base)
		unpacked, err := pack.Unpack(packed, base, maxSize)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(bytes.Equal(unpacked, text)).To(BeTrue())
	})
}

func TestCompressionRatio(t *testing.T) {
	g := NewWithT(t)
	for _, count := range []int{200, 2000, 6000} {
		old, text := routes(count, 5000), routes(count, 5500)
		whole, change := pack.Pack(text, nil), pack.Pack(text, old)
		t.Logf("%d routes: %d bytes, packed %d, against the previous file %d", count, len(text), len(whole), len(change))
		g.Expect(len(whole) * 6).To(BeNumerically("<", len(text)))
		g.Expect(len(change) * 20).To(BeNumerically("<", len(text)))
	}
}

func TestUnpackFailsWithWrongBaseOrLimit(t *testing.T) {
	g := NewWithT(t)
	packed := pack.Pack(routes(20, 1), routes(20, 2))
	_, err := pack.Unpack(packed, nil, maxSize)
	g.Expect(err).To(HaveOccurred())
	_, err = pack.Unpack(packed, routes(20, 2), 100)
	g.Expect(err).To(HaveOccurred(), "longer than allowed")
	other := bytes.Repeat([]byte("other "), len(routes(20, 2))/6)
	unpacked, err := pack.Unpack(packed, other, maxSize)
	g.Expect(err != nil || !bytes.Equal(unpacked, routes(20, 1))).To(BeTrue())
}

func FuzzUnpack(f *testing.F) {
	f.Add(pack.Pack(routes(3, 1), routes(2, 1)), routes(2, 1))
	f.Fuzz(func(t *testing.T, packed, base []byte) {
		text, err := pack.Unpack(packed, base, 1<<20)
		if err == nil && len(text) > 1<<20 {
			t.Fatalf("%d bytes", len(text))
		}
	})
}

func BenchmarkPack(b *testing.B) {
	old, text := routes(2000, 5000), routes(2000, 5500)
	for name, base := range map[string][]byte{"whole": nil, "change": old} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			var size int
			for b.Loop() {
				size = len(pack.Pack(text, base))
			}
			b.ReportMetric(float64(size), "bytes")
		})
		packed := pack.Pack(text, base)
		b.Run(name+"/unpack", func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := pack.Unpack(packed, base, maxSize); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
