package adminapi

import (
	"context"
	"errors"
)

// reasonError is the cause of a NAK; its text is the reason code.
type reasonError string

func (e reasonError) Error() string { return string(e) }

// Errors of calls. Each is the reason code in the NAK to the call.
const (
	ErrEmpty         = reasonError("empty")            // the line has no words
	ErrTooLong       = reasonError("too_long")         // the line is longer than MaxLineBytes
	ErrNotUTF8       = reasonError("not_utf8")         // the line is not valid UTF-8
	ErrUnknownCall   = reasonError("unknown_call")     // there is no call of this name
	ErrMissingID     = reasonError("missing_argument") // the call requires an engine's id
	ErrExtraArgument = reasonError("extra_argument")   // the call accepts fewer arguments
	ErrNotListed     = reasonError("not_listed")       // the engine was never in the endpoint list
	ErrBusy          = reasonError("busy")             // the broker could not execute the call in time
)

// reasonFailed is the reason code of all other errors.
const reasonFailed = "failed"

// Reason returns the reason code for an error of Parse or of a Broker. The reason code of an exceeded deadline is
// ErrBusy.
func Reason(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return ErrBusy.Error()
	}
	if reason, ok := errors.AsType[reasonError](err); ok {
		return string(reason)
	}
	return reasonFailed
}
