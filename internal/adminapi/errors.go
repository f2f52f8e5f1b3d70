package adminapi

import (
	"context"
	"errors"
)

// reasonError is a cause of a NAK; its text is the reason code.
type reasonError string

func (e reasonError) Error() string { return string(e) }

// Errors of calls. Each is a reason of the NAK that answers the call.
const (
	ErrEmpty         = reasonError("empty")            // the line holds no words
	ErrTooLong       = reasonError("too_long")         // the line is longer than MaxLineBytes
	ErrNotUTF8       = reasonError("not_utf8")         // the line is no UTF-8
	ErrUnknownCall   = reasonError("unknown_call")     // no call has this name
	ErrMissingID     = reasonError("missing_argument") // the call needs an engine's id
	ErrExtraArgument = reasonError("extra_argument")   // the call takes fewer arguments
	ErrNotListed     = reasonError("not_listed")       // the engine was never in the endpoint list
	ErrBusy          = reasonError("busy")             // the broker could not carry the call out in time
)

// reasonFailed is the reason code of all other errors.
const reasonFailed = "failed"

// Reason is the reason code for an error of Parse or of a Broker; a call that ran out of time is busy.
func Reason(err error) string {
	if errors.Is(err, context.DeadlineExceeded) {
		return ErrBusy.Error()
	}
	if reason, ok := errors.AsType[reasonError](err); ok {
		return string(reason)
	}
	return reasonFailed
}
