// Package mysql is the server's side of the MySQL client protocol 4.1, as far as the clients of a broker
// speak it: packets, greeting, login, commands, statements with their fields, and responses. It works on bytes
// and does no I/O.
package mysql

import "errors"

// Errors that cost a client its connection, as nothing after them can be read.
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

// The sequence numbers of packets that begin an exchange, and of the first packet that answers them.
const (
	GreetingSequence byte = 0
	LoginSequence    byte = 1
	CommandSequence  byte = 0
	ResponseSequence byte = 1
)

// Packet is one packet of a client.
type Packet struct {
	Sequence byte
	Payload  []byte
}

// ParsePacket reads a packet from the front of b. Its payload points into b; n is the number of bytes that
// the packet takes, 0 while it is incomplete. A packet over the limit gives ErrTooLarge as soon as its header
// is there, so that it never grows a buffer.
func ParsePacket(b []byte) (packet Packet, n int, err error) {
	if len(b) < HeaderLen {
		return Packet{}, 0, nil
	}
	size := int(b[0]) | int(b[1])<<8 | int(b[2])<<16
	if size > MaxPacket {
		return Packet{}, 0, ErrTooLarge
	}
	end := HeaderLen + size
	if len(b) < end {
		return Packet{}, 0, nil
	}
	return Packet{Sequence: b[3], Payload: b[HeaderLen:end]}, end, nil
}

// beginPacket leaves space for a header; endPacket fills it in once the payload has been appended.
func beginPacket(dst []byte) (begun []byte, start int) { return append(dst, 0, 0, 0, 0), len(dst) }

func endPacket(dst []byte, start int, seq byte) []byte {
	size := len(dst) - start - HeaderLen
	dst[start], dst[start+1], dst[start+2], dst[start+3] = byte(size), byte(size>>8), byte(size>>16), seq
	return dst
}

// The prefixes of length-encoded strings of 251 bytes and more.
const (
	maxOneByteLength = 250
	twoByteLength    = 0xfc
	threeByteLength  = 0xfd
)

// appendString adds a length-encoded string.
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
