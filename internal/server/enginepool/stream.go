package enginepool

import (
	"strconv"
	"time"

	"wheatlane/internal/broker"
)

// staleAfter is how long a message with a timeout may wait to leave; it is made anew then, with the time that is
// left. The timeout may exceed what the client has left by invariant.TimeoutSlack; the rest of that is for the network.
const staleAfter = 100 * time.Millisecond

// stream is an attempt or a load probe on its connection.
type stream struct {
	conn         *engineConn
	id           string
	attemptID    broker.AttemptID
	probeID      uint64              // of a load probe; 0 for an attempt
	start        broker.StartAttempt // of an attempt
	priority     int                 // of an attempt, as it was set last
	queued       bool                // its message is in the send queue, or has left
	offset       int64               // of its message in the send queue
	followUps    []int64             // offsets of later commands that change nothing unless the message was sent
	startedAt    time.Time
	overdueAfter time.Duration // from startedAt: its response counts as overdue from then on
	responding   bool          // the first page of its result came
	cancelling   bool          // it was cancelled, and the engine is being notified
	done         bool          // it has ended for the reducer
}

// isProbe reports whether the stream is a load probe.
func (s *stream) isProbe() bool { return s.probeID != 0 }

// neverSent reports whether no byte of the stream is among the first bytes of its connection that may have
// left.
func (s *stream) neverSent(leftBytes int64) bool { return !s.queued || s.offset >= leftBytes }

// timeLeft returns the time until the attempt times out.
func (s *stream) timeLeft(now time.Time) time.Duration { return s.start.Timeout - now.Sub(s.startedAt) }

// message returns the message of the stream as it is at a time, with what was changed since the attempt was decided on.
func (s *stream) message(now time.Time) []byte {
	if s.isProbe() {
		return appendCommand(nil, commandLoadProbe, s.id)
	}
	start := s.start
	start.Timeout = s.timeLeft(now)
	message := startCommand(start)
	if s.priority != start.Priority {
		message = appendCommand(message, commandSetPriority, s.id, strconv.Itoa(s.priority))
	}
	return message
}

// expiresAt returns when a message made at a time must have left; zero: it may leave at any time.
func (s *stream) expiresAt(now time.Time, maxDelay time.Duration) time.Time {
	if s.isProbe() {
		return time.Time{}
	}
	expiresAt, last := now.Add(staleAfter), s.startedAt.Add(maxDelay)
	if last.Before(expiresAt) {
		return last
	}
	return expiresAt
}
