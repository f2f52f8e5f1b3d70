package server

import (
	"time"

	"wheatlane/control"
	"wheatlane/internal/broker"
)

// stream is an attempt or a load probe on its connection.
type stream struct {
	conn         *engineConn
	id           string
	attemptID    broker.AttemptID
	probeID      uint64  // of a load probe; 0 for an attempt
	unsent       []byte  // its message while the connection is being established; nil: it was queued
	offset       int64   // of its message in the send queue
	followUps    []int64 // offsets of later commands that change nothing unless the message was sent
	startedAt    time.Time
	overdueAfter time.Duration // from startedAt: its response is not missed before
	responding   bool          // the first page of its result came
	cancelling   bool          // it was cancelled, and the engine is being notified
	done         bool          // it has ended for the reducer
}

// isProbe reports whether the stream is a load probe.
func (s *stream) isProbe() bool { return s.probeID != 0 }

// neverSent reports whether no byte of the stream is among the first bytes of its connection that may have
// left.
func (s *stream) neverSent(leftBytes int64) bool { return s.unsent != nil || s.offset >= leftBytes }

// streamEnd is how a stream ended.
type streamEnd struct {
	status      control.Status
	sharedCause bool // it ended with its connection, and another attempt has reported that already
}
