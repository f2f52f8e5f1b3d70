package durable

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// write appends and compacts until an operation fails. It returns what was confirmed, and what would have
// been with the operation that failed.
func write(s *Store, from []string, operations int) (confirmed, attempted []string) {
	confirmed = from
	for i := range operations {
		if i%7 == 6 {
			if s.Compact([]byte(fmt.Sprint(confirmed))) != nil {
				return confirmed, confirmed
			}
			continue
		}
		next := append(slices.Clone(confirmed), fmt.Sprintf("record %d of %d", len(confirmed), i))
		if s.Append([]byte(next[len(next)-1])) != nil {
			return confirmed, next
		}
		confirmed = next
	}
	return confirmed, confirmed
}

// history is all records of a state, in the form of the snapshots that write makes.
func history(st State) string {
	var all string
	if len(st.Snapshot) > 0 {
		all = string(st.Snapshot[1 : len(st.Snapshot)-1])
	}
	for _, r := range st.Records {
		if all != "" {
			all += " "
		}
		all += string(r)
	}
	return "[" + all + "]"
}

// A crash at each single operation, and another one while the store is opened again: all that was confirmed
// is there, and nothing that was never written.
func TestCrashAtEveryOperation(t *testing.T) {
	for seed := range uint64(20) {
		for operation := 0; ; operation++ {
			d := newFaultyDir(seed)
			s, _, err := Open(d)
			if err != nil {
				t.Fatal(err)
			}
			d.untilCrash = operation
			confirmed, attempted := write(s, nil, 20)
			if !d.crashed {
				break // all operations have had their crash
			}
			crashWhileOpening(d, int(seed)%6)
			_, st, err := Open(d)
			if err != nil {
				t.Fatalf("seed %d, operation %d: %v", seed, operation, err)
			}
			got := history(st)
			if got != fmt.Sprint(confirmed) && got != fmt.Sprint(attempted) || st.Damage != "" {
				t.Fatalf(
					"seed %d, operation %d: found %s, confirmed were %v; lost %q",
					seed,
					operation,
					got,
					confirmed,
					st.Damage,
				)
			}
		}
	}
}

// crashWhileOpening restarts and opens a store, with a crash after a number of operations if it takes that
// many.
func crashWhileOpening(d *faultyDir, operations int) {
	d.restart()
	d.untilCrash = operations
	s, _, err := Open(d)
	if err != nil {
		d.restart()
	}
	d.untilCrash = -1
	if err == nil {
		_ = s.Close() // it does not fail
	}
}

// A flipped bit is detected wherever it is: the records before it are there, and damage is reported and set
// aside.
func TestBitFlip(t *testing.T) {
	for bit := range 8 * 100 {
		d := newFaultyDir(1)
		s, _, err := Open(d)
		if err != nil {
			t.Fatal(err)
		}
		confirmed, _ := write(s, nil, 5)
		file := d.files[generationName(s.generation)]
		if bit/8 >= len(file.data) {
			break
		}
		file.data[bit/8] ^= 1 << (bit % 8)
		_, st, err := Open(d)
		if errors.Is(err, ErrNewerVersion) {
			continue // the bit is in the version
		}
		if err != nil {
			t.Fatal(err)
		}
		got := history(st)
		if got == fmt.Sprint(confirmed) {
			t.Fatalf("bit %d: not detected", bit)
		}
		if !isProperPrefix(got, confirmed) {
			t.Fatalf("bit %d: found %s of %v", bit, got, confirmed)
		}
		if _, aside := d.files["damaged-"+generationName(s.generation)]; st.Damage != "" && !aside {
			t.Fatalf("bit %d: %s, but no file was set aside", bit, st.Damage)
		}
	}
}

// On a full disk operations fail; what was confirmed stays, and once there is space the store continues.
func TestFullDisk(t *testing.T) {
	d := newFaultyDir(3)
	s, _, err := Open(d)
	if err != nil {
		t.Fatal(err)
	}
	confirmed, _ := write(s, nil, 4)
	d.full = true
	if err := s.Append([]byte("x")); err == nil {
		t.Fatal("a record was confirmed on a full disk")
	}
	if err := s.Compact([]byte(fmt.Sprint(confirmed))); err == nil {
		t.Fatal("a snapshot was confirmed on a full disk")
	}
	d.full = false
	if err := s.Append([]byte("x")); !errors.Is(err, ErrWriteFailed) {
		t.Fatalf("append after a failed write: %v", err)
	}
	if err := s.Compact([]byte(fmt.Sprint(confirmed))); err != nil {
		t.Fatal(err)
	}
	if confirmed, _ = write(s, confirmed, 3); len(confirmed) != 7 {
		t.Fatal("the store does not continue")
	}
	_, st, err := Open(d)
	if diff := cmp.Diff(fmt.Sprint(confirmed), history(st)); diff != "" || err != nil {
		t.Fatal(diff, err)
	}
}

// Zeros behind the last record, as some file systems leave them, are no records.
func TestTrailingZeros(t *testing.T) {
	d := newFaultyDir(1)
	s, _, err := Open(d)
	if err != nil {
		t.Fatal(err)
	}
	confirmed, _ := write(s, nil, 3)
	file := d.files[generationName(s.generation)]
	file.data = append(file.data, make([]byte, 4096)...)
	_, st, err := Open(d)
	if err != nil || history(st) != fmt.Sprint(confirmed) || st.Damage != "" {
		t.Fatalf("%s of %v, lost %q, %v", history(st), confirmed, st.Damage, err)
	}
}

// A store of a newer format version is left unchanged.
func TestNewerVersion(t *testing.T) {
	d := newFaultyDir(1)
	s, _, err := Open(d)
	if err != nil {
		t.Fatal(err)
	}
	file := d.files[generationName(s.generation)]
	file.data[headerBytes-1] = formatVersion + 1
	before := slices.Clone(file.data)
	if _, _, err := Open(d); !errors.Is(err, ErrNewerVersion) {
		t.Fatalf("%v", err)
	}
	if !slices.Equal(d.files[generationName(s.generation)].data, before) {
		t.Fatal("the file was changed")
	}
}

// The same on a real disk, without faults.
func TestDisk(t *testing.T) {
	d, err := NewDisk(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	var confirmed []string
	for range 3 {
		s, st, err := Open(d)
		if err != nil || history(st) != fmt.Sprint(confirmed) {
			t.Fatalf("%s of %v, %v", history(st), confirmed, err)
		}
		confirmed, _ = write(s, confirmed, 10)
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
	files, err := d.List()
	if err != nil || len(files) != 1 {
		t.Fatalf("files %q remain, %v", files, err)
	}
}

// isProperPrefix reports whether a history is that of the first records, but not of all.
func isProperPrefix(got string, records []string) bool {
	for n := range records {
		if got == fmt.Sprint(records[:n]) {
			return true
		}
	}
	return false
}
