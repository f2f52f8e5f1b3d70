// Package durable keeps a short history on a disk through crashes: a write-ahead log of records, and a
// snapshot that stands for the records before it. A record that Append has confirmed survives a crash at any
// moment; damage is reported and set aside, and never guessed at.
//
// A generation is a file log-N. It begins with the magic and the format version, followed by records of
// length, CRC-32C and content, the first of which is the snapshot. A new generation is written under a
// temporary name, synced, and renamed; only then is the previous one removed.
package durable

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Errors of a store.
var (
	// ErrNewerVersion reports a store that was written in a later format version.
	ErrNewerVersion = errors.New("durable: written by a newer version")

	// ErrTooLarge reports a record or snapshot of more than MaxRecordBytes bytes.
	ErrTooLarge = errors.New("durable: record too large")

	// ErrWriteFailed reports that an earlier write failed, so that the end of the file is unknown. A Compact
	// that succeeds repairs the store.
	ErrWriteFailed = errors.New("durable: a write failed before")
)

// The names of files in a store's directory.
const (
	generationPrefix = "log-"
	temporaryPrefix  = "draft-"
	damagedPrefix    = "damaged-"
)

// File is a file open for writing.
type File interface {
	Write(p []byte) (int, error)
	Sync() error
	Close() error
}

// Dir is a directory that a store has for itself.
type Dir interface {
	// List returns the names of the files.
	List() ([]string, error)
	// Read returns the content of a file.
	Read(name string) ([]byte, error)
	// Create makes an empty file; an existing one is truncated.
	Create(name string) (File, error)
	// Append opens an existing file to write at its end.
	Append(name string) (File, error)
	// Rename renames a file; an existing one of the new name is replaced.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// Sync makes the names of the files durable.
	Sync() error
}

// State is the content of a store when it was opened.
type State struct {
	Snapshot []byte   // nil in a new store
	Records  [][]byte // appended since the snapshot
	// Damage describes what could not be read, empty if nothing. A record that was being written during a
	// crash was never confirmed and is not lost.
	Damage string
}

// Store is an open store. It is not safe for concurrent use.
type Store struct {
	dir        Dir
	generation uint64
	file       File
	failed     bool // what is at the end of file is unknown
}

// generationName returns the file name of a generation.
func generationName(n uint64) string { return fmt.Sprintf("%s%016d", generationPrefix, n) }

// parseGenerationName returns the number of a generation file.
func parseGenerationName(name string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, generationPrefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 10, 64)
	return n, err == nil
}

// Open reads the content of a directory and prepares it for more records.
func Open(dir Dir) (*Store, State, error) {
	generations, err := listGenerations(dir)
	if err != nil {
		return nil, State{}, err
	}
	s := &Store{dir: dir}
	if n := len(generations); n > 0 {
		s.generation = generations[n-1]
	}
	state, err := s.recover(generations)
	if err != nil {
		return nil, State{}, err
	}
	// The end of the old file may be truncated, so nothing is appended there: the records move to a new
	// generation.
	if err := s.startGeneration(state.Snapshot, state.Records); err != nil {
		return nil, state, err
	}
	return s, state, nil
}

// listGenerations returns the numbers of the generation files, ascending.
func listGenerations(dir Dir) ([]uint64, error) {
	names, err := dir.List()
	if err != nil {
		return nil, fmt.Errorf("durable: %w", err)
	}
	var generations []uint64
	for _, name := range names {
		if n, ok := parseGenerationName(name); ok && generationName(n) == name {
			generations = append(generations, n)
		}
	}
	slices.Sort(generations)
	return generations, nil
}

// recover reads the latest generation that has any record, and sets damaged files aside.
func (s *Store) recover(generations []uint64) (State, error) {
	var state State
	var lost []string
	for _, n := range slices.Backward(generations) {
		name := generationName(n)
		file, err := s.dir.Read(name)
		if err != nil {
			return State{}, fmt.Errorf("durable: %w", err)
		}
		records, damage, err := decodeGeneration(file)
		if err != nil {
			return State{}, fmt.Errorf("%s: %w", name, err)
		}
		if damage != "" {
			lost = append(lost, name+": "+damage)
			if err := s.dir.Rename(name, damagedPrefix+name); err != nil {
				return State{}, fmt.Errorf("durable: %w", err)
			}
		}
		if len(records) > 0 {
			state.Snapshot, state.Records = records[0], records[1:]
			break
		}
	}
	state.Damage = strings.Join(lost, "; ")
	return state, nil
}

// Append adds a record. Once it returns nil, the record is durable.
func (s *Store) Append(record []byte) error {
	if s.failed {
		return ErrWriteFailed
	}
	if err := checkSize(record); err != nil {
		return err
	}
	// After a failed sync the state of the file is unknown, and a second sync may succeed without
	// writing.
	if err := writeAndSync(s.file, appendRecord(nil, record)); err != nil {
		s.failed = true
		return fmt.Errorf("durable: %w", err)
	}
	return nil
}

// Compact replaces all content by a snapshot. If it fails, all that was confirmed before is still there.
func (s *Store) Compact(snapshot []byte) error {
	if err := checkSize(snapshot); err != nil {
		return err
	}
	return s.startGeneration(snapshot, nil)
}

func checkSize(record []byte) error {
	if len(record) > MaxRecordBytes {
		return fmt.Errorf("%w: %d bytes, %d at most", ErrTooLarge, len(record), MaxRecordBytes)
	}
	return nil
}

func writeAndSync(f File, content []byte) error {
	if _, err := f.Write(content); err != nil {
		return err
	}
	return f.Sync()
}

// startGeneration writes a new generation and continues there.
func (s *Store) startGeneration(snapshot []byte, records [][]byte) error {
	previous, next := s.generation, s.generation+1
	if err := s.writeGeneration(next, encodeGeneration(snapshot, records)); err != nil {
		return fmt.Errorf("durable: %w", err)
	}
	file, err := s.dir.Append(generationName(next))
	if err != nil {
		return fmt.Errorf("durable: %w", err)
	}
	if s.file != nil {
		_ = s.file.Close() // all its content was synced
	}
	s.file, s.generation, s.failed = file, next, false
	s.removeObsolete(previous)
	return nil
}

// writeGeneration makes a complete generation file appear at once.
func (s *Store) writeGeneration(n uint64, content []byte) error {
	temporary := temporaryPrefix + generationName(n)
	f, err := s.dir.Create(temporary)
	if err != nil {
		return err
	}
	if err := errors.Join(writeAndSync(f, content), f.Close()); err != nil {
		return err
	}
	if err := s.dir.Rename(temporary, generationName(n)); err != nil {
		return err
	}
	return s.dir.Sync()
}

// removeObsolete removes the generations up to the given one and temporary files, except that of the current
// generation.
func (s *Store) removeObsolete(upTo uint64) {
	names, err := s.dir.List()
	if err != nil {
		return
	}
	current := temporaryPrefix + generationName(s.generation)
	for _, name := range names {
		n, isGeneration := parseGenerationName(name)
		isTemporary := strings.HasPrefix(name, temporaryPrefix)
		if isGeneration && n <= upTo || isTemporary && name != current {
			_ = s.dir.Remove(name) // a file that remains does no harm
		}
	}
}

// Close closes the store. All that was confirmed is durable already.
func (s *Store) Close() error { return s.file.Close() }
