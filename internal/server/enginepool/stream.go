package enginepool

import (
	"strconv"
	"time"

	"wheatlane/internal/broker"
)

// staleAfter is the time for which a message with a timeout may wait in the send queue. After that it is encoded again
// with the remaining time. The timeout may exceed the client's remaining time by invariant.TimeoutSlack, of which the
// remainder is for the network.
const staleAfter = 100 * time.Millisecond

// stream is an attempt or a load probe on its connection.
type stream struct {
	conn         *engineConn
	id           string
	attemptID    broker.AttemptID
	probeID      uint64              // of a load probe; 0 for an attempt
	start        broker.StartAttempt // of an attempt
	priority     int                 // of an attempt, as set last
	queued       bool                // the message is in the send queue or has been sent
	offset       int64               // of the message in the send queue
	followUps    []int64             // offsets of later commands, which have no effect unless the message is sent
	startedAt    time.Time
	overdueAfter time.Duration // time from startedAt after which the response counts as overdue
	responding   bool          // the first page of the result was received
	abandoned    bool          // the result is not needed any more, but bytes of the message may have been sent
	cancelling   bool          // the stream was cancelled, and the engine is being notified
	done         bool          // the stream has ended for the reducer
}

// isProbe reports whether the stream is a load probe.
func (s *stream) isProbe() bool { return s.probeID != 0 }

// dropStatement drops the statement of a stream whose message is not encoded again: its request no longer accounts for
// the memory.
func (s *stream) dropStatement() { s.start.Body = "" }

// neverSent reports whether no byte of the stream has been sent. submittedBytes is the number of bytes of its
// connection that may have been sent.
func (s *stream) neverSent(submittedBytes int64) bool { return !s.queued || s.offset >= submittedBytes }

// timeLeft returns the time until the attempt times out.
func (s *stream) timeLeft(now time.Time) time.Duration { return s.start.Timeout - now.Sub(s.startedAt) }

// message returns the message of the stream, encoded with the remaining time and the current priority.
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

// expiresAt returns the time by which a message that is encoded now must have been sent. It is zero if the message
// never expires.
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
