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

// Reason is the reason code in the log line and the metrics of an ended connection. Reasons lists all codes.
type Reason string

// The reasons for which a connection ends.
const (
	PeerClosed         Reason = "peer_closed"          // orderly close by the peer
	PeerReset          Reason = "peer_reset"           // reset by the peer
	Quit               Reason = "quit"                 // the client sent COM_QUIT
	Idle               Reason = "idle"                 // nothing in flight for too long
	LoginTimeout       Reason = "login_timeout"        // the client did not log in in time
	ReadTimeout        Reason = "read_timeout"         // the client did not complete a message in time
	AccessDenied       Reason = "access_denied"        // wrong user, password or database
	Malformed          Reason = "malformed"            // a message can't be parsed: synchronization is lost
	TooLarge           Reason = "too_large"            // a message exceeds its size limit
	BufferFull         Reason = "buffer_full"          // the peer does not read, and the send queue is full
	WriteTimeout       Reason = "write_timeout"        // bytes were not sent by their deadline
	KilledByClient     Reason = "killed"               // killed by a client, or too many pipelined requests
	EvictedIdle        Reason = "made_room"            // silent or idle while there were too many connections
	TooManyConnections Reason = "too_many_connections" // rejected: too many connections, all of them busy
	ConnectFailed      Reason = "connect_failed"       // never established
	EngineGone         Reason = "engine_gone"          // the engine was removed, restarted, drained or lost its address
	Stalled            Reason = "stalled"              // a response began and was not completed in time
	Retired            Reason = "retired"              // replaced because it was silent or had no ids left
	PollTimeout        Reason = "silent"               // the change log did not respond in time
	AddressChanged     Reason = "moved"                // the address of the change log has changed
	HTTPStatus         Reason = "http_status"          // the change log responded with an error status
	Shutdown           Reason = "shutdown"             // the broker shuts down
	OtherError         Reason = "failed"               // any other error, which is in the log line
)

// Reasons lists all reason codes. The metrics number them in this order.
var Reasons = [...]Reason{
	PeerClosed, PeerReset, Quit, Idle, LoginTimeout, ReadTimeout, AccessDenied, Malformed, TooLarge, BufferFull,
	WriteTimeout, KilledByClient, EvictedIdle, TooManyConnections, ConnectFailed, EngineGone, Stalled, Retired,
	PollTimeout, AddressChanged, HTTPStatus, Shutdown, OtherError,
}

// EndError is the error of a connection that ended for a known reason.
type EndError struct {
	Reason Reason
	Err    error // cause; may be nil
}

// Error returns the reason code, followed by the cause if there is one.
func (e *EndError) Error() string {
	if e.Err == nil {
		return string(e.Reason)
	}
	return string(e.Reason) + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *EndError) Unwrap() error { return e.Err }

// reasonsOfErrors maps errors of other packages to reasons. ReasonOf matches them with errors.Is in this order.
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

// ReasonOf returns the reason code of the error that ended a connection: the reason of an EndError in its chain, or
// else the reason of the first match in reasonsOfErrors. A nil error means that the peer closed the connection.
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

// IsTimeout reports whether err was caused by a deadline that this program has set. ETIMEDOUT, with which the operating
// system ends a connection, is not such an error.
func IsTimeout(err error) bool { return errors.Is(err, os.ErrDeadlineExceeded) }
