// Package durable implements a crash-safe store of a short history: a write-ahead log of records, and a
// snapshot that replaces the records before it. A record that Append has confirmed survives a crash at any
// moment. Damage is reported, and the damaged file is retained under another name; lost data is never
// reconstructed by guessing.
//
// A generation is a file log-N. It begins with the magic and the format version, followed by records of
// length, CRC-32C and content, the first of which is the snapshot. A new generation is written to a
// temporary file, synced, and renamed; only then is the previous one removed.
package durable

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Errors of a Store, to be tested with errors.Is.
var (
	// ErrNewerVersion reports a store that was written in a newer format version than this package supports.
	ErrNewerVersion = errors.New("durable: written by a newer version")

	// ErrTooLarge reports a record or snapshot of more than MaxRecordBytes bytes.
	ErrTooLarge = errors.New("durable: record too large")

	// ErrWriteFailed reports that an earlier write failed, so that the state of the end of the file is
	// unknown. A successful Compact repairs the store.
	ErrWriteFailed = errors.New("durable: an earlier write failed")
)

// Prefixes of the file names in a store's directory.
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

// Dir is a directory that a single store uses exclusively.
type Dir interface {
	// List returns the names of the files.
	List() ([]string, error)
	// Read returns the content of a file.
	Read(name string) ([]byte, error)
	// Create creates an empty file; an existing one is truncated.
	Create(name string) (File, error)
	// Append opens an existing file for writing at its end.
	Append(name string) (File, error)
	// Rename renames a file; an existing file of the new name is replaced.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// Sync makes creations, renames and removals of files durable.
	Sync() error
}

// State is the content of a store when it was opened.
type State struct {
	Snapshot []byte   // nil in a new store
	Records  [][]byte // appended since the snapshot
	// Damage describes the data that could not be read; it is empty if there is none. A record whose write was
	// interrupted by a crash was never confirmed and doesn't count as damage.
	Damage string
}

// Store is an open store. It is not safe for concurrent use.
type Store struct {
	dir        Dir
	generation uint64
	file       File
	failed     bool // a write failed: the state of the end of file is unknown
}

// generationName returns the file name of generation n.
func generationName(n uint64) string { return fmt.Sprintf("%s%016d", generationPrefix, n) }

// parseGenerationName returns the generation number in a file name, and reports whether there is one.
func parseGenerationName(name string) (uint64, bool) {
	digits, ok := strings.CutPrefix(name, generationPrefix)
	if !ok {
		return 0, false
	}
	n, err := strconv.ParseUint(digits, 10, 64)
	return n, err == nil
}

// Open reads the content of a directory and starts a new generation with it, to which records can be appended.
// If only the start of the generation fails, Open returns the State along with the error.
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
	// The last record of the old file may be truncated, so nothing is appended there: the records are copied
	// to a new generation.
	if err := s.startGeneration(state.Snapshot, state.Records); err != nil {
		return nil, state, err
	}
	return s, state, nil
}

// listGenerations returns the numbers of the generation files in ascending order.
func listGenerations(dir Dir) ([]uint64, error) {
	names, err := dir.List()
	if err != nil {
		return nil, fmt.Errorf("durable: list files: %w", err)
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

// recover reads the latest generation that has a readable record, and renames damaged files so that they are
// retained.
func (s *Store) recover(generations []uint64) (State, error) {
	var state State
	var lost []string
	for _, n := range slices.Backward(generations) {
		name := generationName(n)
		file, err := s.dir.Read(name)
		if err != nil {
			return State{}, fmt.Errorf("durable: read generation: %w", err)
		}
		records, damage, err := decodeGeneration(file)
		if err != nil {
			return State{}, fmt.Errorf("%s: %w", name, err)
		}
		if damage != "" {
			lost = append(lost, name+": "+damage)
			if err := s.dir.Rename(name, damagedPrefix+name); err != nil {
				return State{}, fmt.Errorf("durable: rename damaged generation: %w", err)
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

// Append adds a record, which is durable once Append has returned nil. After a failed write it returns
// ErrWriteFailed until Compact has succeeded.
func (s *Store) Append(record []byte) error {
	if s.failed {
		return ErrWriteFailed
	}
	if err := checkSize(record); err != nil {
		return err
	}
	// After a failed sync the state of the file is unknown, and a retried sync may succeed without having
	// written the data.
	if err := writeAndSync(s.file, appendRecord(nil, record)); err != nil {
		s.failed = true
		return fmt.Errorf("durable: append record: %w", err)
	}
	return nil
}

// Compact replaces all content by a snapshot. If it fails, everything that was confirmed before remains durable.
func (s *Store) Compact(snapshot []byte) error {
	if err := checkSize(snapshot); err != nil {
		return err
	}
	return s.startGeneration(snapshot, nil)
}

func checkSize(record []byte) error {
	if len(record) > MaxRecordBytes {
		return fmt.Errorf("%w: got %d bytes, at most %d are allowed", ErrTooLarge, len(record), MaxRecordBytes)
	}
	return nil
}

func writeAndSync(f File, content []byte) error {
	if _, err := f.Write(content); err != nil {
		return err
	}
	return f.Sync()
}

// startGeneration writes a new generation, appends further records to it, and removes the previous one.
func (s *Store) startGeneration(snapshot []byte, records [][]byte) error {
	previous, next := s.generation, s.generation+1
	if err := s.writeGeneration(next, encodeGeneration(snapshot, records)); err != nil {
		return fmt.Errorf("durable: write generation: %w", err)
	}
	file, err := s.dir.Append(generationName(next))
	if err != nil {
		return fmt.Errorf("durable: open generation for appending: %w", err)
	}
	if s.file != nil {
		_ = s.file.Close() // the new generation has replaced it
	}
	s.file, s.generation, s.failed = file, next, false
	s.removeObsolete(previous)
	return nil
}

// writeGeneration creates a generation file atomically.
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

// removeObsolete removes the generations up to upTo, and all temporary files but that of the current generation.
// Errors are ignored: a remaining file is removed at the next call.
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
			_ = s.dir.Remove(name)
		}
	}
}

// Close closes the store. It writes nothing, as every confirmed record is durable already.
func (s *Store) Close() error { return s.file.Close() }
