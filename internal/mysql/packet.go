// Package mysql is the server's side of the MySQL client protocol 4.1, as far as clients of a broker speak
// it. It works on bytes and does no I/O: packets, greeting, login, commands, statements and answers.
package mysql

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// Errors that cost a client its connection, as nothing after them can be read.
var (
	ErrTooLarge  = errors.New("mysql: packet too large")
	ErrSequence  = errors.New("mysql: packets out of order")
	ErrHandshake = errors.New("mysql: bad handshake")
	ErrMalformed = errors.New("mysql: malformed packet")
)

const (
	// MaxPacket is the largest payload taken from a client.
	MaxPacket = 64 << 10
	// HeaderLen is the length of a packet's header.
	HeaderLen = 4
)

// ParsePacket reads a packet from the front of b. The payload points into b; n is 0 while it is not whole.
// A packet over the limit is an error as soon as its header is there, so it never grows a buffer.
func ParsePacket(b []byte) (seq byte, payload []byte, n int, err error) {
	if len(b) < HeaderLen {
		return 0, nil, 0, nil
	}
	size := int(b[0]) | int(b[1])<<8 | int(b[2])<<16
	if size > MaxPacket {
		return 0, nil, 0, ErrTooLarge
	}
	if len(b) < HeaderLen+size {
		return 0, nil, 0, nil
	}
	return b[3], b[HeaderLen : HeaderLen+size], HeaderLen + size, nil
}

// begin leaves room for a header; end fills it in.
func begin(dst []byte) ([]byte, int) { return append(dst, 0, 0, 0, 0), len(dst) }

func end(dst []byte, at int, seq byte) []byte {
	size := len(dst) - at - HeaderLen
	dst[at], dst[at+1], dst[at+2], dst[at+3] = byte(size), byte(size>>8), byte(size>>16), seq
	return dst
}

// Capability flags of the protocol.
const (
	longPassword     = 1
	connectWithDB    = 1 << 3
	protocol41       = 1 << 9
	useTLS           = 1 << 11
	transactions     = 1 << 13
	secureConnection = 1 << 15
	pluginAuth       = 1 << 19
	pluginAuthLenenc = 1 << 21

	capabilities = longPassword | connectWithDB | protocol41 | transactions | secureConnection | pluginAuth

	utf8mb4    = 45
	autocommit = 2 // status flag
	plugin     = "mysql_native_password"
	version    = "8.0.0-wheatlane"
)

// AppendGreeting adds the greeting, which is the first packet of a connection. The salt has no zero bytes.
func AppendGreeting(dst []byte, id uint32, salt [20]byte) []byte {
	dst, at := begin(dst)
	dst = append(append(append(dst, 10), version...), 0)
	dst = binary.LittleEndian.AppendUint32(dst, id)
	dst = append(append(dst, salt[:8]...), 0)
	dst = binary.LittleEndian.AppendUint16(dst, capabilities&0xffff)
	dst = append(dst, utf8mb4)
	dst = binary.LittleEndian.AppendUint16(dst, autocommit)
	dst = binary.LittleEndian.AppendUint16(dst, capabilities>>16)
	dst = append(dst, byte(len(salt)+1))
	dst = append(dst, make([]byte, 10)...)
	dst = append(append(dst, salt[8:]...), 0)
	dst = append(append(dst, plugin...), 0)
	return end(dst, at, 0)
}

// Login is what a client says of itself.
type Login struct {
	User, Database string
	Password       bool // it sent proof of a password
}

// ParseLogin reads the answer to the greeting.
func ParseLogin(p []byte) (Login, error) {
	var l Login
	if len(p) < 32 {
		return l, fmt.Errorf("%w: %d bytes", ErrHandshake, len(p))
	}
	flags := binary.LittleEndian.Uint32(p)
	if flags&protocol41 == 0 || flags&useTLS != 0 {
		return l, fmt.Errorf("%w: protocol 4.1 without TLS is spoken here", ErrHandshake)
	}
	user, rest, ok := bytes.Cut(p[32:], []byte{0})
	if !ok {
		return l, fmt.Errorf("%w: user", ErrHandshake)
	}
	l.User = string(user)
	switch {
	case flags&(pluginAuthLenenc|secureConnection) != 0: // a length of one byte; longer proofs don't exist
		if len(rest) < 1 || rest[0] > 250 || len(rest) < 1+int(rest[0]) {
			return l, fmt.Errorf("%w: password", ErrHandshake)
		}
		l.Password, rest = rest[0] > 0, rest[1+int(rest[0]):]
	default:
		proof, after, ok := bytes.Cut(rest, []byte{0})
		if !ok {
			return l, fmt.Errorf("%w: password", ErrHandshake)
		}
		l.Password, rest = len(proof) > 0, after
	}
	if flags&connectWithDB != 0 {
		db, _, _ := bytes.Cut(rest, []byte{0})
		l.Database = string(db)
	}
	return l, nil
}

// Codes of errors, as MySQL numbers them.
const (
	CodeConnections  = 1040 // too many connections
	CodeHandshake    = 1043
	CodeAccessDenied = 1045
	CodeUnknownDB    = 1049
	CodeCommand      = 1047 // unknown command
	CodeShutdown     = 1053 // server shutdown in progress
	CodeNoThread     = 1094 // unknown thread id
	CodeUnknown      = 1105
	CodeTooLarge     = 1153
	CodeSequence     = 1156
	CodeArguments    = 1210 // incorrect arguments
	CodeUserLimit    = 1226 // a user has exceeded a resource
	CodeInterrupted  = 1317
	CodeMalformed    = 1835
)

var sqlStates = map[int]string{CodeConnections: "08004", CodeHandshake: "08S01", CodeAccessDenied: "28000",
	CodeUnknownDB: "42000", CodeCommand: "08S01", CodeShutdown: "08S01", CodeTooLarge: "08S01",
	CodeSequence: "08S01", CodeUserLimit: "42000", CodeInterrupted: "70100"}

// AppendError adds an ERR packet.
func AppendError(dst []byte, seq byte, code int, text string) []byte {
	state := sqlStates[code]
	if state == "" {
		state = "HY000"
	}
	dst, at := begin(dst)
	dst = binary.LittleEndian.AppendUint16(append(dst, 0xff), uint16(code))
	dst = append(append(append(dst, '#'), state...), text...)
	return end(dst, at, seq)
}

// AppendOK adds an OK packet.
func AppendOK(dst []byte, seq byte) []byte {
	dst, at := begin(dst)
	return end(append(dst, 0, 0, 0, autocommit, 0, 0, 0), at, seq)
}

func appendEOF(dst []byte, seq byte) []byte {
	dst, at := begin(dst)
	return end(append(dst, 0xfe, 0, 0, autocommit, 0), at, seq)
}

func appendString[T string | []byte](dst []byte, s T) []byte {
	switch n := len(s); {
	case n < 251:
		dst = append(dst, byte(n))
	case n < 1<<16:
		dst = append(dst, 0xfc, byte(n), byte(n>>8))
	default:
		dst = append(dst, 0xfd, byte(n), byte(n>>8), byte(n>>16))
	}
	return append(dst, s...)
}

// Columns is the number of columns of every result.
const Columns = 3

// AppendResult adds a text result set of whole pages: rows end with a line feed, columns stand between tabs.
// The sequence number wraps after 255, as in the protocol.
func AppendResult(dst []byte, seq byte, pages [][]byte) []byte {
	dst, at := begin(dst)
	dst = end(append(dst, Columns), at, seq)
	for i := range Columns {
		dst, at = begin(dst)
		dst = appendString(dst, "def")
		for _, s := range []string{"main", "", ""} { // schema, table, original table
			dst = appendString(dst, s)
		}
		name := "c" + strconv.Itoa(i+1)
		dst = appendString(appendString(dst, name), name)
		dst = append(dst, 0x0c, utf8mb4, 0)
		dst = binary.LittleEndian.AppendUint32(dst, 1<<16-1)
		dst = append(dst, 0xfd, 0, 0, 0, 0, 0) // a string; no flags, no decimals
		seq++
		dst = end(dst, at, seq)
	}
	seq++
	dst = appendEOF(dst, seq)
	for _, page := range pages {
		for len(page) > 0 {
			var row []byte
			row, page, _ = bytes.Cut(page, []byte{'\n'})
			dst, at = begin(dst)
			for range Columns {
				var column []byte
				column, row, _ = bytes.Cut(row, []byte{'\t'})
				dst = appendString(dst, column)
			}
			seq++
			dst = end(dst, at, seq)
		}
	}
	return appendEOF(dst, seq+1)
}

// Command is the first byte of a packet from a client that is logged in.
type Command byte

// The commands that are understood.
const (
	Quit   Command = 1
	InitDB Command = 2
	Query  Command = 3
	Ping   Command = 14
	Reset  Command = 31
)

// ParseKill reads KILL QUERY n or KILL [CONNECTION] n; ok tells whether the statement is one at all.
func ParseKill(text string) (id uint32, connection, ok bool) {
	words := strings.Fields(strings.TrimSuffix(strings.TrimSpace(text), ";"))
	if len(words) < 2 || len(words) > 3 || !strings.EqualFold(words[0], "KILL") {
		return 0, false, false
	}
	connection = true
	if len(words) == 3 {
		if connection = strings.EqualFold(words[1], "CONNECTION"); !connection && !strings.EqualFold(words[1], "QUERY") {
			return 0, false, false
		}
	}
	n, err := strconv.ParseUint(words[len(words)-1], 10, 32)
	return uint32(n), connection, err == nil
}
