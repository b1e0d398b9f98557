package workspace

import (
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"strings"
)

const (
	// MaxKey is the length of the longest key, in bytes. The platform's have 20; a header's limit is
	// 16 KB, and hashing all of it for nothing would be a caller's way to spend a box's time.
	MaxKey = 256
	// LeastKey is the length of the shortest key that a file may hold, in bytes.
	LeastKey = 8
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
	var buf [MaxKey]byte
	n := copy(buf[:], key)
	return sha256.Sum256(buf[:n])
}

// String returns the beginning of the digest, by which people tell keys apart.
func (d Digest) String() string { return hex.EncodeToString(d[:])[:shownDigits] }

// Line returns the digest as a file may hold it in place of its key.
func (d Digest) Line() string { return digestPrefix + hex.EncodeToString(d[:]) }

// ReadKey reads a key as a file holds it: the key itself, or its digest. The error says what is
// wrong and never names the key.
func ReadKey(text string) (Digest, error) {
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
	if len(text) < LeastKey || len(text) > MaxKey {
		return Digest{}, Error.New("a key has %d bytes, not %d to %d", len(text), LeastKey, MaxKey)
	}
	return DigestOf(text), nil
}

// NewKey draws a key of 128 random bits.
func NewKey() string { return strings.ToLower(rand.Text()) }
