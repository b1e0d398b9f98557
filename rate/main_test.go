package rate

import (
	"testing"

	"leverdrum/internal/fixed"
)

func TestMain(m *testing.M) {
	fixed.Rapid(100)
	m.Run()
}
