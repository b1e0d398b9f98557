package workspace

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

const (
	// MaxKeyLength is the length of the longest key, in bytes. The platform's keys have 20. Without this bound a caller
	// could make a box hash headers up to their limit of 16 KB.
	MaxKeyLength = 256
	// MinKeyLength is the length of the shortest key that a file may hold, in bytes.
	MinKeyLength = 8
	// displayDigits is how many digits of a digest identify a key in logs and messages: enough to distinguish the keys
	// of a fleet, and of no use for guessing keys.
	displayDigits = 8
	// digestPrefix marks a digest that a file holds instead of its key.
	digestPrefix = "sha256:"
)

// Digest is the SHA-256 of a key. It represents the key everywhere except in the file that holds it.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key of at most MaxKeyLength bytes.
func DigestOf(key string) Digest {
	var buf [MaxKeyLength]byte
	n := copy(buf[:], key)
	return sha256.Sum256(buf[:n])
}

// String returns the first digits of the digest, for logs and messages.
func (d Digest) String() string { return hex.EncodeToString(d[:])[:displayDigits] }

// Encode returns the form of the digest that a file may hold instead of the key.
func (d Digest) Encode() string { return digestPrefix + hex.EncodeToString(d[:]) }

// ParseKey parses a key as a file holds it: the key itself, or its digest. The error describes the fault and never
// contains the key.
func ParseKey(text string) (Digest, error) {
	digits, isDigest := strings.CutPrefix(text, digestPrefix)
	if isDigest {
		var d Digest
		raw, err := hex.DecodeString(digits)
		if err != nil || len(raw) != len(d) {
			return Digest{}, Error.New("invalid digest: no SHA-256 of %d hexadecimal digits", 2*len(d))
		}
		copy(d[:], raw)
		return d, nil
	}
	if len(text) < MinKeyLength || len(text) > MaxKeyLength {
		return Digest{}, Error.New("key has %d bytes, want %d to %d", len(text), MinKeyLength, MaxKeyLength)
	}
	return DigestOf(text), nil
}

// NewKey returns a key of 128 random bits.
func NewKey() string { return strings.ToLower(rand.Text()) }
