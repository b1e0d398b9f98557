package box

import (
	"slices"
	"sync"

	"leverdrum/wire"
)

// maxCallers bounds the number of boxes of each kind (with and without a disk) that are
// kept.
const maxCallers = 8

// callers keeps the boxes that called this one most recently, the newest first. They know the
// cluster when the settings name only boxes that do not.
type callers struct {
	mu            sync.Mutex
	disks, others []*wire.Member // boxes with a disk, and without
}

func (c *callers) record(m *wire.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.Disk {
		c.disks = moveToFront(c.disks, m)
		return
	}
	c.others = moveToFront(c.others, m)
}

// moveToFront returns the list with a box at its front and no other entry of that box.
func moveToFront(list []*wire.Member, first *wire.Member) []*wire.Member {
	rest := slices.DeleteFunc(list, func(m *wire.Member) bool { return m.Box == first.Box })
	list = append([]*wire.Member{first}, rest...)
	return list[:min(len(list), maxCallers)]
}

// withDisk returns the callers with a disk, which may know the leader.
func (c *callers) withDisk() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return boxNames(c.disks)
}

// all returns the callers with and without a disk. The latter have the replicated state even if no
// box with a disk is running.
func (c *callers) all() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return boxNames(slices.Concat(c.disks, c.others))
}

// address returns the address that a box advertised when it called, "" if it did not call.
func (c *callers) address(box string) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range slices.Concat(c.disks, c.others) {
		if m.Box == box {
			return m.PeerAddress
		}
	}
	return ""
}

func boxNames(list []*wire.Member) []string {
	boxes := make([]string, len(list))
	for i, m := range list {
		boxes[i] = m.Box
	}
	return boxes
}
