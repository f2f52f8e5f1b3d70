package mysql

import (
	"bytes"
	"encoding/binary"
	"strconv"
)

// ErrorCode is a MySQL error number.
type ErrorCode uint16

// Error codes sent to clients.
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

// generalSQLState is the SQL state of error codes without a specific one.
const generalSQLState = "HY000"

// sqlStates maps error codes to their specific SQL states.
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

// First bytes of responses and of their parts.
const (
	okHeader     = 0x00
	eofHeader    = 0xfe
	errorHeader  = 0xff
	sqlStateMark = '#'
)

// AppendError appends an ERR packet with an error code, its SQL state and a text for the client.
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

// AppendOK appends an OK packet.
func AppendOK(dst []byte, seq byte) []byte {
	dst, start := beginPacket(dst)
	// 0 affected rows, no last insert id, status flags, no warnings.
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

// Parts of a column definition and of a row in a result page.
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

// AppendResult appends a text result set with the rows of complete pages. In a page, a line feed ends each row and tabs
// separate columns. The sequence number wraps after 255, as the protocol specifies.
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

// appendColumn appends the definition of a string column.
func appendColumn(dst []byte, seq byte, name string) []byte {
	dst, start := beginPacket(dst)
	// Catalog, schema, table, original table, name, original name.
	for _, s := range []string{columnCatalog, columnSchema, "", "", name, name} {
		dst = appendString(dst, s)
	}
	dst = append(dst, fixedFieldsLen, charsetUTF8MB4, 0)
	dst = binary.LittleEndian.AppendUint32(dst, maxColumnBytes)
	dst = append(dst, typeVarString, 0, 0, 0, 0, 0) // no flags, no decimals
	return endPacket(dst, start, seq)
}

// appendRow appends a row. Missing columns are empty.
func appendRow(dst []byte, seq byte, row []byte) []byte {
	dst, start := beginPacket(dst)
	for range ColumnCount {
		var column []byte
		column, row, _ = bytes.Cut(row, []byte{columnSeparator})
		dst = appendString(dst, column)
	}
	return endPacket(dst, start, seq)
}
