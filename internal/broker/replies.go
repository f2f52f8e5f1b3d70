package broker

import "errors"

// Texts of replies. Clients read them, so their wording is part of the protocol.
const (
	noCapacityText      = "the engines have no room"
	noAnswerText        = "no engine answered in time"
	noTimeLeftText      = "no time is left"
	queryKilledText     = "the query was killed"
	halfClosedText      = "its client wrote that nothing more comes"
	shuttingDownText    = "the broker is stopping"
	notReadyText        = "no engine can be used, or the broker is stopping"
	unknownSessionText  = "no such session"
	tooManySessionsText = "too many connections"
	closedText          = "the connection is about to end"
	tooManyQueuedText   = "too much was asked ahead of an answer"
	overloadText        = "the broker is short of memory"
	noMemoryText        = "the broker has no memory for so large a statement"
)

// endCauseTexts holds the texts of final answers, indexed by EndCause.
var endCauseTexts = [endCauseCount]string{
	EndFinalAnswer:      shuttingDownText,
	EndClientHalfClosed: halfClosedText,
	EndQueueOverflow:    tooManyQueuedText,
	EndQueuedRequestDue: noAnswerText,
}

// Errors of invalid request fields. Their texts are sent in the replies.
var (
	errUnknownClass          = errors.New("no such class")
	errUnknownTenant         = errors.New("no such tenant")
	errTimeoutTooLong        = errors.New("the class has no such time to wait")
	errMissingIdempotencyKey = errors.New("the class needs an idempotency key")
	errDuplicateRequestID    = errors.New("the id of the request is in use")
)

// reply sends a reply to a session and notifies the meter of any reply other than a result, an OK and a failure.
func (b *Broker) reply(id Session, reply Reply) {
	reply.Session = id
	if reply.Kind != ReplyResult && reply.Kind != ReplyOK && reply.Kind != ReplyFailed {
		b.meter.RequestRejected(reply.Kind)
	}
	b.emit(reply)
}
