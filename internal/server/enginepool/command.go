package enginepool

import (
	"fmt"
	"strconv"

	"wheatlane/internal/broker"
	"wheatlane/internal/resp"
)

// command is the first part of a message to an engine. Its second part is the id that answers carry.
type command string

// The commands.
const (
	commandStart       command = "want"       // start an attempt: fields, statement
	commandFetchPage   command = "turn"       // send a further page of a result: its number
	commandCancel      command = "never_mind" // stop an attempt
	commandClose       command = "shut"       // send no more pages of a result
	commandSetPriority command = "hurry"      // change the priority of an attempt: the new one
	commandLoadProbe   command = "busy"       // answer with a load report
	commandLiveness    command = "there"      // answer
)

const (
	probeIDPrefix   = "p" // of the ids of load probes; ids of requests are hex digits
	livenessID      = "t" // the id of all liveness checks
	defaultPriority = 1   // the priority that an engine assumes when none is given
)

// appendCommand adds the message of a command.
func appendCommand(dst []byte, c command, id string, args ...string) []byte {
	return resp.Append(dst, append([]string{string(c), id}, args...)...)
}

// startCommand is the message that starts an attempt. Its timeout is in milliseconds, at least 1.
func startCommand(a broker.StartAttempt) []byte {
	fields := fmt.Appendf(nil, "sort=%s,patience=%d", a.Class, max(1, a.Timeout.Milliseconds()))
	if a.IdempotencyKey != "" {
		fields = append(append(fields, ",op="...), a.IdempotencyKey...)
	}
	if a.GrantMB > 0 {
		fields = strconv.AppendFloat(append(fields, ",allot="...), a.GrantMB, 'f', -1, 64)
	}
	if a.Priority != defaultPriority {
		fields = strconv.AppendInt(append(fields, ",urgency="...), int64(a.Priority), 10)
	}
	return appendCommand(nil, commandStart, a.RequestID, string(fields), a.Body)
}

// probeIDOnWire is the id of a load probe in messages.
func probeIDOnWire(probeID uint64) string { return probeIDPrefix + strconv.FormatUint(probeID, 10) }
