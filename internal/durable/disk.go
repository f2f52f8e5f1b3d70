package durable

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// Disk is a folder on a disk, made if it is not there.
type Disk struct{ path string }

// NewDisk returns a folder that only its owner may read.
func NewDisk(path string) (*Disk, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return nil, fmt.Errorf("durable: %w", err)
	}
	return &Disk{path}, nil
}

func (d *Disk) at(name string) string { return filepath.Join(d.path, name) }

// List names what is in the folder.
func (d *Disk) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	if err != nil {
		return nil, err
	}
	var all []string
	for _, e := range entries {
		all = append(all, e.Name())
	}
	return all, nil
}

// Read reads a file.
func (d *Disk) Read(name string) ([]byte, error) { return os.ReadFile(d.at(name)) }

// Create makes an empty file.
func (d *Disk) Create(name string) (File, error) {
	return os.OpenFile(d.at(name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
}

// Append opens a file to write behind its end.
func (d *Disk) Append(name string) (File, error) {
	return os.OpenFile(d.at(name), os.O_APPEND|os.O_WRONLY, 0o600)
}

// Rename renames a file.
func (d *Disk) Rename(from, to string) error { return os.Rename(d.at(from), d.at(to)) }

// Remove removes a file.
func (d *Disk) Remove(name string) error { return os.Remove(d.at(name)) }

// Sync brings the names in the folder to the disk.
func (d *Disk) Sync() error {
	f, err := os.Open(d.path)
	if err != nil {
		return err
	}
	return errors.Join(f.Sync(), f.Close())
}
