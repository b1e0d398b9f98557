package workspace

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

const (
	// MaxKeyLength is the length of the longest key, in bytes. The platform's have 20; a header's limit is
	// 16 KB, and hashing all of it for nothing would be a caller's way to spend a box's time.
	MaxKeyLength = 256
	// MinKeyLength is the length of the shortest key that a file may hold, in bytes.
	MinKeyLength = 8
	// shownDigits is how much of a digest stands for a key in what people read: enough to tell the
	// keys of a fleet apart, and of no use to who guesses at keys.
	shownDigits = 8
	// digestPrefix marks a digest that stands in a file in place of its key.
	digestPrefix = "sha256:"
)

// Digest is the SHA-256 of a key, which stands for it everywhere but in the file that it came with.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a key of at most MaxKey bytes.
func DigestOf(key string) Digest {
	var buf [MaxKeyLength]byte
	n := copy(buf[:], key)
	return sha256.Sum256(buf[:n])
}

// String returns the beginning of the digest, by which people tell keys apart.
func (d Digest) String() string { return hex.EncodeToString(d[:])[:shownDigits] }

// Encode returns the digest as a file may hold it in place of its key.
func (d Digest) Encode() string { return digestPrefix + hex.EncodeToString(d[:]) }

// ParseKey reads a key as a file holds it: the key itself, or its digest. The error says what is
// wrong and never names the key.
func ParseKey(text string) (Digest, error) {
	digits, isDigest := strings.CutPrefix(text, digestPrefix)
	if isDigest {
		var d Digest
		raw, err := hex.DecodeString(digits)
		if err != nil || len(raw) != len(d) {
			return Digest{}, Error.New("a digest is no SHA-256 of %d hexadecimal digits", 2*len(d))
		}
		copy(d[:], raw)
		return d, nil
	}
	if len(text) < MinKeyLength || len(text) > MaxKeyLength {
		return Digest{}, Error.New("a key has %d bytes, not %d to %d", len(text), MinKeyLength, MaxKeyLength)
	}
	return DigestOf(text), nil
}

// NewKey draws a key of 128 random bits.
func NewKey() string { return strings.ToLower(rand.Text()) }
