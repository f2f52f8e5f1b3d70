package mysql

import (
	"bytes"
	"encoding/binary"
	"fmt"
)

// Capability flags of the MySQL protocol.
const (
	clientLongPassword         = 1
	clientConnectWithDB        = 1 << 3
	clientProtocol41           = 1 << 9
	clientSSL                  = 1 << 11
	clientTransactions         = 1 << 13
	clientSecureConnection     = 1 << 15
	clientPluginAuth           = 1 << 19
	clientPluginAuthLenencData = 1 << 21

	// capabilities are the flags that the greeting announces.
	capabilities = clientLongPassword | clientConnectWithDB | clientProtocol41 | clientTransactions |
		clientSecureConnection | clientPluginAuth
)

// Parts of the greeting.
const (
	protocolVersion = 10
	serverVersion   = "8.0.0-wheatlane"
	charsetUTF8MB4  = 45
	autocommit      = 2 // status flag
	authPlugin      = "mysql_native_password"

	// SaltLen is the length of a greeting's salt in bytes.
	SaltLen         = 20
	firstSaltLen    = 8  // bytes; the rest of the salt follows later in the greeting
	greetingPadding = 10 // bytes
)

// AppendGreeting appends the greeting, which is the first packet of a connection. The salt must not contain zero bytes.
func AppendGreeting(dst []byte, connectionID uint32, salt [SaltLen]byte) []byte {
	dst, start := beginPacket(dst)
	dst = append(dst, protocolVersion)
	dst = appendZeroTerminated(dst, serverVersion)
	dst = binary.LittleEndian.AppendUint32(dst, connectionID)
	dst = appendZeroTerminated(dst, string(salt[:firstSaltLen]))
	dst = binary.LittleEndian.AppendUint16(dst, capabilities&0xffff)
	dst = append(dst, charsetUTF8MB4)
	dst = binary.LittleEndian.AppendUint16(dst, autocommit)
	dst = binary.LittleEndian.AppendUint16(dst, capabilities>>16)
	dst = append(dst, SaltLen+1) // includes the terminating zero byte
	dst = append(dst, make([]byte, greetingPadding)...)
	dst = appendZeroTerminated(dst, string(salt[firstSaltLen:]))
	dst = appendZeroTerminated(dst, authPlugin)
	return endPacket(dst, start, GreetingSequence)
}

func appendZeroTerminated(dst []byte, text string) []byte { return append(append(dst, text...), 0) }

// Login is a client's response to the greeting.
type Login struct {
	User, Database string
	HasPassword    bool // the client sent a password proof
}

const (
	loginHeaderLen = 32  // bytes: flags, maximum packet size, character set and padding
	maxProofLen    = 250 // bytes
)

// ParseLogin parses a client's response to the greeting. Its error wraps ErrHandshake and names the invalid field.
func ParseLogin(payload []byte) (Login, error) {
	if len(payload) < loginHeaderLen {
		return Login{}, fmt.Errorf("%w: %d bytes", ErrHandshake, len(payload))
	}
	flags := binary.LittleEndian.Uint32(payload)
	if flags&clientProtocol41 == 0 || flags&clientSSL != 0 {
		return Login{}, fmt.Errorf("%w: protocol 4.1 without TLS is spoken here", ErrHandshake)
	}
	user, rest, ok := bytes.Cut(payload[loginHeaderLen:], []byte{0})
	if !ok {
		return Login{}, fmt.Errorf("%w: user", ErrHandshake)
	}
	proof, rest, ok := splitProof(rest, flags)
	if !ok {
		return Login{User: string(user)}, fmt.Errorf("%w: password", ErrHandshake)
	}
	login := Login{User: string(user), HasPassword: len(proof) > 0}
	if flags&clientConnectWithDB != 0 {
		database, _, _ := bytes.Cut(rest, []byte{0})
		login.Database = string(database)
	}
	return login, nil
}

// splitProof splits the password proof from the bytes that follow it.
func splitProof(payload []byte, flags uint32) (proof, rest []byte, ok bool) {
	if flags&(clientPluginAuthLenencData|clientSecureConnection) == 0 {
		return bytes.Cut(payload, []byte{0})
	}
	// The length takes one byte, as no proof is longer than maxProofLen.
	if len(payload) < 1 || payload[0] > maxProofLen || len(payload) < 1+int(payload[0]) {
		return nil, nil, false
	}
	size := int(payload[0])
	return payload[1 : 1+size], payload[1+size:], true
}
