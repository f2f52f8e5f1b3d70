// Package collectd writes and reads the binary network protocol of collectd: parts of type, length and
// payload in UDP datagrams, plain, signed or encrypted. It works on bytes and does no I/O.
//
// Source: https://collectd.org/wiki/index.php/Binary_protocol
package collectd

import (
	"encoding/binary"
	"errors"
	"time"
)

// MaxPacketBytes is the largest datagram, in bytes: what an Ethernet frame holds with IPv6 and UDP headers.
const MaxPacketBytes = 1452

// MaxTextBytes is the longest text of an identifier, in bytes.
const MaxTextBytes = 127

// The types of parts.
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
	partHeaderLen = 4 // type and length, which counts the header
	numberLen     = 8
	countLen      = 2             // of values, and of a user's name
	valueLen      = 1 + numberLen // a data source's type and its value
)

// Errors of a packet.
var (
	ErrTruncated            = errors.New("collectd: a part is cut off")
	ErrMalformedPart        = errors.New("collectd: a part can't be read")
	ErrInsufficientSecurity = errors.New("collectd: not signed or encrypted as is demanded")
	ErrUnknownUser          = errors.New("collectd: unknown user")
	ErrSignature            = errors.New("collectd: wrong signature")
	ErrTooLarge             = errors.New("collectd: does not fit a packet")
)

// Kind is the type of a data source.
type Kind byte

// The types of data sources, as on the wire.
const (
	Counter  Kind = 0
	Gauge    Kind = 1
	Derive   Kind = 2
	Absolute Kind = 3
)

// Value is that of one data source.
type Value struct {
	Kind  Kind
	Gauge float64 // of a Gauge
	Count int64   // of the others; a Counter and an Absolute are unsigned
}

// ValueList is a list of values under one identifier.
type ValueList struct {
	Host, Plugin, PluginInstance, Type, TypeInstance string
	Time, Interval                                   time.Duration // Time is since 1970
	Values                                           []Value
}

// texts are the parts of the identifier, in the order that they are written in.
func (l *ValueList) texts() [5]textPart {
	return [...]textPart{
		{partHost, &l.Host},
		{partPlugin, &l.Plugin},
		{partPluginInstance, &l.PluginInstance},
		{partType, &l.Type},
		{partTypeInstance, &l.TypeInstance},
	}
}

// textPart is a part that is a text.
type textPart struct {
	part uint16
	text *string
}

// Times of high resolution are in units of 2^-30 s.
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
