package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"os"

	"google.golang.org/protobuf/proto"
)

// A frame's header: length, checksum of the payload, checksum of both.
const (
	headerSize = 12
	// maxPayload bounds what a length is believed to be, in bytes.
	maxPayload = 256 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func encodeFrame(payload []byte) []byte {
	frame := make([]byte, headerSize, headerSize+len(payload))
	binary.LittleEndian.PutUint32(frame[0:], uint32(len(payload)))
	binary.LittleEndian.PutUint32(frame[4:], crc32.Checksum(payload, castagnoli))
	binary.LittleEndian.PutUint32(frame[8:], crc32.Checksum(frame[:8], castagnoli))
	return append(frame, payload...)
}

// eachFrame calls use with each payload. It returns how many bytes are good,
// and whether what follows them is a torn last frame. A bad frame that cannot
// be the torn last one is ErrCorrupt (2).
func eachFrame(data []byte, use func(payload []byte) error) (good int, torn bool, err error) {
	for good < len(data) {
		rest := data[good:]
		if len(rest) < headerSize {
			return good, true, nil
		}
		if crc32.Checksum(rest[:8], castagnoli) != binary.LittleEndian.Uint32(rest[8:]) {
			if !frameWithin(rest) {
				return good, true, nil
			}
			return good, false, fmt.Errorf("%w: checksum of a header", ErrCorrupt)
		}
		end := headerSize + int(binary.LittleEndian.Uint32(rest))
		if end > maxPayload {
			return good, false, fmt.Errorf("%w: a frame of %d bytes", ErrCorrupt, end)
		}
		if end > len(rest) {
			return good, true, nil
		}
		payload := rest[headerSize:end]
		if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(rest[4:]) {
			if end == len(rest) {
				return good, true, nil
			}
			return good, false, fmt.Errorf("%w: checksum of a frame", ErrCorrupt)
		}
		if err := use(payload); err != nil {
			return good, false, err
		}
		good += end
	}
	return good, false, nil
}

// frameWithin reports whether a whole frame stands anywhere behind the beginning. Only
// the last frame can be torn (2), and of that any part may be missing.
func frameWithin(b []byte) bool {
	for i := 1; i+headerSize <= len(b); i++ {
		rest := b[i:]
		length := int(binary.LittleEndian.Uint32(rest))
		if length == 0 || length > len(rest)-headerSize || crc32.Checksum(rest[:8], castagnoli) != binary.LittleEndian.Uint32(rest[8:]) {
			continue
		}
		if crc32.Checksum(rest[headerSize:headerSize+length], castagnoli) == binary.LittleEndian.Uint32(rest[4:]) {
			return true
		}
	}
	return false
}

// readOne reads a file of a single frame.
func (s *Store) readOne(name string, m proto.Message) error {
	data, err := os.ReadFile(s.path(name))
	if err != nil {
		return Error.Wrap(err)
	}
	count := 0
	_, torn, err := eachFrame(data, func(payload []byte) error {
		count++
		return proto.Unmarshal(payload, m)
	})
	if err == nil && (torn || count != 1) {
		err = ErrCorrupt
	}
	if err != nil {
		return Error.Wrap(fmt.Errorf("%s: %w", s.path(name), err))
	}
	return nil
}

// replace writes a file of a single frame beside the old one, syncs it, and
// renames it into place (4).
func (s *Store) replace(name string, m proto.Message) error {
	payload, err := proto.Marshal(m)
	if err != nil {
		return Error.Wrap(err)
	}
	temp := s.path(name + tempSuffix)
	if err := writeSynced(temp, encodeFrame(payload)); err != nil {
		return errors.Join(err, os.Remove(temp))
	}
	if err := os.Rename(temp, s.path(name)); err != nil {
		return Error.Wrap(err)
	}
	return s.syncFolder()
}

func writeSynced(path string, data []byte) error {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
	if err != nil {
		return Error.Wrap(err)
	}
	defer f.Close()
	if _, err := f.Write(data); err != nil {
		return Error.Wrap(fmt.Errorf("%w: %w", ErrDiskFull, err))
	}
	if err := f.Sync(); err != nil {
		return Error.Wrap(fmt.Errorf("%w: %w", ErrSync, err))
	}
	return nil
}

func (s *Store) syncFolder() error {
	d, err := os.Open(s.opts.Folder)
	if err != nil {
		return Error.Wrap(err)
	}
	defer d.Close()
	if err := d.Sync(); err != nil {
		return Error.Wrap(fmt.Errorf("%w: %w", ErrSync, err))
	}
	return nil
}
