package box

import (
	"slices"
	"sync"

	"leverdrum/wire"
)

// maxCallers bounds the boxes of each kind that are remembered.
const maxCallers = 8

// callers remembers the boxes that called here last, the newest first. They know the cluster when
// the settings name only boxes that do not.
type callers struct {
	mu            sync.Mutex
	disks, others []*wire.Member // boxes with a disk, and without
}

func (c *callers) record(m *wire.Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m.Disk {
		c.disks = withFirst(c.disks, m)
		return
	}
	c.others = withFirst(c.others, m)
}

// withFirst returns a list that begins with a box, and holds it once.
func withFirst(list []*wire.Member, first *wire.Member) []*wire.Member {
	rest := slices.DeleteFunc(list, func(m *wire.Member) bool { return m.Box == first.Box })
	list = append([]*wire.Member{first}, rest...)
	return list[:min(len(list), maxCallers)]
}

// withDisk lists boxes that may know the leader.
func (c *callers) withDisk() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return names(c.disks)
}

// all adds the boxes without a disk, which have the agreed state also where no box with a disk runs.
func (c *callers) all() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return names(slices.Concat(c.disks, c.others))
}

// address returns where a box is reached by its own account, "" where it did not call.
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

func names(list []*wire.Member) []string {
	boxes := make([]string, len(list))
	for i, m := range list {
		boxes[i] = m.Box
	}
	return boxes
}
