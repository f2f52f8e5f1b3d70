package durable

import (
	"errors"
	"fmt"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// write appends and compacts until an operation fails. It returns the confirmed records, and those that would have
// been confirmed if the failed operation had succeeded.
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

// history returns all records of a state in the format of the snapshots that write creates.
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

// A crash at any operation, followed by another one while the store is reopened, neither loses a confirmed record
// nor yields one that was never written.
func TestConfirmedRecordsSurviveCrashAtAnyOperation(t *testing.T) {
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
				break // a crash was simulated at every operation
			}
			crashWhileOpening(d, int(seed)%6)
			_, st, err := Open(d)
			if err != nil {
				t.Fatalf("seed %d, operation %d: %v", seed, operation, err)
			}
			got := history(st)
			if got != fmt.Sprint(confirmed) && got != fmt.Sprint(attempted) || st.Damage != "" {
				t.Fatalf(
					"seed %d, operation %d: found %s, want %v; damage %q",
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

// crashWhileOpening restarts the directory and opens a store, with a crash after the given number of operations if
// opening takes that many.
func crashWhileOpening(d *faultyDir, operations int) {
	d.restart()
	d.untilCrash = operations
	s, _, err := Open(d)
	if err != nil {
		d.restart()
	}
	d.untilCrash = -1
	if err == nil {
		_ = s.Close() // a faultyFile's Close never fails
	}
}

// A flipped bit is detected at any position: the records before it are read, and a file that is reported as damaged
// is retained under another name.
func TestBitFlipIsDetected(t *testing.T) {
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
			continue // the bit is in the format version
		}
		if err != nil {
			t.Fatal(err)
		}
		got := history(st)
		if got == fmt.Sprint(confirmed) {
			t.Fatalf("bit %d: not detected", bit)
		}
		if !isProperPrefix(got, confirmed) {
			t.Fatalf("bit %d: found %s, want a proper prefix of %v", bit, got, confirmed)
		}
		if _, retained := d.files["damaged-"+generationName(s.generation)]; st.Damage != "" && !retained {
			t.Fatalf("bit %d: damage %q, but the damaged file was not retained", bit, st.Damage)
		}
	}
}

// Operations on a full disk fail without losing confirmed records, and the store can be written again once there is
// space and a Compact has succeeded.
func TestStoreRecoversFromFullDisk(t *testing.T) {
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
		t.Fatalf("append after a failed write: got %v, want ErrWriteFailed", err)
	}
	if err := s.Compact([]byte(fmt.Sprint(confirmed))); err != nil {
		t.Fatal(err)
	}
	if confirmed, _ = write(s, confirmed, 3); len(confirmed) != 7 {
		t.Fatalf("%d records confirmed once there is space, want 7", len(confirmed))
	}
	_, st, err := Open(d)
	if diff := cmp.Diff(fmt.Sprint(confirmed), history(st)); diff != "" || err != nil {
		t.Fatalf("history after the repair differs (-want +got), error %v:\n%s", err, diff)
	}
}

// Zeros after the last record, which some file systems leave after a crash, are neither records nor damage.
func TestTrailingZerosAreIgnored(t *testing.T) {
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
		t.Fatalf("found %s, want %v; damage %q, error %v", history(st), confirmed, st.Damage, err)
	}
}

// Open must not modify a store of a newer format version, for example after a downgrade.
func TestNewerVersionIsLeftUnchanged(t *testing.T) {
	d := newFaultyDir(1)
	s, _, err := Open(d)
	if err != nil {
		t.Fatal(err)
	}
	file := d.files[generationName(s.generation)]
	file.data[headerBytes-1] = formatVersion + 1
	before := slices.Clone(file.data)
	if _, _, err := Open(d); !errors.Is(err, ErrNewerVersion) {
		t.Fatalf("got error %v, want ErrNewerVersion", err)
	}
	if !slices.Equal(d.files[generationName(s.generation)].data, before) {
		t.Fatal("the file was changed")
	}
}

// A store on a real file system, without faults, retains all records over restarts in a single file.
func TestStoreOnDiskRetainsRecords(t *testing.T) {
	d, err := NewDisk(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	var confirmed []string
	for range 3 {
		s, st, err := Open(d)
		if err != nil || history(st) != fmt.Sprint(confirmed) {
			t.Fatalf("found %s, want %v; error %v", history(st), confirmed, err)
		}
		confirmed, _ = write(s, confirmed, 10)
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
	files, err := d.List()
	if err != nil || len(files) != 1 {
		t.Fatalf("got files %q, error %v; want one file", files, err)
	}
}

// isProperPrefix reports whether a history holds the first records, but not all of them.
func isProperPrefix(got string, records []string) bool {
	for n := range records {
		if got == fmt.Sprint(records[:n]) {
			return true
		}
	}
	return false
}
