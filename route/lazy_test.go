package route_test

import (
	"testing"

	. "github.com/onsi/gomega"
)

// A table costs as much as hundreds of requests at the grown size, and the agreed
// state changes dozens of times a second there.
func TestTablesAreMadeOnlyWhenAskedFor(t *testing.T) {
	g := NewWithT(t)
	d, st, _ := newDirectory(t)
	before := d.Table()
	unread := testing.AllocsPerRun(100, func() { d.Update(st) })
	g.Expect(unread).To(BeNumerically("<=", 1), "allocations of an update that nobody reads")
	g.Expect(d.Table()).NotTo(BeIdenticalTo(before), "the newest state is shown when asked for")
	g.Expect(d.Table()).To(BeIdenticalTo(d.Table()), "made once for a state")
}
