package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// TestPatienceIsBounded: a caller may send any word as a method, and any length;
// neither may make a box remember ever more kinds of calls.
func TestPatienceIsBounded(t *testing.T) {
	p := newPatience()
	for i := range 10_000 {
		p.learn(kindOfService("shop", fmt.Sprint("METHOD", i), i), time.Millisecond)
	}
	g := NewWithT(t)
	g.Expect(len(p.kind)).To(BeNumerically("<", 20))
	g.Expect(kindOfService("shop", http.MethodGet, 1)).NotTo(Equal(kindOfService("shop", http.MethodPost, 1)))
}
