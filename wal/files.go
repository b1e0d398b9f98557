package wal

import (
	"os"
	"path/filepath"
)

// filesystem is what a store uses of the operating system's. Tests replace it to stop a store after any operation.
type filesystem interface {
	// makeFolder creates a folder and its parents, durably.
	makeFolder(path string) error
	// list returns the sizes of a folder's files in bytes, by name.
	list(folder string) (map[string]int64, error)
	// read returns os.ErrNotExist if there is no such file.
	read(path string) ([]byte, error)
	// open opens a file for writing and creates it if needed; if truncate is set, it is empty then.
	open(path string, truncate bool) (file, error)
	rename(from, to string) error
	remove(path string) error
	// syncFolder makes durable which files a folder has.
	syncFolder(path string) error
}

// file is an open file.
type file interface {
	WriteAt(b []byte, offset int64) (int, error)
	Truncate(size int64) error
	Sync() error
	Close() error
}

// osFiles is the filesystem of the operating system.
type osFiles struct{}

func (f osFiles) makeFolder(path string) error {
	if _, err := os.Stat(path); err == nil {
		return nil
	}
	if parent := filepath.Dir(path); parent != path {
		if err := f.makeFolder(parent); err != nil {
			return err
		}
	}
	if err := os.Mkdir(path, folderMode); err != nil && !os.IsExist(err) {
		return err
	}
	return f.syncFolder(filepath.Dir(path))
}

func (osFiles) list(folder string) (map[string]int64, error) {
	list, err := os.ReadDir(folder)
	if err != nil {
		return nil, err
	}
	sizes := map[string]int64{}
	for _, e := range list {
		if info, err := e.Info(); err == nil { // else it was removed meanwhile
			sizes[e.Name()] = info.Size()
		}
	}
	return sizes, nil
}

func (osFiles) read(path string) ([]byte, error) { return os.ReadFile(path) }

func (osFiles) open(path string, truncate bool) (file, error) {
	flags := os.O_CREATE | os.O_RDWR
	if truncate {
		flags |= os.O_TRUNC
	}
	return os.OpenFile(path, flags, fileMode)
}

func (osFiles) rename(from, to string) error { return os.Rename(from, to) }
func (osFiles) remove(path string) error     { return os.Remove(path) }

func (osFiles) syncFolder(path string) error {
	d, err := os.Open(path)
	if err != nil {
		return err
	}
	defer d.Close()
	return d.Sync()
}
