package mysql

import (
	"bytes"
	"encoding/binary"
	"strconv"
)

// ErrorCode is the number of an error.
type ErrorCode uint16

// The codes of errors that clients are sent.
const (
	CodeTooManyConnections ErrorCode = 1040
	CodeHandshakeError     ErrorCode = 1043
	CodeAccessDenied       ErrorCode = 1045
	CodeUnknownCommand     ErrorCode = 1047
	CodeUnknownDatabase    ErrorCode = 1049
	CodeServerShutdown     ErrorCode = 1053
	CodeNoSuchThread       ErrorCode = 1094
	CodeUnknownError       ErrorCode = 1105
	CodePacketTooLarge     ErrorCode = 1153
	CodePacketsOutOfOrder  ErrorCode = 1156
	CodeWrongArguments     ErrorCode = 1210
	CodeUserLimitReached   ErrorCode = 1226
	CodeQueryInterrupted   ErrorCode = 1317
	CodeMalformedPacket    ErrorCode = 1835
)

// generalSQLState is the SQL state of the codes without one of their own.
const generalSQLState = "HY000"

// sqlStates are the SQL states of the other codes.
var sqlStates = map[ErrorCode]string{
	CodeTooManyConnections: "08004",
	CodeHandshakeError:     "08S01",
	CodeAccessDenied:       "28000",
	CodeUnknownCommand:     "08S01",
	CodeUnknownDatabase:    "42000",
	CodeServerShutdown:     "08S01",
	CodePacketTooLarge:     "08S01",
	CodePacketsOutOfOrder:  "08S01",
	CodeUserLimitReached:   "42000",
	CodeQueryInterrupted:   "70100",
}

// The first bytes of responses, and of their parts.
const (
	okHeader     = 0x00
	eofHeader    = 0xfe
	errorHeader  = 0xff
	sqlStateMark = '#'
)

// AppendError adds an ERR packet with the code's SQL state and a text for the client.
func AppendError(dst []byte, seq byte, code ErrorCode, text string) []byte {
	state, ok := sqlStates[code]
	if !ok {
		state = generalSQLState
	}
	dst, start := beginPacket(dst)
	dst = append(dst, errorHeader)
	dst = binary.LittleEndian.AppendUint16(dst, uint16(code))
	dst = append(dst, sqlStateMark)
	dst = append(dst, state...)
	dst = append(dst, text...)
	return endPacket(dst, start, seq)
}

// AppendOK adds an OK packet.
func AppendOK(dst []byte, seq byte) []byte {
	dst, start := beginPacket(dst)
	// No rows affected, no last insert id; the status; no warnings.
	dst = append(dst, okHeader, 0, 0, autocommit, 0, 0, 0)
	return endPacket(dst, start, seq)
}

func appendEOF(dst []byte, seq byte) []byte {
	dst, start := beginPacket(dst)
	dst = append(dst, eofHeader, 0, 0, autocommit, 0)
	return endPacket(dst, start, seq)
}

// ColumnCount is the number of columns of every result.
const ColumnCount = 3

// The parts of a column's definition, and of a row of a page.
const (
	columnCatalog    = "def"
	columnSchema     = "main"
	fixedFieldsLen   = 0x0c
	maxColumnBytes   = 1<<16 - 1
	typeVarString    = 0xfd
	columnNamePrefix = "c"
	rowSeparator     = '\n'
	columnSeparator  = '\t'
)

// AppendResult adds a text result set of complete pages: rows end with a line feed, columns stand between
// tabs. The sequence number wraps after 255, as in the protocol.
func AppendResult(dst []byte, seq byte, pages [][]byte) []byte {
	dst, start := beginPacket(dst)
	dst = endPacket(append(dst, ColumnCount), start, seq)
	for i := range ColumnCount {
		seq++
		dst = appendColumn(dst, seq, columnNamePrefix+strconv.Itoa(i+1))
	}
	seq++
	dst = appendEOF(dst, seq)
	for _, page := range pages {
		for len(page) > 0 {
			var row []byte
			row, page, _ = bytes.Cut(page, []byte{rowSeparator})
			seq++
			dst = appendRow(dst, seq, row)
		}
	}
	return appendEOF(dst, seq+1)
}

// appendColumn adds the definition of a column of strings.
func appendColumn(dst []byte, seq byte, name string) []byte {
	dst, start := beginPacket(dst)
	// Catalogue, schema, table, original table, name, original name.
	for _, s := range []string{columnCatalog, columnSchema, "", "", name, name} {
		dst = appendString(dst, s)
	}
	dst = append(dst, fixedFieldsLen, charsetUTF8MB4, 0)
	dst = binary.LittleEndian.AppendUint32(dst, maxColumnBytes)
	dst = append(dst, typeVarString, 0, 0, 0, 0, 0) // no flags, no decimals
	return endPacket(dst, start, seq)
}

// appendRow adds a row; columns that it lacks are empty.
func appendRow(dst []byte, seq byte, row []byte) []byte {
	dst, start := beginPacket(dst)
	for range ColumnCount {
		var column []byte
		column, row, _ = bytes.Cut(row, []byte{columnSeparator})
		dst = appendString(dst, column)
	}
	return endPacket(dst, start, seq)
}
