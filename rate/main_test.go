package rate

import (
	"testing"

	"leverdrum/internal/fixed"
)

func TestMain(m *testing.M) {
	fixed.SetRapidFlags(100)
	m.Run()
}
