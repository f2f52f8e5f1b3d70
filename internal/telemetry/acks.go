package telemetry

import "bytes"

// sentPiece is what was encoded at once: complete records.
type sentPiece struct {
	offset      int64 // on the connection, of its first byte
	firstRecord int
	nextRecord  int // the one after its last
	data        []byte
}

// ackTracker finds which records are acknowledged from how many bytes are.
type ackTracker struct {
	// A record counts once the end of its line is acknowledged; without perLine, once the end of its piece
	// is.
	perLine bool
	records int         // of the interval being written, those acknowledged: the number of the next
	end     int64       // offset of the end of the last piece
	pending []sentPiece // those not acknowledged completely, oldest first
}

// add appends a piece that is to be sent behind those before.
func (a *ackTracker) add(piece sentPiece) {
	piece.offset = a.end
	a.end += int64(len(piece.data))
	a.pending = append(a.pending, piece)
}

// outstanding reports whether anything is not acknowledged yet.
func (a *ackTracker) outstanding() bool { return len(a.pending) > 0 }

// acknowledge records that the bytes before an offset are acknowledged.
func (a *ackTracker) acknowledge(upTo int64) {
	for a.outstanding() {
		piece := &a.pending[0]
		if upTo < piece.offset+int64(len(piece.data)) {
			if acked := upTo - piece.offset; acked > 0 && a.perLine {
				a.records = piece.firstRecord + bytes.Count(piece.data[:acked], []byte{'\n'})
			}
			return
		}
		a.records = piece.nextRecord
		a.pending = a.pending[1:]
	}
}
