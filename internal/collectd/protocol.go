// Package collectd encodes and decodes the binary network protocol of collectd: UDP datagrams of parts, each with type,
// length and payload, which are plain, signed or encrypted. It operates on byte slices and does no I/O.
//
// Source: https://collectd.org/wiki/index.php/Binary_protocol
package collectd

import (
	"encoding/binary"
	"errors"
	"time"
)

// MaxPacketBytes is the maximum length of a datagram: the payload of an Ethernet frame less IPv6 and UDP headers.
const MaxPacketBytes = 1452

// MaxTextBytes is the maximum length of a part of an identifier.
const MaxTextBytes = 127

// Part types.
const (
	partHost           = 0x0000
	partTime           = 0x0001
	partPlugin         = 0x0002
	partPluginInstance = 0x0003
	partType           = 0x0004
	partTypeInstance   = 0x0005
	partValues         = 0x0006
	partInterval       = 0x0007
	partTimeHR         = 0x0008
	partIntervalHR     = 0x0009
	partSignature      = 0x0200
	partEncryption     = 0x0210
)

// Lengths in bytes.
const (
	partHeaderLen = 4 // type, and length including the header
	numberLen     = 8
	countLen      = 2             // number of values, or length of a user name
	valueLen      = 1 + numberLen // data source type and value
)

// Errors of encoding and decoding packets.
var (
	ErrTruncated            = errors.New("collectd: truncated part")
	ErrMalformedPart        = errors.New("collectd: malformed part")
	ErrInsufficientSecurity = errors.New("collectd: packet below the required security level")
	ErrUnknownUser          = errors.New("collectd: unknown user")
	ErrSignature            = errors.New("collectd: wrong signature")
	ErrTooLarge             = errors.New("collectd: too large for a packet")
)

// Kind is the type of a data source.
type Kind byte

// The types of data sources, with their values on the wire.
const (
	Counter  Kind = 0
	Gauge    Kind = 1
	Derive   Kind = 2
	Absolute Kind = 3
)

// Value is the value of one data source.
type Value struct {
	Kind  Kind
	Gauge float64 // value of a Gauge
	Count int64   // value of the other kinds; Counter and Absolute are unsigned
}

// ValueList is a list of values under one identifier.
type ValueList struct {
	Host, Plugin, PluginInstance, Type, TypeInstance string
	Time, Interval                                   time.Duration // Time is since the Unix epoch
	Values                                           []Value
}

// texts returns the parts of the identifier in the order in which they are written.
func (l *ValueList) texts() [5]textPart {
	return [...]textPart{
		{partHost, &l.Host},
		{partPlugin, &l.Plugin},
		{partPluginInstance, &l.PluginInstance},
		{partType, &l.Type},
		{partTypeInstance, &l.TypeInstance},
	}
}

// textPart is a part with a text payload.
type textPart struct {
	part uint16
	text *string
}

// highResolutionBits defines the unit of high-resolution times, which is 2^-30 s.
const highResolutionBits = 30

func toHighResolution(d time.Duration) uint64 {
	seconds, nanoseconds := uint64(d/time.Second), uint64(d%time.Second)
	fraction := (nanoseconds<<highResolutionBits + uint64(time.Second)/2) / uint64(time.Second) // rounded
	return seconds<<highResolutionBits + fraction
}

func fromHighResolution(v uint64) time.Duration {
	seconds, fraction := v>>highResolutionBits, v&(1<<highResolutionBits-1)
	nanoseconds := (fraction*uint64(time.Second) + 1<<(highResolutionBits-1)) >> highResolutionBits // rounded
	return time.Duration(seconds)*time.Second + time.Duration(nanoseconds)
}

func appendHeader(dst []byte, part uint16, payload int) []byte {
	dst = binary.BigEndian.AppendUint16(dst, part)
	return binary.BigEndian.AppendUint16(dst, uint16(partHeaderLen+payload))
}

func appendText(dst []byte, part uint16, text string) []byte {
	dst = appendHeader(dst, part, len(text)+1)
	return append(append(dst, text...), 0)
}

func appendNumber(dst []byte, part uint16, v uint64) []byte {
	dst = appendHeader(dst, part, numberLen)
	return binary.BigEndian.AppendUint64(dst, v)
}
