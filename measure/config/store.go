package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"wheatlane/internal/durable"
)

const (
	recordBytes    = 200
	comparedAt     = 1000 // records in the store when appending is compared with rewriting
	compareFor     = time.Second
	tempDirPattern = "measure"
)

// measureStore measures how long it takes to open a store in the directory for temporary files, and compares how often
// per second it appends a record with how often it rewrites all records.
func measureStore() (err error) {
	dir, err := os.MkdirTemp("", tempDirPattern)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, os.RemoveAll(dir)) }()
	for _, n := range []int{100, 1000, 10_000, 100_000} {
		if err := measureStoreOf(n, filepath.Join(dir, fmt.Sprint(n))); err != nil {
			return err
		}
	}
	return nil
}

// measureStoreOf measures a store of n records.
func measureStoreOf(n int, path string) error {
	disk, err := durable.NewDisk(path)
	if err != nil {
		return err
	}
	record := make([]byte, recordBytes)
	if err := fill(disk, record, n); err != nil {
		return err
	}
	start := time.Now()
	s, state, err := durable.Open(disk)
	if err != nil {
		return err
	}
	if len(state.Records) != n {
		return fmt.Errorf("recovered %d of %d records", len(state.Records), n)
	}
	printResult(fmt.Sprintf("recovery_of_%d_records", n), milliseconds(time.Since(start)), "ms")
	if n == comparedAt {
		err = compareWrites(s, record, n)
	}
	return errors.Join(err, s.Close())
}

// compareWrites measures the rates of appending a record and of rewriting all n records.
func compareWrites(s *durable.Store, record []byte, n int) error {
	all := make([]byte, n*len(record))
	return errors.Join(
		measureWrites("store_log", func() error { return s.Append(record) }),
		measureWrites("store_rewrite_of_1000_records", func() error { return s.Compact(all) }),
	)
}

// measureWrites measures how many times per second an operation succeeds.
func measureWrites(name string, operation func() error) error {
	start, count := time.Now(), 0
	for ; time.Since(start) < compareFor; count++ {
		if err := operation(); err != nil {
			return err
		}
	}
	printResult(name, float64(count)/time.Since(start).Seconds(), "writes/s")
	return nil
}

// unsyncedDisk is a disk that does not sync appended records, as syncing a hundred thousand of them would take minutes.
type unsyncedDisk struct{ *durable.Disk }

// Append opens an existing file for appending. Sync of the file does nothing.
func (d unsyncedDisk) Append(name string) (durable.File, error) {
	f, err := d.Disk.Append(name)
	return unsyncedFile{f}, err
}

type unsyncedFile struct{ durable.File }

// Sync does nothing.
func (unsyncedFile) Sync() error { return nil }

// fill creates a store with n records, without syncing each of them.
func fill(disk *durable.Disk, record []byte, n int) error {
	s, _, err := durable.Open(unsyncedDisk{disk})
	if err != nil {
		return err
	}
	for range n {
		if err := s.Append(record); err != nil {
			return err
		}
	}
	return s.Close()
}
