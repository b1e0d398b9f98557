package daemon

import (
	"testing"

	. "github.com/onsi/gomega"
)

// Garbage is bounded in bytes until half of the live heap exceeds that bound.
func TestGCPercentBounds(t *testing.T) {
	g := NewWithT(t)
	g.Expect(gcPercent(0)).To(Equal(maxGCPercent))
	g.Expect(gcPercent(1 << 20)).To(Equal(maxGCPercent))
	g.Expect(gcPercent(4 << 20)).To(Equal(100))
	g.Expect(gcPercent(5 << 20)).To(Equal(80))
	g.Expect(gcPercent(400 << 20)).To(Equal(minGCPercent))
}
