package durable

import (
	"errors"
	"maps"
	"math/rand/v2"
	"slices"
)

var errCrash = errors.New("simulated crash")

// faultyDir is an in-memory directory that loses unsynced data in a simulated crash: of the bytes written since a
// file's last sync all, some or none survive; the name changes since the last sync of the directory survive all
// or not at all.
type faultyDir struct {
	files      map[string]*fileContent // by name, as the process sees them
	synced     map[string]*fileContent // by name, as synced to disk
	untilCrash int                     // operations until the crash; negative: no crash
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

// step counts an operation and returns errCrash from the operation of the simulated crash on.
func (d *faultyDir) step() error {
	if d.untilCrash == 0 || d.crashed {
		d.crashed = true
		return errCrash
	}
	d.untilCrash--
	return nil
}

// restart simulates the restart after a crash: the files are those that survived on disk.
func (d *faultyDir) restart() {
	names := d.synced
	if d.rng.IntN(2) == 0 { // unsynced names may have reached the disk too
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

// survivingData returns the bytes of a file that survive a crash.
func (d *faultyDir) survivingData(c *fileContent) []byte {
	data := slices.Clone(c.synced)
	if unsynced := len(c.data) - len(c.synced); unsynced > 0 {
		data = append(data, c.data[len(c.synced):len(c.synced)+d.rng.IntN(unsynced+1)]...)
		if d.rng.IntN(3) == 0 && len(data) > len(c.synced) { // a block ahead of others may be unwritten
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
