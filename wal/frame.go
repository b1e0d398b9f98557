package wal

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"google.golang.org/protobuf/proto"
)

// A frame header holds the payload length, the payload checksum and a checksum of these two fields.
const (
	headerSize = 12
	// maxPayload is the largest frame length accepted when reading, in bytes.
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

// eachFrame calls use for each payload. It returns the number of valid bytes and
// whether a torn last frame follows them. An invalid frame that cannot be a torn
// last frame yields ErrCorrupt (2).
func eachFrame(data []byte, use func(payload []byte) error) (valid int, torn bool, err error) {
	for valid < len(data) {
		remaining := data[valid:]
		if len(remaining) < headerSize {
			return valid, true, nil
		}
		if crc32.Checksum(remaining[:8], castagnoli) != binary.LittleEndian.Uint32(remaining[8:]) {
			if !containsFrame(remaining) {
				return valid, true, nil
			}
			return valid, false, fmt.Errorf("%w: header checksum mismatch", ErrCorrupt)
		}
		end := headerSize + int(binary.LittleEndian.Uint32(remaining))
		if end > maxPayload {
			return valid, false, fmt.Errorf("%w: frame of %d bytes exceeds the maximum size", ErrCorrupt, end)
		}
		if end > len(remaining) {
			return valid, true, nil
		}
		payload := remaining[headerSize:end]
		if crc32.Checksum(payload, castagnoli) != binary.LittleEndian.Uint32(remaining[4:]) {
			if end == len(remaining) {
				return valid, true, nil
			}
			return valid, false, fmt.Errorf("%w: payload checksum mismatch", ErrCorrupt)
		}
		if err := use(payload); err != nil {
			return valid, false, err
		}
		valid += end
	}
	return valid, false, nil
}

// containsFrame reports whether b contains a complete frame at any offset after 0. Only
// the last frame can be torn, and any part of it can be missing (2), so a complete
// frame behind an invalid one means corruption.
func containsFrame(b []byte) bool {
	for i := 1; i+headerSize <= len(b); i++ {
		candidate := b[i:]
		length := int(binary.LittleEndian.Uint32(candidate))
		if length == 0 || length > len(candidate)-headerSize || crc32.Checksum(candidate[:8], castagnoli) != binary.LittleEndian.Uint32(candidate[8:]) {
			continue
		}
		if crc32.Checksum(candidate[headerSize:headerSize+length], castagnoli) == binary.LittleEndian.Uint32(candidate[4:]) {
			return true
		}
	}
	return false
}

// readSingleFrame reads a file that consists of a single frame.
func (s *Store) readSingleFrame(name string, m proto.Message) error {
	data, err := s.files.read(s.path(name))
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

// replace writes a single-frame file under a temporary name, syncs it and
// renames it over the old file (4).
func (s *Store) replace(name string, m proto.Message) error {
	payload, err := proto.Marshal(m)
	if err != nil {
		return Error.Wrap(err)
	}
	temp := s.path(name + tempSuffix)
	if err := s.writeSynced(temp, encodeFrame(payload)); err != nil {
		return errors.Join(err, s.files.remove(temp))
	}
	if err := s.files.rename(temp, s.path(name)); err != nil {
		return Error.Wrap(err)
	}
	return s.syncFolder()
}

func (s *Store) writeSynced(path string, data []byte) error {
	f, err := s.files.open(path, true)
	if err != nil {
		return Error.Wrap(err)
	}
	defer f.Close()
	if _, err := f.WriteAt(data, 0); err != nil {
		return Error.Wrap(fmt.Errorf("%w: %w", ErrDiskFull, err))
	}
	if err := f.Sync(); err != nil {
		return Error.Wrap(fmt.Errorf("%w: %w", ErrSync, err))
	}
	return nil
}

func (s *Store) syncFolder() error {
	if err := s.files.syncFolder(s.opts.Folder); err != nil {
		return Error.Wrap(fmt.Errorf("%w: %w", ErrSync, err))
	}
	return nil
}
