// Package durable keeps a short history on a disk through crashes: records that are appended one at a time and a
// snapshot that stands for those before it. What Append has confirmed is there after a crash at any moment; what can't be
// read is said openly, set aside and never guessed at.
//
// The form: a generation is a file log-N. It begins with the magic and the version, then has records of length, CRC-32C and
// content, the first of which is the snapshot. A new generation is written whole under another name, synced, and renamed;
// only then does the one before go.
package durable

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"slices"
	"strconv"
	"strings"
)

const (
	magic   = "wlanlog1"
	version = 1
	headLen = len(magic) + 4
	frame   = 8 // length and checksum
	// MaxRecord is the largest record or snapshot, in bytes.
	MaxRecord = 16 << 20
)

// Errors of a store.
var (
	ErrNewer    = errors.New("durable: written by a newer version")
	ErrTooLarge = errors.New("durable: record too large")
	// ErrFailed says that a write failed, so that what is at the file's end is not known. A Compact that succeeds puts
	// the store right.
	ErrFailed = errors.New("durable: a write failed before")
)

// File is a file that is written.
type File interface {
	Write(p []byte) (int, error)
	Sync() error
	Close() error
}

// Dir is a folder of a store's own.
type Dir interface {
	List() ([]string, error)
	Read(name string) ([]byte, error)
	Create(name string) (File, error) // empty, even if it was there
	Append(name string) (File, error)
	Rename(from, to string) error
	Remove(name string) error
	Sync() error // of the folder itself
}

// State is what a store held when it was opened.
type State struct {
	Snapshot []byte // nil in a new store
	Records  [][]byte
	// Lost says what could not be read, empty if nothing. A record that was being written when the machine stopped was
	// never confirmed and is not lost.
	Lost string
}

// Store is an open store. It is not safe for concurrent use.
type Store struct {
	dir    Dir
	number uint64
	file   File
	failed bool
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func name(n uint64) string { return fmt.Sprintf("log-%016d", n) }

// Open reads what a folder holds and makes it ready for more.
func Open(dir Dir) (*Store, State, error) {
	files, err := dir.List()
	if err != nil {
		return nil, State{}, fmt.Errorf("durable: %w", err)
	}
	var numbers []uint64
	for _, f := range files {
		if digits, ok := strings.CutPrefix(f, "log-"); ok {
			if n, err := strconv.ParseUint(digits, 10, 64); err == nil && name(n) == f {
				numbers = append(numbers, n)
			}
		}
	}
	slices.Sort(numbers)
	s := &Store{dir: dir}
	var st State
	var lost []string
	for i := len(numbers) - 1; i >= 0; i-- {
		s.number = max(s.number, numbers[i])
		text, err := dir.Read(name(numbers[i]))
		if err != nil {
			return nil, State{}, fmt.Errorf("durable: %w", err)
		}
		records, why, err := parse(text)
		if err != nil {
			return nil, State{}, fmt.Errorf("%s: %w", name(numbers[i]), err)
		}
		if why != "" {
			lost = append(lost, name(numbers[i])+": "+why)
			if err := dir.Rename(name(numbers[i]), "damaged-"+name(numbers[i])); err != nil {
				return nil, State{}, fmt.Errorf("durable: %w", err)
			}
		}
		if len(records) > 0 {
			st.Snapshot, st.Records = records[0], records[1:]
			break
		}
	}
	st.Lost = strings.Join(lost, "; ")
	// A generation of its own: what is at the end of the old file may be torn, and is not written behind. Records go
	// along behind the snapshot.
	if err := s.rotate(st.Snapshot, st.Records); err != nil {
		return nil, st, err
	}
	return s, st, nil
}

// parse reads the records of a generation. why says what is wrong with it beyond a last record that is cut off.
func parse(text []byte) (records [][]byte, why string, err error) {
	if len(text) < headLen || string(text[:len(magic)]) != magic {
		return nil, "it does not begin as a store does", nil
	}
	switch v := binary.BigEndian.Uint32(text[len(magic):]); {
	case v > version:
		return nil, "", fmt.Errorf("%w: %d, this is %d", ErrNewer, v, version)
	case v < 1:
		return nil, "its version is one that never was", nil
	}
	for at := headLen; at < len(text); {
		record, ok := whole(text[at:])
		if !ok {
			// What was being written when the machine stopped is at the end; a record behind it was confirmed.
			if follows(text[at+1:]) {
				why = fmt.Sprintf("record %d can't be read; %d bytes are not read", len(records), len(text)-at)
			}
			return records, why, nil
		}
		records = append(records, record)
		at += frame + len(record)
	}
	return records, "", nil
}

// whole reads the record at the front of b, if it is there whole and right.
func whole(b []byte) ([]byte, bool) {
	if len(b) < frame {
		return nil, false
	}
	n := int(binary.BigEndian.Uint32(b))
	if n > MaxRecord || n > len(b)-frame || checksum(b[:4], b[frame:frame+n]) != binary.BigEndian.Uint32(b[4:]) {
		return nil, false
	}
	return b[frame : frame+n], true
}

// mostLook bounds how far a whole record is looked for behind one that can't be read.
const mostLook = 64 << 10

// follows tells whether a whole record begins anywhere in b.
func follows(b []byte) bool {
	for i := range min(len(b), mostLook) {
		if _, ok := whole(b[i:]); ok {
			return true
		}
	}
	return false
}

// checksum is that of a record with its length. Guards against zeros, which a file system may leave behind, that would
// else pass for empty records.
func checksum(length, record []byte) uint32 {
	return crc32.Update(crc32.Checksum(length, castagnoli), castagnoli, record)
}

func appendRecord(dst, record []byte) []byte {
	at := len(dst)
	dst = binary.BigEndian.AppendUint32(dst, uint32(len(record)))
	dst = binary.BigEndian.AppendUint32(dst, checksum(dst[at:at+4], record))
	return append(dst, record...)
}

// Append adds a record. Once it returns nil, the record is on the disk.
func (s *Store) Append(record []byte) error {
	switch {
	case s.failed:
		return ErrFailed
	case len(record) > MaxRecord:
		return fmt.Errorf("%w: %d bytes, %d at most", ErrTooLarge, len(record), MaxRecord)
	}
	if _, err := s.file.Write(appendRecord(nil, record)); err != nil {
		s.failed = true
		return fmt.Errorf("durable: %w", err)
	}
	if err := s.file.Sync(); err != nil {
		s.failed = true // what a failed sync leaves is not known, and a second one may pass without writing
		return fmt.Errorf("durable: %w", err)
	}
	return nil
}

// Compact puts a snapshot in the place of all that was there. If it fails, all that was confirmed before is there still.
func (s *Store) Compact(snapshot []byte) error {
	if len(snapshot) > MaxRecord {
		return fmt.Errorf("%w: %d bytes, %d at most", ErrTooLarge, len(snapshot), MaxRecord)
	}
	return s.rotate(snapshot, nil)
}

// rotate begins a new generation.
func (s *Store) rotate(snapshot []byte, records [][]byte) error {
	text := binary.BigEndian.AppendUint32([]byte(magic), version)
	text = appendRecord(text, snapshot)
	for _, r := range records {
		text = appendRecord(text, r)
	}
	next := s.number + 1
	draft := "draft-" + name(next)
	f, err := s.dir.Create(draft)
	if err != nil {
		return fmt.Errorf("durable: %w", err)
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if err := errors.Join(err, f.Close()); err != nil {
		return fmt.Errorf("durable: %w", err)
	}
	if err := s.dir.Rename(draft, name(next)); err != nil {
		return fmt.Errorf("durable: %w", err)
	}
	if err := s.dir.Sync(); err != nil {
		return fmt.Errorf("durable: %w", err)
	}
	f, err = s.dir.Append(name(next))
	if err != nil {
		return fmt.Errorf("durable: %w", err)
	}
	if s.file != nil {
		s.file.Close() // all in it was synced
	}
	old := s.number
	s.file, s.number, s.failed = f, next, false
	s.sweep(old)
	return nil
}

// sweep removes generations that a newer one stands for, and drafts. One that can't be removed does no harm.
func (s *Store) sweep(upTo uint64) {
	files, err := s.dir.List()
	if err != nil {
		return
	}
	for _, f := range files {
		digits, isLog := strings.CutPrefix(f, "log-")
		n, err := strconv.ParseUint(digits, 10, 64)
		if isLog && err == nil && n <= upTo || strings.HasPrefix(f, "draft-") && f != "draft-"+name(s.number) {
			s.dir.Remove(f) //nolint:errcheck // see above
		}
	}
}

// Close closes the store. All that was confirmed is on the disk already.
func (s *Store) Close() error { return s.file.Close() }
