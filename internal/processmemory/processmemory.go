// Package processmemory measures the memory of the own process: what the Go runtime reports, and the resident size that
// the system counts against a memory limit.
package processmemory

import (
	"bytes"
	"os"
	runtimemetrics "runtime/metrics"
	"strconv"
)

// Usage is the memory of a process at one time, in bytes.
type Usage struct {
	HeapBytes    int64 // live objects and those that are not collected yet
	LiveBytes    int64 // objects that the last collection found live
	RuntimeBytes int64 // all memory that the Go runtime has from the system
	NonHeapBytes int64 // of RuntimeBytes: stacks, and what the runtime needs for itself
	// ResidentBytes is the resident size, which includes the pages of the program file; 0 if the system does not tell it.
	ResidentBytes int64
	Collections   uint64 // garbage collections since the start
}

// The indexes of the samples that newSamples returns.
const (
	heapSample = iota
	unusedSample
	freeSample
	liveSample
	totalSample
	releasedSample
	collectionsSample
)

func newSamples() []runtimemetrics.Sample {
	return []runtimemetrics.Sample{
		heapSample:        {Name: "/memory/classes/heap/objects:bytes"},
		unusedSample:      {Name: "/memory/classes/heap/unused:bytes"},
		freeSample:        {Name: "/memory/classes/heap/free:bytes"},
		liveSample:        {Name: "/gc/heap/live:bytes"},
		totalSample:       {Name: "/memory/classes/total:bytes"},
		releasedSample:    {Name: "/memory/classes/heap/released:bytes"},
		collectionsSample: {Name: "/gc/cycles/total:gc-cycles"},
	}
}

const (
	// statmPath is a file of which the second field is the resident size in pages.
	statmPath  = "/proc/self/statm"
	statusPath = "/proc/self/status"

	maxStatmBytes = 256
	peakPrefix    = "VmHWM:"
	bytesPerKB    = 1 << 10
)

// Meter measures the own process. It is not safe for concurrent use.
type Meter struct {
	samples  []runtimemetrics.Sample
	statm    *os.File // nil if the system does not provide it
	text     [maxStatmBytes]byte
	pageSize int64
}

// NewMeter returns a meter. Its file is never closed: it is in use until the process ends.
func NewMeter() *Meter {
	m := &Meter{samples: newSamples(), pageSize: int64(os.Getpagesize())}
	if file, err := os.Open(statmPath); err == nil {
		m.statm = file
	}
	return m
}

// Read measures the process.
func (m *Meter) Read() Usage {
	runtimemetrics.Read(m.samples)
	value := func(index int) int64 { return int64(m.samples[index].Value.Uint64()) }
	runtimeBytes := value(totalSample) - value(releasedSample)
	return Usage{
		HeapBytes:     value(heapSample),
		LiveBytes:     value(liveSample),
		RuntimeBytes:  runtimeBytes,
		NonHeapBytes:  runtimeBytes - value(heapSample) - value(unusedSample) - value(freeSample),
		ResidentBytes: m.residentBytes(),
		Collections:   m.samples[collectionsSample].Value.Uint64(),
	}
}

// residentBytes returns the resident size, 0 if it is not known.
func (m *Meter) residentBytes() int64 {
	if m.statm == nil {
		return 0
	}
	n, _ := m.statm.ReadAt(m.text[:], 0) // the end of the file is no fault, and without a text the size is not known
	return parseResidentPages(m.text[:n]) * m.pageSize
}

// parseResidentPages returns the second field of the text of statmPath, 0 if it has none.
func parseResidentPages(text []byte) int64 {
	_, rest, _ := bytes.Cut(text, []byte(" "))
	resident, _, found := bytes.Cut(rest, []byte(" "))
	pages, err := strconv.ParseInt(string(resident), 10, 64)
	if err != nil || !found || pages < 0 {
		return 0
	}
	return pages
}

// PeakResidentBytes returns the largest resident size since the start of the process, 0 if it is not known.
func PeakResidentBytes() int64 {
	text, err := os.ReadFile(statusPath)
	if err != nil {
		return 0
	}
	return parsePeak(text)
}

// parsePeak returns the peak in the text of statusPath in bytes, 0 if there is none.
func parsePeak(text []byte) int64 {
	_, rest, _ := bytes.Cut(text, []byte(peakPrefix))
	value, _, found := bytes.Cut(rest, []byte("kB"))
	kilobytes, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
	if err != nil || !found || kilobytes < 0 {
		return 0
	}
	return kilobytes * bytesPerKB
}
