package box

import (
	"slices"
	"sync"
)

// metMost bounds the boxes that are remembered.
const metMost = 8

// met remembers the boxes with a disk that called here last, the newest first.
// They know the cluster when the settings name only boxes that do not.
type met struct {
	mu    sync.Mutex
	names []string
}

func (m *met) note(box string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.names = slices.DeleteFunc(m.names, func(n string) bool { return n == box })
	m.names = append([]string{box}, m.names...)
	m.names = m.names[:min(len(m.names), metMost)]
}

func (m *met) list() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.names)
}
