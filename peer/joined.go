package peer

import (
	"encoding/binary"
	"net"
)

// The header of a yamux v0.1.2 frame: version, type, flags, stream and length.
const (
	yamuxHeaderSize   = 12
	yamuxTypeOffset   = 1
	yamuxTypeData     = 0
	yamuxLengthOffset = 8
)

// joinedConn writes the header of a data frame together with its body. yamux writes them separately, one right after the
// other and from one goroutine: two system calls a frame, and often two wake-ups of the receiving box.
type joinedConn struct {
	net.Conn
	pending []byte // header whose body is written next
	joined  []byte
}

// Write holds back the header of a data frame with a body, and reports it as written.
func (c *joinedConn) Write(b []byte) (int, error) {
	if len(c.pending) == 0 && startsData(b) {
		c.pending = append(c.pending, b...)
		return len(b), nil
	}
	if len(c.pending) == 0 {
		return c.Conn.Write(b)
	}
	c.joined = append(append(c.joined[:0], c.pending...), b...)
	held := len(c.pending)
	c.pending = c.pending[:0]
	n, err := c.Conn.Write(c.joined)
	if cap(c.joined) > maxPooledBuffer {
		c.joined = nil
	}
	return max(0, n-held), err
}

// startsData reports whether b is the header of a data frame with a body.
func startsData(b []byte) bool {
	return len(b) == yamuxHeaderSize && b[yamuxTypeOffset] == yamuxTypeData && binary.BigEndian.Uint32(b[yamuxLengthOffset:]) > 0
}
