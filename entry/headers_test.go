package entry

import (
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

func TestConnectionHeaderCannotRemoveDeadline(t *testing.T) {
	g := NewWithT(t)
	from := http.Header{"Connection": {"close", "X-Deadline-Ms, X-Mine"}, "X-Deadline-Ms": {"999999"}, "X-Mine": {"a"}, "X-Other": {"b"}}
	h := attemptHeaders(from, 250*time.Millisecond)
	g.Expect(h).To(Equal(http.Header{"X-Deadline-Ms": {"250"}, "X-Other": {"b"}}))
}
