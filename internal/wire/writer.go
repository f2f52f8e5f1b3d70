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

// Writer encodes replies. A reply is what the instances of a batch did, each behind BeginInstance, and ends
// with EndReply, which returns the first error of all that was written since the reply before.
type Writer struct{ out *bufio.Writer }

// NewWriter returns a Writer on w.
func NewWriter(w io.Writer) *Writer { return &Writer{bufio.NewWriterSize(w, bufferBytes)} }

// BeginInstance names the instance whose actions follow.
func (w *Writer) BeginInstance(instance int) {
	w.name(messageReplyOf)
	w.integer(fieldInstance, int64(instance))
	w.endLine()
}

// InternalError reports that an instance's decision code failed.
func (w *Writer) InternalError(text string) {
	w.name(messageInternalError)
	w.text(fieldText, oneLine(text))
	w.endLine()
}

// EndReply ends the reply and flushes it.
func (w *Writer) EndReply() error {
	w.name(messageEndReply)
	w.endLine()
	return w.out.Flush()
}

// Action writes one action. It panics for a type that the protocol has no message for.
func (w *Writer) Action(action control.Action) {
	switch action := action.(type) {
	case control.SendAttempt:
		w.nameOfRequest(messageSendAttempt, action.RequestID)
		w.text(fieldEngine, action.Engine)
		w.positive(fieldTimeout, int64(action.Timeout))
	case control.Reject:
		w.nameOfRequest(messageReject, action.RequestID)
		w.positive(fieldRetryAfter, int64(action.RetryAfter))
	case control.Fail:
		w.nameOfRequest(messageFail, action.RequestID)
	case control.CancelAttempt:
		w.nameOfRequest(messageCancelAttempt, action.RequestID)
		w.integer(fieldAttempt, int64(action.Number))
	case control.SetAttemptOptions:
		w.nameOfRequest(messageSetAttemptOptions, action.RequestID)
		w.text(fieldGrant, strconv.FormatFloat(action.GrantMB, 'f', -1, 64))
		w.integer(fieldPriority, int64(action.Priority))
	case control.SetTimer:
		w.name(messageSetTimer)
		w.integer(fieldTimerAfter, int64(action.After))
		w.text(fieldTimerToken, strconv.FormatUint(action.Token, 10))
	case control.ProbeLoad:
		w.name(messageProbeLoad)
		w.text(fieldEngine, action.Engine)
	case control.SendGossip:
		w.name(messageSendGossip)
		w.integer(fieldToBroker, int64(action.Broker))
		w.text(fieldDatagram, hex.EncodeToString(gossip.Append(nil, action.Reports)))
	case control.WatchEndpoints:
		w.name(messageWatchEndpoints)
		w.text(fieldWatch, yes)
	case control.EngineEjected:
		w.log("engine " + action.Engine + " is ejected: " + action.Reason.String())
	case control.EngineRestored:
		w.log("engine " + action.Engine + " is restored")
	default:
		panic(fmt.Sprintf("wire: unknown action %T", action))
	}
	w.endLine()
}

// log writes a line for the operators.
func (w *Writer) log(text string) {
	w.name(messageLog)
	w.text(fieldText, oneLine(text))
}

// oneLine puts a text of several lines into one.
func oneLine(text string) string { return strings.Join(strings.Fields(text), " ") }

func (w *Writer) name(message string) { w.write(message) }

// nameOfRequest begins a message about a request.
func (w *Writer) nameOfRequest(message, requestID string) {
	w.name(message)
	w.text(fieldRequestID, requestID)
}

func (w *Writer) text(key, value string) { w.write(" ", key, "=", value) }

func (w *Writer) integer(key string, value int64) { w.text(key, strconv.FormatInt(value, 10)) }

// positive writes a field that is left out unless its value is over 0.
func (w *Writer) positive(key string, value int64) {
	if value > 0 {
		w.integer(key, value)
	}
}

func (w *Writer) endLine() { w.write("\n") }

func (w *Writer) write(parts ...string) {
	for _, part := range parts {
		_, _ = w.out.WriteString(part) // the bufio.Writer keeps its first error until EndReply flushes
	}
}
