package durable

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

const (
	dirMode  = 0o700 // only the owner may access a store
	fileMode = 0o600
)

// Disk implements Dir on a directory of the file system.
type Disk struct{ path string }

// NewDisk returns the directory at path, which it creates if it does not exist.
func NewDisk(path string) (*Disk, error) {
	if err := os.MkdirAll(path, dirMode); err != nil {
		return nil, fmt.Errorf("durable: create directory: %w", err)
	}
	return &Disk{path}, nil
}

func (d *Disk) join(name string) string { return filepath.Join(d.path, name) }

// List returns the names of the files.
func (d *Disk) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, entry.Name())
	}
	return names, nil
}

// Read returns the content of a file.
func (d *Disk) Read(name string) ([]byte, error) { return os.ReadFile(d.join(name)) }

// Create creates an empty file; an existing one is truncated.
func (d *Disk) Create(name string) (File, error) {
	return os.OpenFile(d.join(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, fileMode)
}

// Append opens an existing file for writing at its end.
func (d *Disk) Append(name string) (File, error) {
	return os.OpenFile(d.join(name), os.O_APPEND|os.O_WRONLY, fileMode)
}

// Rename renames a file; an existing file of the new name is replaced.
func (d *Disk) Rename(from, to string) error { return os.Rename(d.join(from), d.join(to)) }

// Remove removes a file.
func (d *Disk) Remove(name string) error { return os.Remove(d.join(name)) }

// Sync makes creations, renames and removals of files durable.
func (d *Disk) Sync() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
