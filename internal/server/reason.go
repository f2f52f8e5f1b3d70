package server

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

// Reason is the code in the log line of an ended connection. This list is the whole of them.
type Reason string

// The reasons why a connection ends.
const (
	PeerClosed         Reason = "peer_closed"          // the other side closed it in good order
	PeerReset          Reason = "peer_reset"           // the other side broke it
	Quit               Reason = "quit"                 // the client said so
	Idle               Reason = "idle"                 // nothing was open on it for long
	LoginTimeout       Reason = "login_timeout"        // the client did not log in in time
	ReadTimeout        Reason = "read_timeout"         // the client began a message and did not end it in time
	AccessDenied       Reason = "access_denied"        // wrong user, password or database
	Malformed          Reason = "malformed"            // bytes that can't be read: sync is lost
	TooLarge           Reason = "too_large"            // a message over its limit
	BufferFull         Reason = "buffer_full"          // the other side does not take what it is sent
	WriteTimeout       Reason = "write_timeout"        // a write or what waited for it was overdue
	KilledByClient     Reason = "killed"               // a client killed it, or it asked too much ahead
	EvictedIdle        Reason = "made_room"            // it said nothing, or was idle, while there were too many
	TooManyConnections Reason = "too_many_connections" // there were too many, and all were busy
	ConnectFailed      Reason = "connect_failed"       // it never came up
	EngineGone         Reason = "engine_gone"          // its engine left, restarted or lost its address
	Stalled            Reason = "stalled"              // an answer began on it and did not end in time
	Retired            Reason = "retired"              // replaced: silent, or used up
	PollTimeout        Reason = "silent"               // no answer of the change log in its time
	AddressChanged     Reason = "moved"                // the configuration names another address for the change log
	HTTPStatus         Reason = "http_status"          // the change log refused
	Shutdown           Reason = "shutdown"             // the broker stops
	OtherError         Reason = "failed"               // any other error, which the line holds
)

// endError is why a connection ended.
type endError struct {
	Reason Reason
	Err    error
}

func (e *endError) Error() string {
	if e.Err == nil {
		return string(e.Reason)
	}
	return string(e.Reason) + ": " + e.Err.Error()
}

func (e *endError) Unwrap() error { return e.Err }

// reasonOf finds the code for an error.
func reasonOf(err error) Reason {
	var e *endError
	switch {
	case errors.As(err, &e):
		return e.Reason
	case err == nil || errors.Is(err, io.EOF):
		return PeerClosed
	case errors.Is(err, ring.ErrFull):
		return BufferFull
	case errors.Is(err, mysql.ErrTooLarge), errors.Is(err, resp.ErrTooLarge), errors.Is(err, changelog.ErrTooLarge):
		return TooLarge
	case errors.Is(err, mysql.ErrSequence), errors.Is(err, mysql.ErrHandshake), errors.Is(err, mysql.ErrMalformed),
		errors.Is(err, resp.ErrMalformed), errors.Is(err, changelog.ErrMalformed):
		return Malformed
	case errors.Is(err, changelog.ErrStatus):
		return HTTPStatus
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return PeerReset
	case errors.Is(err, os.ErrDeadlineExceeded):
		return Idle
	case errors.Is(err, net.ErrClosed), errors.Is(err, context.Canceled):
		return Shutdown
	}
	return OtherError
}
