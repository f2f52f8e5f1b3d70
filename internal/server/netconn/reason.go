package netconn

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"wheatlane/internal/changelog"
	"wheatlane/internal/mysql"
	"wheatlane/internal/resp"
	"wheatlane/internal/ring"
)

// Reason is the code in the log line and the figures of an ended connection. Reasons lists them all.
type Reason string

// The reasons why a connection ends.
const (
	PeerClosed         Reason = "peer_closed"          // the peer closed it in good order
	PeerReset          Reason = "peer_reset"           // the peer reset it
	Quit               Reason = "quit"                 // the client sent COM_QUIT
	Idle               Reason = "idle"                 // nothing was in flight on it for too long
	LoginTimeout       Reason = "login_timeout"        // the client did not log in in time
	ReadTimeout        Reason = "read_timeout"         // the client did not complete a message in time
	AccessDenied       Reason = "access_denied"        // wrong user, password or database
	Malformed          Reason = "malformed"            // a message that can't be parsed: synchronization is lost
	TooLarge           Reason = "too_large"            // a message over its limit
	BufferFull         Reason = "buffer_full"          // the peer does not read what it is sent
	WriteTimeout       Reason = "write_timeout"        // bytes were not sent by their deadline
	KilledByClient     Reason = "killed"               // a client killed it, or it sent too many requests ahead
	EvictedIdle        Reason = "made_room"            // it was silent or idle while there were too many
	TooManyConnections Reason = "too_many_connections" // there were too many, and all were busy
	ConnectFailed      Reason = "connect_failed"       // it was never established
	EngineGone         Reason = "engine_gone"          // its engine was removed, restarted, drained or lost its address
	Stalled            Reason = "stalled"              // a response began on it and was not completed in time
	Retired            Reason = "retired"              // replaced: silent, or out of ids
	PollTimeout        Reason = "silent"               // the change log did not answer in time
	AddressChanged     Reason = "moved"                // the change log has another address now
	HTTPStatus         Reason = "http_status"          // the change log answered with an error
	Shutdown           Reason = "shutdown"             // the broker shuts down
	OtherError         Reason = "failed"               // any other error, which is in the log line
)

// Reasons are all reason codes, in the order in which the figures number them.
var Reasons = [...]Reason{
	PeerClosed, PeerReset, Quit, Idle, LoginTimeout, ReadTimeout, AccessDenied, Malformed, TooLarge, BufferFull,
	WriteTimeout, KilledByClient, EvictedIdle, TooManyConnections, ConnectFailed, EngineGone, Stalled, Retired,
	PollTimeout, AddressChanged, HTTPStatus, Shutdown, OtherError,
}

// EndError is the error of a connection whose end has a known reason.
type EndError struct {
	Reason Reason
	Err    error // what led to it; nil: nothing but the reason
}

// Error is the reason code, and the error behind it if there is one.
func (e *EndError) Error() string {
	if e.Err == nil {
		return string(e.Reason)
	}
	return string(e.Reason) + ": " + e.Err.Error()
}

// Unwrap returns the error behind the reason.
func (e *EndError) Unwrap() error { return e.Err }

// reasonsOfErrors are the reasons for errors of other packages, by errors.Is in this order.
var reasonsOfErrors = []struct {
	err    error
	reason Reason
}{
	{io.EOF, PeerClosed},
	{ring.ErrFull, BufferFull},
	{mysql.ErrTooLarge, TooLarge},
	{resp.ErrTooLarge, TooLarge},
	{changelog.ErrTooLarge, TooLarge},
	{mysql.ErrSequence, Malformed},
	{mysql.ErrHandshake, Malformed},
	{mysql.ErrMalformed, Malformed},
	{resp.ErrMalformed, Malformed},
	{changelog.ErrMalformed, Malformed},
	{changelog.ErrStatus, HTTPStatus},
	{syscall.ECONNRESET, PeerReset},
	{syscall.EPIPE, PeerReset},
	{os.ErrDeadlineExceeded, Idle},
	{net.ErrClosed, Shutdown},
	{context.Canceled, Shutdown},
}

// ReasonOf is the reason code of the error that ended a connection: that of an EndError in its chain, or
// else that of the first known error in it. No error means that the peer closed the connection.
func ReasonOf(err error) Reason {
	if err == nil {
		return PeerClosed
	}
	var ended *EndError
	if errors.As(err, &ended) {
		return ended.Reason
	}
	for _, known := range reasonsOfErrors {
		if errors.Is(err, known.err) {
			return known.reason
		}
	}
	return OtherError
}

// IsTimeout reports whether a deadline of this program has passed. A connection that the system gives up with
// ETIMEDOUT is no such error.
func IsTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
