package delivery

import (
	"time"

	"wheatlane/internal/metrics"
)

// Event is an input of a Machine. Conn is the number of its connection; events of connections other than the
// present one are ignored.
type Event interface{ event() }

type (
	// IntervalAdded is a new interval to deliver.
	IntervalAdded struct{ Interval *metrics.Interval }
	// Connected is a connection that was established.
	Connected struct{ Conn int }
	// Progress gives how many records of the interval being written were sent in all.
	Progress struct{ Conn, Records int }
	// WriteCompleted is the end of a write: the interval was sent completely.
	WriteCompleted struct{ Conn int }
	// Disconnected is a connection that has ended, or was not established. Records of the interval being
	// written were sent in all: the next connection resumes behind them.
	Disconnected struct{ Conn, Records int }
	// AddressChanged is a move of the collector to another address. An interval that was sent
	// incompletely is sent there from its start.
	AddressChanged struct{}
	// StopRequested asks the machine to stop within a timeout; what is not delivered by then is lost.
	StopRequested struct{ Timeout time.Duration }
)

func (IntervalAdded) event()  {}
func (Connected) event()      {}
func (Progress) event()       {}
func (WriteCompleted) event() {}
func (Disconnected) event()   {}
func (AddressChanged) event() {}
func (StopRequested) event()  {}

// Action is what a Machine decided, for its caller to carry out.
type Action interface{ action() }

type (
	// Connect establishes a connection. Connected or Disconnected follows.
	Connect struct{ Conn int }
	// Write writes an interval from a record on. WriteCompleted or Disconnected follows.
	Write struct {
		Conn        int
		Interval    *metrics.Interval
		FirstRecord int
	}
	// Close ends a connection. Disconnected follows.
	Close struct{ Conn int }
	// Stopped is the last action.
	Stopped struct{}
)

func (Connect) action() {}
func (Write) action()   {}
func (Close) action()   {}
func (Stopped) action() {}
