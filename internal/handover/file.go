package handover

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// FileName is the name of the file in its folder.
const FileName = "wheatlane-handover"

// maxFileBytes bounds a file: Write makes no longer one.
const maxFileBytes = 1 << 20

// Write replaces the file in a folder atomically: a reader finds either the earlier state or this one.
func Write(dir string, state State) error {
	if err := replaceFile(filepath.Join(dir, FileName), Encode(state)); err != nil {
		return fmt.Errorf("handover: write state: %w", err)
	}
	return nil
}

// replaceFile writes content to a temporary file beside path and renames it to path.
func replaceFile(path string, content []byte) error {
	tmp, err := os.CreateTemp(filepath.Dir(path), FileName+".*")
	if err != nil {
		return err
	}
	defer func() {
		_ = os.Remove(tmp.Name()) // after the rename nothing has this name; before it the write has failed already
	}()
	if _, err := tmp.Write(content); err != nil {
		return errors.Join(err, tmp.Close())
	}
	if err := tmp.Close(); err != nil {
		return err
	}
	return os.Rename(tmp.Name(), path)
}

// staleTempFileAge is the age from which a temporary file is of a process that was killed.
const staleTempFileAge = time.Minute

// RemoveStaleTempFiles removes the temporary files of writes that a kill ended between the creation and the rename.
func RemoveStaleTempFiles(dir string) {
	paths, err := filepath.Glob(filepath.Join(dir, FileName+".*"))
	if err != nil {
		return // only of a pattern that can't be read
	}
	for _, path := range paths {
		info, err := os.Stat(path)
		if err == nil && info.Mode().IsRegular() && time.Since(info.ModTime()) > staleTempFileAge {
			_ = os.Remove(path) // the next process tries again
		}
	}
}

// Read reads the state in a folder for the broker of that name. Its error is ErrNotFound without a file,
// ErrCorrupt or ErrStale for a file that is not used, else that of the file system.
func Read(dir, broker string) (State, error) {
	// Without O_NONBLOCK, opening a named pipe under this name would wait for a writer and the broker never
	// start.
	file, err := os.OpenFile(filepath.Join(dir, FileName), os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if errors.Is(err, os.ErrNotExist) {
		return State{}, ErrNotFound
	}
	if err != nil {
		return State{}, fmt.Errorf("handover: read state: %w", err)
	}
	defer func() {
		_ = file.Close() // it was only read: nothing is lost
	}()
	if info, err := file.Stat(); err != nil || !info.Mode().IsRegular() {
		return State{}, fmt.Errorf("%w: no regular file", ErrCorrupt)
	}
	content := make([]byte, maxFileBytes+1)
	n, err := file.ReadAt(content, 0)
	if n > maxFileBytes {
		return State{}, fmt.Errorf("%w: over %d bytes", ErrCorrupt, maxFileBytes)
	}
	if err != nil && n == 0 {
		return State{}, fmt.Errorf("%w: %w", ErrCorrupt, err)
	}
	return Decode(content[:n], broker)
}
