package route_test

import (
	"testing"

	. "github.com/onsi/gomega"
)

// In a large fleet, building a table costs as much as hundreds of requests, and
// the replicated state changes dozens of times a second.
func TestTableBuiltOnDemand(t *testing.T) {
	g := NewWithT(t)
	d, st, _ := newDirectory(t)
	before := d.Table()
	unread := testing.AllocsPerRun(100, func() { d.Update(st) })
	g.Expect(unread).To(BeNumerically("<=", 1), "allocations of an update without a reader")
	g.Expect(d.Table()).NotTo(BeIdenticalTo(before), "the table shows the newest state")
	g.Expect(d.Table()).To(BeIdenticalTo(d.Table()), "built once per state")
}
