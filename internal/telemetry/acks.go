package telemetry

import (
	"bytes"

	"wheatlane/internal/fifo"
)

// sentChunk is a chunk of complete records that were encoded together.
type sentChunk struct {
	offset      int64 // offset of the first byte in the connection's stream
	firstRecord int
	nextRecord  int // record after the last one of the chunk
	data        []byte
}

// ackTracker derives the number of acknowledged records from the number of acknowledged bytes.
type ackTracker struct {
	// perLine counts a record when the end of its line is acknowledged. Otherwise a record counts when the end of
	// its chunk is acknowledged.
	perLine bool
	records int                   // acknowledged records of the interval being written
	end     int64                 // offset of the end of the last chunk
	pending fifo.Queue[sentChunk] // chunks not completely acknowledged
}

// add appends a chunk that is sent after the previous ones.
func (a *ackTracker) add(chunk sentChunk) {
	chunk.offset = a.end
	a.end += int64(len(chunk.data))
	a.pending.Push(chunk)
}

// outstanding reports whether any sent bytes are not acknowledged.
func (a *ackTracker) outstanding() bool { return a.pending.Len() > 0 }

// acknowledge records that all bytes before offset upTo are acknowledged.
func (a *ackTracker) acknowledge(upTo int64) {
	for a.outstanding() {
		chunk := &a.pending.Items()[0]
		if upTo < chunk.offset+int64(len(chunk.data)) {
			if acked := upTo - chunk.offset; acked > 0 && a.perLine {
				a.records = chunk.firstRecord + bytes.Count(chunk.data[:acked], []byte{'\n'})
			}
			return
		}
		a.records = chunk.nextRecord
		_, _ = a.pending.Pop() // the chunk above
	}
}
