package wire

import "strings"

// BoxOf returns the name of the box in the ID of a member or of a process. Both IDs consist of the
// box's name, a slash and a part that distinguishes its runs or its states (package state, MemberID
// and ProcessID).
func BoxOf(id string) string {
	box, _, _ := strings.Cut(id, "/")
	return box
}
