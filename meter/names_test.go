package meter

import (
	"testing"

	. "github.com/onsi/gomega"
	"github.com/prometheus/client_golang/prometheus/testutil"
)

func TestTheNamesOfWorkspacesAreBounded(t *testing.T) {
	g := NewWithT(t)
	m := New()
	m.named = newNames(2)
	for _, name := range []string{"a", "b", "c", "d", "a"} {
		m.CountWorkspace(name, Borne)
	}
	g.Expect(testutil.ToFloat64(m.Count(Workspaces, "a", Borne))).To(Equal(2.0))
	g.Expect(testutil.ToFloat64(m.Count(Workspaces, otherNames, Borne))).To(Equal(2.0))
}
