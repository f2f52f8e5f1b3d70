package durable

import (
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var errCrash = errors.New("simulated crash")

// faultyDir is a directory in memory that loses unsynced data when it crashes: of the bytes written since a
// file's last sync all, some or none remain, and so of the names that changed since the directory was synced.
type faultyDir struct {
	files      map[string]*fileContent // as a process sees them
	synced     map[string]*fileContent // the names as the disk has them
	untilCrash int                     // operations until the crash; negative: none is planned
	full       bool                    // writes fail as on a full disk
	rng        *rand.Rand
	crashed    bool
}

type fileContent struct{ data, synced []byte }

func newFaultyDir(seed uint64) *faultyDir {
	return &faultyDir{
		files:      map[string]*fileContent{},
		synced:     map[string]*fileContent{},
		untilCrash: -1,
		rng:        rand.New(rand.NewPCG(seed, 0)),
	}
}

// step counts an operation; the one at which the crash is planned fails, and so do all after it.
func (d *faultyDir) step() error {
	if d.untilCrash == 0 || d.crashed {
		d.crashed = true
		return errCrash
	}
	d.untilCrash--
	return nil
}

// restart continues after a crash with what is on the disk.
func (d *faultyDir) restart() {
	names := d.synced
	if d.rng.IntN(2) == 0 { // the names may have been written nevertheless
		names = d.files
	}
	next := map[string]*fileContent{}
	for name, c := range names {
		data := d.survivingData(c)
		next[name] = &fileContent{data, slices.Clone(data)}
	}
	d.files, d.synced = next, maps.Clone(next)
	d.untilCrash, d.crashed, d.full = -1, false, false
}

// survivingData is what a crash leaves of a file.
func (d *faultyDir) survivingData(c *fileContent) []byte {
	data := slices.Clone(c.synced)
	if unsynced := len(c.data) - len(c.synced); unsynced > 0 {
		data = append(data, c.data[len(c.synced):len(c.synced)+d.rng.IntN(unsynced+1)]...)
		if d.rng.IntN(3) == 0 && len(data) > len(c.synced) { // blocks may be written in any order
			data[len(c.synced)+d.rng.IntN(len(data)-len(c.synced))] ^= 0xff
		}
	}
	return data
}

func (d *faultyDir) List() ([]string, error) { return slices.Sorted(maps.Keys(d.files)), d.step() }

func (d *faultyDir) Read(name string) ([]byte, error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	return slices.Clone(d.files[name].data), nil
}

func (d *faultyDir) Create(name string) (File, error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	c := &fileContent{}
	d.files[name] = c
	return &faultyFile{d, c}, nil
}

func (d *faultyDir) Append(name string) (File, error) {
	return &faultyFile{d, d.files[name]}, d.step()
}

func (d *faultyDir) Rename(from, to string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *faultyDir) Remove(name string) error {
	if err := d.step(); err != nil {
		return err
	}
	delete(d.files, name)
	return nil
}

func (d *faultyDir) Sync() error {
	if err := d.step(); err != nil {
		return err
	}
	d.synced = maps.Clone(d.files)
	return nil
}

type faultyFile struct {
	dir     *faultyDir
	content *fileContent
}

func (f *faultyFile) Write(p []byte) (int, error) {
	err := f.dir.step()
	n := len(p)
	if err != nil || f.dir.full {
		n = f.dir.rng.IntN(len(p)) // a partial write
		if err == nil {
			err = errors.New("no space left on device")
		}
	}
	f.content.data = append(f.content.data, p[:n]...)
	return n, err
}

func (f *faultyFile) Sync() error {
	if err := f.dir.step(); err != nil {
		return err
	}
	f.content.synced = slices.Clone(f.content.data)
	return nil
}

func (f *faultyFile) Close() error { return nil }

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
			if got != fmt.Sprint(confirmed) && got != fmt.Sprint(attempted) || st.Lost != "" {
				t.Fatalf(
					"seed %d, operation %d: found %s, confirmed were %v; lost %q",
					seed,
					operation,
					got,
					confirmed,
					st.Lost,
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
		if errors.Is(err, ErrNewer) {
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
		if _, aside := d.files["damaged-"+generationName(s.generation)]; st.Lost != "" && !aside {
			t.Fatalf("bit %d: %s, but no file was set aside", bit, st.Lost)
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
	if err := s.Append([]byte("x")); !errors.Is(err, ErrFailed) {
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
	if err != nil || history(st) != fmt.Sprint(confirmed) || st.Lost != "" {
		t.Fatalf("%s of %v, lost %q, %v", history(st), confirmed, st.Lost, err)
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
	if _, _, err := Open(d); !errors.Is(err, ErrNewer) {
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
