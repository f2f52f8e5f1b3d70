package delivery

import (
	"time"

	"wheatlane/internal/metrics"
)

// Event is an input of a Machine. Conn is the number of the connection that the event belongs to; events of
// connections other than the current one are ignored.
type Event interface{ event() }

type (
	// IntervalAdded adds an interval to deliver.
	IntervalAdded struct{ Interval *metrics.Interval }
	// Connected reports that a connection was established.
	Connected struct{ Conn int }
	// Progress reports the total number of records sent of the interval being written.
	Progress struct{ Conn, Records int }
	// WriteCompleted reports that the interval was sent completely.
	WriteCompleted struct{ Conn int }
	// Disconnected reports that a connection ended or was not established. Records is the total number of
	// records sent of the interval being written; the next connection resumes after them.
	Disconnected struct{ Conn, Records int }
	// AddressChanged reports that the collector moved to another address. An interval that was sent partly is
	// sent to the new address from its first record.
	AddressChanged struct{}
	// StopRequested makes the machine stop within a timeout. Intervals not delivered by then are lost.
	StopRequested struct{ Timeout time.Duration }
)

func (IntervalAdded) event()  {}
func (Connected) event()      {}
func (Progress) event()       {}
func (WriteCompleted) event() {}
func (Disconnected) event()   {}
func (AddressChanged) event() {}
func (StopRequested) event()  {}

// Action is an output of a Machine, which the caller performs.
type Action interface{ action() }

type (
	// Connect opens a connection. The caller answers with Connected or Disconnected.
	Connect struct{ Conn int }
	// Write writes an interval, starting at FirstRecord. The caller answers with WriteCompleted or Disconnected.
	Write struct {
		Conn        int
		Interval    *metrics.Interval
		FirstRecord int
	}
	// Close closes a connection. The caller answers with Disconnected.
	Close struct{ Conn int }
	// Stopped is the last action: the machine has stopped.
	Stopped struct{}
)

func (Connect) action() {}
func (Write) action()   {}
func (Close) action()   {}
func (Stopped) action() {}
