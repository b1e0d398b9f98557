package loadshare

import "github.com/cespare/xxhash/v2"

// hashOf returns the low 32 bits of the xxhash64 of a name, as messages give servers, models and
// workspaces.
func hashOf(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// catalog resolves hashes of names. A hash that several names share resolves to none of them.
type catalog struct {
	names    map[uint32]string
	collided map[uint32]bool
}

func newCatalog(names []string) *catalog {
	c := &catalog{names: make(map[uint32]string, len(names)), collided: map[uint32]bool{}}
	for _, name := range names {
		h := hashOf(name)
		if other, taken := c.names[h]; taken && other != name {
			c.collided[h] = true
			continue
		}
		c.names[h] = name
	}
	for h := range c.collided {
		delete(c.names, h)
	}
	return c
}

// resolve returns the hash of a name; false if the name is unknown or shares its hash.
func (c *catalog) resolve(name string) (uint32, bool) {
	h := hashOf(name)
	return h, c.names[h] == name && name != ""
}

func (c *catalog) has(hash uint32) bool { _, known := c.names[hash]; return known }
