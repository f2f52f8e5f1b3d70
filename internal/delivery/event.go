package delivery

import (
	"time"

	"wheatlane/internal/metrics"
)

// Event is something that happened. Conn is the number of the connection that it is of; events of other
// connections than the present one are ignored.
type Event interface{ event() }

type (
	// IntervalAdded is a new interval to deliver.
	IntervalAdded struct{ Interval *metrics.Interval }
	// Connected says that a connection is established.
	Connected struct{ Conn int }
	// Progress says how many records in all of the interval being written were sent.
	Progress struct{ Conn, Records int }
	// WriteCompleted says that the interval being written was sent completely.
	WriteCompleted struct{ Conn int }
	// Disconnected says that a connection has ended, or was not established. Of the interval being
	// written so many records in all were sent: the next connection resumes behind them.
	Disconnected struct{ Conn, Records int }
	// AddressChanged says that the collector has another address. What was sent in part is sent there
	// from its start.
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

// Action is something to do.
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
	// Stopped says that there will be no further action.
	Stopped struct{}
)

func (Connect) action() {}
func (Write) action()   {}
func (Close) action()   {}
func (Stopped) action() {}
