package handover

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"syscall"
	"time"
)

// FileName is the name of the hand-over file in its directory.
const FileName = "wheatlane-handover"

// maxFileBytes is the maximum size of a file that Read accepts. Write creates no larger file.
const maxFileBytes = 1 << 20

// Write atomically replaces the file in a directory: a reader finds either the previous state or this one.
func Write(dir string, state State) error {
	if err := replaceFile(filepath.Join(dir, FileName), Encode(state)); err != nil {
		return fmt.Errorf("handover: write state: %w", err)
	}
	return nil
}

// replaceFile writes content to a temporary file in the directory of path and renames it to path.
func replaceFile(path string, content []byte) error {
	tmp, err := os.CreateTemp(filepath.Dir(path), FileName+".*")
	if err != nil {
		return err
	}
	defer func() {
		_ = os.Remove(tmp.Name()) // no such file exists after the rename; before it, the write has already failed
	}()
	if _, err := tmp.Write(content); err != nil {
		return errors.Join(err, tmp.Close())
	}
	if err := tmp.Close(); err != nil {
		return err
	}
	return os.Rename(tmp.Name(), path)
}

// staleTempFileAge is the age above which a temporary file is considered abandoned by a process that was killed.
const staleTempFileAge = time.Minute

// RemoveStaleTempFiles removes temporary files left by processes that were killed between creating and renaming them.
func RemoveStaleTempFiles(dir string) {
	paths, err := filepath.Glob(filepath.Join(dir, FileName+".*"))
	if err != nil {
		return // Glob fails only for a malformed pattern
	}
	for _, path := range paths {
		info, err := os.Stat(path)
		if err == nil && info.Mode().IsRegular() && time.Since(info.ModTime()) > staleTempFileAge {
			_ = os.Remove(path) // the next process retries
		}
	}
}

// Read reads the state for the named broker from a directory. Its error wraps ErrNotFound if there is no file,
// ErrCorrupt or ErrMismatch if the file cannot be used, or else the error of the file system.
func Read(dir, broker string) (State, error) {
	// Without O_NONBLOCK, opening a named pipe with this name would wait for a writer, and the broker would never
	// start.
	file, err := os.OpenFile(filepath.Join(dir, FileName), os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if errors.Is(err, os.ErrNotExist) {
		return State{}, ErrNotFound
	}
	if err != nil {
		return State{}, fmt.Errorf("handover: read state: %w", err)
	}
	defer func() {
		_ = file.Close() // closing a file that was only read loses no data
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
