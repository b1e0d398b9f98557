package daemon

import (
	"testing"

	. "github.com/onsi/gomega"
)

// The garbage of a box is bounded in bytes until half of what is in use is more.
func TestGarbageIsBounded(t *testing.T) {
	g := NewWithT(t)
	g.Expect(garbagePercent(0)).To(Equal(mostGarbage))
	g.Expect(garbagePercent(1 << 20)).To(Equal(mostGarbage))
	g.Expect(garbagePercent(4 << 20)).To(Equal(100))
	g.Expect(garbagePercent(5 << 20)).To(Equal(80))
	g.Expect(garbagePercent(400 << 20)).To(Equal(leastGarbage))
}
