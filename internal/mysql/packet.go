// Package mysql implements the server side of the MySQL client protocol 4.1, limited to the parts that clients of a
// broker use: packets, greeting, login, commands, statements with their fields, and responses. It works on bytes and
// does no I/O.
package mysql

import "errors"

// Errors that end a client's connection, as the bytes that follow cannot be parsed.
var (
	ErrTooLarge  = errors.New("mysql: packet too large")
	ErrSequence  = errors.New("mysql: packets out of order")
	ErrHandshake = errors.New("mysql: bad handshake")
	ErrMalformed = errors.New("mysql: malformed packet")
)

const (
	// MaxPacket is the largest payload accepted from a client, in bytes.
	MaxPacket = 64 << 10
	// HeaderLen is the length of a packet's header: three bytes of payload length and the sequence number.
	HeaderLen = 4
)

// Sequence numbers of the first packets of an exchange.
const (
	GreetingSequence byte = 0
	LoginSequence    byte = 1
	CommandSequence  byte = 0
	ResponseSequence byte = 1 // first packet of the response to a command
)

// Packet is one packet from a client.
type Packet struct {
	Sequence byte
	Payload  []byte
}

// ParsePacket parses the packet at the start of b. The payload points into b; n is the length of the packet in bytes, 0
// while it is incomplete. For a packet whose payload exceeds MaxPacket, it returns ErrTooLarge as soon as the header is
// complete, so that the packet never grows a buffer.
func ParsePacket(b []byte) (packet Packet, n int, err error) {
	if len(b) < HeaderLen {
		return Packet{}, 0, nil
	}
	end := PacketLen(b)
	if end > HeaderLen+MaxPacket {
		return Packet{}, 0, ErrTooLarge
	}
	if len(b) < end {
		return Packet{}, 0, nil
	}
	return Packet{Sequence: b[3], Payload: b[HeaderLen:end]}, end, nil
}

// PacketLen returns the length of the packet that begins at the start of b, with its header. b must hold the header.
func PacketLen(b []byte) int { return HeaderLen + (int(b[0]) | int(b[1])<<8 | int(b[2])<<16) }

// beginPacket reserves space for a header; endPacket fills it in after the payload has been appended.
func beginPacket(dst []byte) (begun []byte, start int) { return append(dst, 0, 0, 0, 0), len(dst) }

func endPacket(dst []byte, start int, seq byte) []byte {
	size := len(dst) - start - HeaderLen
	dst[start], dst[start+1], dst[start+2], dst[start+3] = byte(size), byte(size>>8), byte(size>>16), seq
	return dst
}

// Prefixes of length-encoded strings longer than maxOneByteLength.
const (
	maxOneByteLength = 250 // bytes
	twoByteLength    = 0xfc
	threeByteLength  = 0xfd
)

// appendString appends a length-encoded string.
func appendString[T string | []byte](dst []byte, text T) []byte {
	switch n := len(text); {
	case n <= maxOneByteLength:
		dst = append(dst, byte(n))
	case n < 1<<16:
		dst = append(dst, twoByteLength, byte(n), byte(n>>8))
	default:
		dst = append(dst, threeByteLength, byte(n), byte(n>>8), byte(n>>16))
	}
	return append(dst, text...)
}
