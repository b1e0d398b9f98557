package gateway

import (
	"testing"

	"leverdrum/fleet"
)

// The last sending that a stream had was ended after 1.2 s of silence, and the caller's
// connection with it (buecherbruecke-ops-grown hunt-b429-3, LOST).
func TestSilenceEndsNoAnswerThatCannotGoOn(t *testing.T) {
	for _, row := range []struct {
		name   string
		kind   fleet.RouteKind
		runs   int
		headed bool
		want   bool
	}{
		{"the first sending", fleet.Streaming, 0, false, true},
		{"part passed on, another sending left", fleet.Streaming, 0, true, true},
		{"part passed on, the last sending", fleet.Streaming, 1, true, false},
		{"nothing passed on, the last sending", fleet.Streaming, 1, false, true},
		{"what may not be repeated", fleet.Unsafe, 0, false, false},
	} {
		j := &job{route: &fleet.Route{Kind: row.kind, Resumable: true, MaxAttempts: 2}, runs: row.runs, headed: row.headed}
		if got := j.endsSilence(); got != row.want {
			t.Errorf("%s: %v", row.name, got)
		}
	}
}
