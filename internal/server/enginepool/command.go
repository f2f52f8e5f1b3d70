package enginepool

import (
	"fmt"
	"strconv"
	"time"

	"wheatlane/internal/broker"
	"wheatlane/internal/resp"
)

// command is the first part of a message to an engine. Its second part is the id that responses carry.
type command string

// The commands.
const (
	commandStart       command = "want"       // start an attempt: fields, statement
	commandFetchPage   command = "turn"       // send a further page of a result: its number
	commandCancel      command = "never_mind" // stop an attempt
	commandClose       command = "shut"       // send no more pages of a result
	commandSetPriority command = "hurry"      // change the priority of an attempt: the new one
	commandLoadProbe   command = "busy"       // respond with a load report
	commandLiveness    command = "there"      // respond
)

// startField is the name of a field of commandStart on the wire.
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
	probeIDPrefix   = "p" // of the ids of load probes; ids of requests are hex digits
	livenessID      = "t" // the id of all liveness probes
	defaultPriority = 1   // that an engine assumes without fieldPriority, by its protocol

	minTimeout = time.Millisecond // that a message can carry
)

// appendCommand appends the message of a command.
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

// probeIDOnWire returns the id of a load probe in messages.
func probeIDOnWire(probeID uint64) string { return probeIDPrefix + strconv.FormatUint(probeID, 10) }
