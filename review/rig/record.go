// Package rig holds the stand-ins of the review's cases: clients that speak the MySQL protocol, engines that speak
// RESP, a change log that speaks HTTP, and the platform, which starts and signals the broker's processes. It uses the
// standard library only, loopback addresses and the real clock.
package rig

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file that says what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, start: time.Now()}, nil
}

// Add writes one line with the time since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.4f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// At returns a time as the record prints it.
func (r *Record) At(t time.Time) float64 { return t.Sub(r.start).Seconds() }

// Close ends the file.
func (r *Record) Close() { _ = r.file.Close() }
