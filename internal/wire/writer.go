package wire

import (
	"bufio"
	"encoding/hex"
	"fmt"
	"io"
	"strconv"
	"strings"

	"wheatlane/control"
	"wheatlane/internal/gossip"
)

// Writer encodes replies. A reply lists the actions of each instance of a batch after a call of BeginInstance, and ends
// with EndReply, which returns the first write error since the previous reply.
type Writer struct{ out *bufio.Writer }

// NewWriter returns a Writer that writes to w.
func NewWriter(w io.Writer) *Writer { return &Writer{bufio.NewWriterSize(w, bufferBytes)} }

// BeginInstance writes the number of the instance whose actions follow.
func (w *Writer) BeginInstance(instance int) {
	w.beginMessage(messageReplyOf)
	w.integer(fieldInstance, int64(instance))
	w.endLine()
}

// InternalError reports a failure of an instance's decision code.
func (w *Writer) InternalError(text string) {
	w.beginMessage(messageInternalError)
	w.text(fieldText, oneLine(text))
	w.endLine()
}

// EndReply ends the reply and flushes it.
func (w *Writer) EndReply() error {
	w.beginMessage(messageEndReply)
	w.endLine()
	return w.out.Flush()
}

// Action writes one action. It panics if the protocol has no message for the type of the action.
func (w *Writer) Action(action control.Action) {
	switch action := action.(type) {
	case control.SendAttempt:
		w.beginRequestMessage(messageSendAttempt, action.RequestID)
		w.text(fieldEngine, action.Engine)
		w.positiveInteger(fieldTimeout, int64(action.Timeout))
	case control.Reject:
		w.beginRequestMessage(messageReject, action.RequestID)
		w.positiveInteger(fieldRetryAfter, int64(action.RetryAfter))
	case control.Fail:
		w.beginRequestMessage(messageFail, action.RequestID)
	case control.CancelAttempt:
		w.beginRequestMessage(messageCancelAttempt, action.RequestID)
		w.integer(fieldAttempt, int64(action.Number))
	case control.SetAttemptOptions:
		w.beginRequestMessage(messageSetAttemptOptions, action.RequestID)
		w.text(fieldGrant, strconv.FormatFloat(action.GrantMB, 'f', -1, 64))
		w.integer(fieldPriority, int64(action.Priority))
	case control.SetTimer:
		w.beginMessage(messageSetTimer)
		w.integer(fieldTimerAfter, int64(action.After))
		w.text(fieldTimerToken, strconv.FormatUint(action.Token, 10))
	case control.ProbeLoad:
		w.beginMessage(messageProbeLoad)
		w.text(fieldEngine, action.Engine)
	case control.SendGossip:
		w.beginMessage(messageSendGossip)
		w.integer(fieldToBroker, int64(action.Broker))
		w.text(fieldDatagram, hex.EncodeToString(gossip.Append(nil, action.Reports)))
	case control.WatchEndpoints:
		w.beginMessage(messageWatchEndpoints)
		w.text(fieldWatch, trueValue)
	case control.EngineEjected:
		w.log("engine " + action.Engine + " is ejected: " + action.Reason.String())
	case control.EngineRestored:
		w.log("engine " + action.Engine + " is restored")
	default:
		panic(fmt.Sprintf("wire: unknown action %T", action))
	}
	w.endLine()
}

// log writes a log line for operators.
func (w *Writer) log(text string) {
	w.beginMessage(messageLog)
	w.text(fieldText, oneLine(text))
}

// oneLine replaces each run of white space, line feeds included, by one space.
func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }

func (w *Writer) beginMessage(name string) { w.write(name) }

// beginRequestMessage begins a message about a request.
func (w *Writer) beginRequestMessage(name, requestID string) {
	w.beginMessage(name)
	w.text(fieldRequestID, requestID)
}

func (w *Writer) text(key, value string) { w.write(" ", key, "=", value) }

func (w *Writer) integer(key string, value int64) { w.text(key, strconv.FormatInt(value, 10)) }

// positiveInteger writes a field, which is omitted unless its value is positive.
func (w *Writer) positiveInteger(key string, value int64) {
	if value > 0 {
		w.integer(key, value)
	}
}

func (w *Writer) endLine() { w.write("\n") }

func (w *Writer) write(parts ...string) {
	for _, part := range parts {
		_, _ = w.out.WriteString(part) // the bufio.Writer returns its first error when EndReply flushes
	}
}
