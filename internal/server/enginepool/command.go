package enginepool

import (
	"fmt"
	"strconv"
	"time"

	"wheatlane/internal/broker"
	"wheatlane/internal/resp"
)

// command is the first part of a message to an engine. The second part is the id that responses carry.
type command string

// The commands, with their arguments.
const (
	commandStart       command = "want"       // starts an attempt: fields, statement
	commandFetchPage   command = "turn"       // requests a further page of a result: page number
	commandCancel      command = "never_mind" // cancels an attempt
	commandClose       command = "shut"       // closes a result: no more pages are needed
	commandSetPriority command = "hurry"      // changes the priority of an attempt: new priority
	commandLoadProbe   command = "busy"       // requests a load report
	commandLiveness    command = "there"      // requests any response
)

// startField is the wire name of a field of commandStart.
type startField string

// The fields of commandStart.
const (
	fieldClass          startField = "sort"
	fieldTimeout        startField = "patience" // milliseconds
	fieldIdempotencyKey startField = "op"
	fieldGrant          startField = "allot" // MB
	fieldPriority       startField = "urgency"
)

const (
	probeIDPrefix   = "p" // prefix of load probe ids; request ids consist of hex digits
	livenessID      = "t" // id of all liveness probes
	defaultPriority = 1   // assumed by engines if fieldPriority is absent, by the protocol

	minTimeout = time.Millisecond // minimum of fieldTimeout
)

// appendCommand appends the encoded message of a command to dst.
func appendCommand(dst []byte, cmd command, id string, args ...string) []byte {
	return resp.Append(dst, append([]string{string(cmd), id}, args...)...)
}

// startCommand returns the message that starts an attempt.
func startCommand(start broker.StartAttempt) []byte {
	timeoutMS := max(minTimeout, start.Timeout).Milliseconds()
	fields := fmt.Appendf(nil, "%s=%s,%s=%d", fieldClass, start.Class, fieldTimeout, timeoutMS)
	if start.IdempotencyKey != "" {
		fields = fmt.Appendf(fields, ",%s=%s", fieldIdempotencyKey, start.IdempotencyKey)
	}
	if start.GrantMB > 0 {
		fields = fmt.Appendf(fields, ",%s=", fieldGrant)
		fields = strconv.AppendFloat(fields, start.GrantMB, 'f', -1, 64)
	}
	if start.Priority != defaultPriority {
		fields = fmt.Appendf(fields, ",%s=%d", fieldPriority, start.Priority)
	}
	return appendCommand(nil, commandStart, start.RequestID, string(fields), start.Body)
}

// probeIDOnWire returns the id that a load probe has in messages.
func probeIDOnWire(probeID uint64) string { return probeIDPrefix + strconv.FormatUint(probeID, 10) }
