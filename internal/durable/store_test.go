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

var errCrash = errors.New("the machine stopped")

// faulty is a folder in memory that loses what was not synced when it crashes: of each file what was written behind the
// last sync stays whole, in part or not at all, and so do names that were changed since the folder was synced.
type faulty struct {
	files  map[string]*content // as a process sees them
	synced map[string]*content // the names as the disk has them
	left   int                 // operations until the crash; negative: none comes
	full   bool                // the disk takes nothing more
	rng    *rand.Rand
	down   bool
}

type content struct{ data, synced []byte }

func newFaulty(seed uint64) *faulty {
	return &faulty{files: map[string]*content{}, synced: map[string]*content{}, left: -1, rng: rand.New(rand.NewPCG(seed, 0))}
}

// step counts an operation; the one at which the machine stops fails, and so do all after it.
func (d *faulty) step() error {
	if d.left == 0 || d.down {
		d.down = true
		return errCrash
	}
	d.left--
	return nil
}

// restart brings the machine up again with what the disk has.
func (d *faulty) restart() {
	names := d.synced
	if d.rng.IntN(2) == 0 { // the names may have come to the disk all the same
		names = d.files
	}
	next := map[string]*content{}
	for name, c := range names {
		data := slices.Clone(c.synced)
		if more := len(c.data) - len(c.synced); more > 0 {
			data = append(data, c.data[len(c.synced):len(c.synced)+d.rng.IntN(more+1)]...)
			if d.rng.IntN(3) == 0 && len(data) > len(c.synced) { // blocks may come in any order
				data[len(c.synced)+d.rng.IntN(len(data)-len(c.synced))] ^= 0xff
			}
		}
		next[name] = &content{data, slices.Clone(data)}
	}
	d.files, d.synced, d.left, d.down, d.full = next, maps.Clone(next), -1, false, false
}

func (d *faulty) List() ([]string, error) { return slices.Sorted(maps.Keys(d.files)), d.step() }

func (d *faulty) Read(name string) ([]byte, error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	return slices.Clone(d.files[name].data), nil
}

func (d *faulty) Create(name string) (File, error) {
	if err := d.step(); err != nil {
		return nil, err
	}
	c := &content{}
	d.files[name] = c
	return &handle{d, c}, nil
}

func (d *faulty) Append(name string) (File, error) { return &handle{d, d.files[name]}, d.step() }

func (d *faulty) Rename(from, to string) error {
	if err := d.step(); err != nil {
		return err
	}
	d.files[to] = d.files[from]
	delete(d.files, from)
	return nil
}

func (d *faulty) Remove(name string) error {
	if err := d.step(); err != nil {
		return err
	}
	delete(d.files, name)
	return nil
}

func (d *faulty) Sync() error {
	if err := d.step(); err != nil {
		return err
	}
	d.synced = maps.Clone(d.files)
	return nil
}

type handle struct {
	d *faulty
	c *content
}

func (h *handle) Write(p []byte) (int, error) {
	err := h.d.step()
	n := len(p)
	if err != nil || h.d.full {
		n = h.d.rng.IntN(len(p)) // a part of it
		if err == nil {
			err = errors.New("no space left on device")
		}
	}
	h.c.data = append(h.c.data, p[:n]...)
	return n, err
}

func (h *handle) Sync() error {
	if err := h.d.step(); err != nil {
		return err
	}
	h.c.synced = slices.Clone(h.c.data)
	return nil
}

func (h *handle) Close() error { return nil }

// run appends and compacts until something fails. It returns what was confirmed, and what was under way at the end.
func run(s *Store, from []string, steps int) (confirmed, under []string) {
	confirmed = from
	for i := range steps {
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

// state is all records that a state stands for, as run counts them.
func state(st State) string {
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

// The machine stops at each single operation of a day, and again while it comes up: what was confirmed is there, and
// nothing that was never written.
func TestACrashAtEveryOperation(t *testing.T) {
	for seed := range uint64(20) {
		for at := 0; ; at++ {
			d := newFaulty(seed)
			s, _, err := Open(d)
			if err != nil {
				t.Fatal(err)
			}
			d.left = at
			confirmed, under := run(s, nil, 20)
			if !d.down {
				break // the day was over before
			}
			d.restart()
			d.left = int(seed) % 6 // it may stop again while it opens
			if s, _, err = Open(d); err != nil {
				d.restart()
				d.left = -1
			}
			d.left = -1
			if s != nil && err == nil {
				s.Close()
			}
			_, st, err := Open(d)
			if err != nil {
				t.Fatalf("seed %d, operation %d: %v", seed, at, err)
			}
			if got := state(st); got != fmt.Sprint(confirmed) && got != fmt.Sprint(under) || st.Lost != "" {
				t.Fatalf("seed %d, operation %d: there is %s, confirmed is %v; lost %q", seed, at, got, confirmed, st.Lost)
			}
		}
	}
}

// A bit that flips is noticed, whatever it is in: what is before it is there, and what is not read is said and set aside.
func TestABitFlip(t *testing.T) {
	for bit := range 8 * 100 {
		d := newFaulty(1)
		s, _, err := Open(d)
		if err != nil {
			t.Fatal(err)
		}
		confirmed, _ := run(s, nil, 5)
		file := d.files[name(s.number)]
		if bit/8 >= len(file.data) {
			break
		}
		file.data[bit/8] ^= 1 << (bit % 8)
		_, st, err := Open(d)
		if errors.Is(err, ErrNewer) {
			continue // the version is what flipped
		}
		if err != nil {
			t.Fatal(err)
		}
		got := state(st)
		if got == fmt.Sprint(confirmed) {
			t.Fatalf("bit %d: not noticed", bit)
		}
		whole := false
		for n := range len(confirmed) {
			whole = whole || got == fmt.Sprint(confirmed[:n])
		}
		if !whole {
			t.Fatalf("bit %d: there is %s of %v", bit, got, confirmed)
		}
		if _, aside := d.files["damaged-"+name(s.number)]; st.Lost != "" && !aside {
			t.Fatalf("bit %d: %s, and nothing is set aside", bit, st.Lost)
		}
	}
}

// A full disk fails what it can't take; what was confirmed stays, and once there is room the store goes on.
func TestAFullDisk(t *testing.T) {
	d := newFaulty(3)
	s, _, err := Open(d)
	if err != nil {
		t.Fatal(err)
	}
	confirmed, _ := run(s, nil, 4)
	d.full = true
	if err := s.Append([]byte("x")); err == nil {
		t.Fatal("a full disk took a record")
	}
	if err := s.Compact([]byte(fmt.Sprint(confirmed))); err == nil {
		t.Fatal("a full disk took a snapshot")
	}
	d.full = false
	if err := s.Append([]byte("x")); !errors.Is(err, ErrFailed) {
		t.Fatalf("behind what may be torn: %v", err)
	}
	if err := s.Compact([]byte(fmt.Sprint(confirmed))); err != nil {
		t.Fatal(err)
	}
	if confirmed, _ = run(s, confirmed, 3); len(confirmed) != 7 {
		t.Fatal("it does not go on")
	}
	_, st, err := Open(d)
	if diff := cmp.Diff(fmt.Sprint(confirmed), state(st)); diff != "" || err != nil {
		t.Fatal(diff, err)
	}
}

// Zeros behind the last record, as some file systems leave them, are no records.
func TestZerosAtTheEnd(t *testing.T) {
	d := newFaulty(1)
	s, _, err := Open(d)
	if err != nil {
		t.Fatal(err)
	}
	confirmed, _ := run(s, nil, 3)
	file := d.files[name(s.number)]
	file.data = append(file.data, make([]byte, 4096)...)
	_, st, err := Open(d)
	if err != nil || state(st) != fmt.Sprint(confirmed) || st.Lost != "" {
		t.Fatalf("%s of %v, lost %q, %v", state(st), confirmed, st.Lost, err)
	}
}

// A folder of a newer version is left as it is.
func TestANewerVersion(t *testing.T) {
	d := newFaulty(1)
	s, _, err := Open(d)
	if err != nil {
		t.Fatal(err)
	}
	file := d.files[name(s.number)]
	file.data[headLen-1] = version + 1
	was := slices.Clone(file.data)
	if _, _, err := Open(d); !errors.Is(err, ErrNewer) {
		t.Fatalf("%v", err)
	}
	if !slices.Equal(d.files[name(s.number)].data, was) {
		t.Fatal("it was changed")
	}
}

// The same on a real disk, where nothing fails.
func TestADisk(t *testing.T) {
	d, err := NewDisk(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	var confirmed []string
	for range 3 {
		s, st, err := Open(d)
		if err != nil || state(st) != fmt.Sprint(confirmed) {
			t.Fatalf("%s of %v, %v", state(st), confirmed, err)
		}
		confirmed, _ = run(s, confirmed, 10)
		if err := s.Close(); err != nil {
			t.Fatal(err)
		}
	}
	files, err := d.List()
	if err != nil || len(files) != 1 {
		t.Fatalf("%q are left, %v", files, err)
	}
}
