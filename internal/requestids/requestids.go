// Package requestids remembers the ids of requests that were accepted, so that a request whose id comes again is not
// run a second time: after its client has left, or at the other process of a broker during an upgrade. Both processes
// map one file into memory, so that each sees at once what the other has accepted.
package requestids

import (
	"errors"
	"fmt"
	"hash/fnv"
	"os"
	"sync/atomic"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"
)

const (
	buckets        = 4096
	slotsPerBucket = 8 // the oldest id of a bucket is forgotten when more are accepted
	tableBytes     = buckets * slotsPerBucket * wordBytes
	wordBytes      = 8

	// A slot holds a part of the hash of the id and, in seconds of the monotonic clock, when it expires. It is one word,
	// so that processes can change it atomically.
	expiryBits = 32
	expiryMask = 1<<expiryBits - 1

	filePerm = 0o600

	lockReleaseTime   = 250 * time.Millisecond
	lockRetryInterval = 5 * time.Millisecond
)

// Table holds ids until they expire. It is safe for concurrent use, also by several processes.
type Table struct {
	slots  []atomic.Uint64
	now    func() uint64 // in seconds
	memory []byte        // the mapped file; nil: not shared
}

// New returns a table of this process alone.
func New() *Table {
	return &Table{slots: make([]atomic.Uint64, buckets*slotsPerBucket), now: monotonicSeconds}
}

// Open returns the table that all living processes which have opened the same file share. The file is created if it
// does not exist. What processes that have ended have left in it is discarded: a killed broker begins from nothing.
func Open(path string) (*Table, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE, filePerm)
	if err != nil {
		return nil, fmt.Errorf("open table of request ids: %w", err)
	}
	memory, err := mapFile(file)
	if err := errors.Join(err, file.Close()); err != nil { // the mapping and its lock outlive the descriptor
		return nil, fmt.Errorf("map table of request ids: %w", err)
	}
	slots := unsafe.Slice((*atomic.Uint64)(unsafe.Pointer(&memory[0])), buckets*slotsPerBucket)
	return &Table{slots: slots, now: monotonicSeconds, memory: memory}, nil
}

// mapFile maps a file, extended to the size of a table, into memory. The mapping holds a lock, by which other processes
// see that this one is alive.
func mapFile(file *os.File) ([]byte, error) {
	descriptor := int(file.Fd())
	if lockedAlone(descriptor) {
		if err := file.Truncate(0); err != nil {
			return nil, err
		}
	}
	if err := unix.Flock(descriptor, unix.LOCK_SH); err != nil {
		return nil, err
	}
	if err := file.Truncate(tableBytes); err != nil {
		return nil, err
	}
	return unix.Mmap(descriptor, 0, tableBytes, unix.PROT_READ|unix.PROT_WRITE, unix.MAP_SHARED)
}

// lockedAlone locks a file unless another process is alive. The system releases the lock of a process that was killed
// shortly after its end, so it is tried again for a while.
func lockedAlone(descriptor int) bool {
	for end := time.Now().Add(lockReleaseTime); ; time.Sleep(lockRetryInterval) {
		if unix.Flock(descriptor, unix.LOCK_EX|unix.LOCK_NB) == nil {
			return true
		}
		if time.Now().After(end) {
			return false
		}
	}
}

// monotonicSeconds returns the time of a clock that all processes of this machine share and that is never stepped.
func monotonicSeconds() uint64 {
	var now unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &now) != nil {
		return 0 // ids do not expire
	}
	return uint64(now.Sec)
}

// Claim remembers an id for a time and reports whether it was not remembered before.
func (t *Table) Claim(id string, remember time.Duration) bool {
	hash := hashOf(id)
	bucket := t.slots[hash%buckets*slotsPerBucket:][:slotsPerBucket]
	tag := hash &^ expiryMask
	for {
		now := t.now()
		slot, claimed := findSlot(bucket, tag, now)
		if claimed {
			return false
		}
		old := slot.Load()
		if expiry(old) > now && old&^expiryMask == tag {
			return false // claimed meanwhile
		}
		if slot.CompareAndSwap(old, tag|(now+1+uint64(remember/time.Second))&expiryMask) {
			return true
		}
	}
}

// Release forgets an id.
func (t *Table) Release(id string) {
	hash := hashOf(id)
	bucket := t.slots[hash%buckets*slotsPerBucket:][:slotsPerBucket]
	for i := range bucket {
		if word := bucket[i].Load(); word&^expiryMask == hash&^expiryMask {
			bucket[i].CompareAndSwap(word, 0) // fails only if another process has changed it
		}
	}
}

// findSlot returns the slot to use for an id: the one that expires first. claimed is true if the id is remembered.
func findSlot(bucket []atomic.Uint64, tag, now uint64) (slot *atomic.Uint64, claimed bool) {
	slot = &bucket[0]
	for i := range bucket {
		word := bucket[i].Load()
		if expiry(word) > now && word&^expiryMask == tag {
			return nil, true
		}
		if expiry(word) < expiry(slot.Load()) {
			slot = &bucket[i]
		}
	}
	return slot, false
}

func expiry(word uint64) uint64 { return word & expiryMask }

func hashOf(id string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(id)) // never fails
	return hash.Sum64()
}
