package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against unbounded memory: a caller may send any method name and any body length, and neither
// may add kinds of calls without limit.
func TestCallKindsAreBounded(t *testing.T) {
	p := newLatencyTracker()
	for i := range 10_000 {
		p.record(serviceCallKind("shop", fmt.Sprint("METHOD", i), i), time.Millisecond)
	}
	g := NewWithT(t)
	g.Expect(len(p.estimates)).To(BeNumerically("<", 20))
	g.Expect(serviceCallKind("shop", http.MethodGet, 1)).NotTo(Equal(serviceCallKind("shop", http.MethodPost, 1)))
}
